/// \file
/// One instance's part in keeping every organisation within its rate and
/// burst over all instances together.
#ifndef GOOSEBERRYBEAM_LIMITS_LIMITLEDGER_H
#define GOOSEBERRYBEAM_LIMITS_LIMITLEDGER_H

#include "gooseberrybeam/limits/OrganisationAccount.h"
#include "gooseberrybeam/limits/ShardState.h"
#include "gooseberrybeam/limits/TransferChannel.h"

#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace gooseberry {

/// Deliberate faults, by which the tests show that their checkers can fail.
enum class LimitFault : std::uint8_t {
  None,
  SenderKeepsShare,      ///< A lent level is not subtracted.
  ActivatesBeforeExpiry, ///< A takeover does not wait for former members.
  IgnoresLease,          ///< Reserves after the instance lease has lapsed.
  NeverSendsDemand,      ///< A borrower does not ask its home for tokens.
};

/// Holds parts of organisations' limits. Each organisation belongs to a shard;
/// the shard's owner, its home, holds what is not lent out. Members borrow
/// parts, use them without asking, and return them. Units are conserved, so
/// the parts never add up to more than the whole. Free of I/O: events come
/// with a clock reading, `takeActions` returns what to carry out.
class LimitLedger {
public:
  /// \param Self this instance's identity as a member.
  /// \param Fault a deliberate fault, for tests.
  explicit LimitLedger(MemberId Self, LimitFault Fault = LimitFault::None);

  /// Sets an organisation's limit; a removed organisation gets an empty one.
  /// \param Organisation the organisation.
  /// \param Total its limit over all instances.
  /// \param Revision the configuration revision that sets it.
  /// \param Now the clock reading.
  void setLimit(const OrganisationId &Organisation, Limit Total,
                std::uint64_t Revision, TimePoint Now);

  /// Follows a newer epoch; an older one is ignored.
  /// \param Document the epoch, which lists this instance.
  /// \param Now the clock reading.
  void adoptEpoch(const EpochDocument &Document, TimePoint Now);

  /// Reclaims what a former member held: its lease has lapsed for certain.
  /// \param Id the former member.
  /// \param Now the clock reading.
  void noteMemberExpired(const MemberId &Id, TimePoint Now);

  /// \param ValidUntil until when this instance may reserve.
  void setLease(TimePoint ValidUntil) { LeaseUntil_ = ValidUntil; }

  /// Reserves tokens of an organisation's limit. A router that retries a
  /// request keeps its reservation.
  /// \param Organisation the organisation.
  /// \param Tokens prompt and output together.
  /// \param Now the clock reading.
  /// \param HoldUntil until when the answer may be held back.
  /// \returns the answer, or the number under which it will follow.
  ReserveOutcome reserve(const OrganisationId &Organisation,
                         std::int64_t Tokens, TimePoint Now,
                         TimePoint HoldUntil);

  /// Ends a reservation, or withdraws one that is held.
  /// \param Id the reservation.
  /// \param Used the tokens used; the rest is returned.
  /// \param Now the clock reading.
  void settle(ReservationId Id, std::int64_t Used, TimePoint Now);

  /// Takes a message of another member's ledger.
  /// \param Sender the sender.
  /// \param Message the message.
  /// \param Now the clock reading.
  void receive(const MemberId &Sender, const LimitMessage &Message,
               TimePoint Now);

  /// Carries out what is due; called at least every 100 ms.
  /// \param Now the clock reading.
  void tick(TimePoint Now);

  /// From now on keeps no part for longer than a request needs it, because
  /// this instance is about to leave.
  void startReturning() { IsReturning_ = true; }

  /// \returns whether nothing is held of shards that others own.
  bool hasReturnedAll() const;

  /// Returns every borrowed part to its home, for a graceful shutdown.
  /// \param Now the clock reading.
  void returnAll(TimePoint Now);

  /// \param Now the clock reading.
  /// \returns what to carry out, in order; each action once.
  std::vector<LimitAction> takeActions(TimePoint Now);

  /// \returns counters since the start.
  const LimitCounters &counters() const { return Counters_; }
  /// \returns whether transfers to other members await acknowledgement.
  bool hasUnackedTransfers() const;
  /// \param Organisation an organisation.
  /// \returns the units held here, lent ones not included.
  Share heldOf(const OrganisationId &Organisation) const;
  /// \returns the number of shards owned here that are ready to lend.
  std::size_t activeShards() const;

private:
  struct PeerLink {
    TransferChannel Channel_;
    LimitMessage Draft_;
    bool HasDraft_ = false;
  };

  struct OutstandingReservation {
    OrganisationKey Organisation_ = 0;
    std::uint64_t RefundNumber_ = 0;
    MilliTokens Amount_ = 0;
  };

  using Account = OrganisationAccount;

  // Reservations.
  void commit(Account &Acct, ReservationId Id, MilliTokens Amount);
  void servePending(Account &Acct, TimePoint Now);
  void refuseFirst(Account &Acct, LimitRefused Refused);
  bool withdraw(ReservationId Id);
  bool isBorrowerAhead(const Account &Acct, TimePoint WaitStart);

  // As a borrower.
  void sendDemand(Account &Acct, TimePoint Now);
  void returnPart(Account &Acct, Share Requested, MilliTokens Level);
  void returnIdle(Account &Acct, TimePoint Now);
  void applyRecall(const ShareRecall &Recall, TimePoint Now);
  void applyShortage(const ShareShortage &Shortage, TimePoint Now);

  // As a home.
  void ensureReserve(Account &Acct, TimePoint Now);
  void serveAsHome(Account &Acct, TimePoint Now);
  bool serveNextBorrower(Account &Acct, ShareAllocator &Allocator,
                         TimePoint Now);
  void sendRecalls(Account &Acct, ShareAllocator &Allocator,
                   MilliTokens Minimum, TimePoint Now);
  void sendShortages(const Account &Acct, ShareAllocator &Allocator,
                     TimePoint Now);
  void tryActivate(ShardState &Shard, TimePoint Now);

  // Shards and peers.
  void updateOwner(std::uint32_t Index, const ShardOwner &NewOwner,
                   const EpochDocument &Document, TimePoint Now);
  void prepareHandover(std::uint32_t Index, TimePoint Now);
  void awaitReports(ShardState &Shard, const EpochDocument &Document);
  ShardReport makeReport(std::uint32_t Index, Epoch Generation) const;
  void sendReports();
  void applyReport(const MemberId &Sender, const ShardReport &Report,
                   TimePoint Now);
  void applyTransfer(const MemberId &Sender, const ShareTransfer &Transfer,
                     TimePoint Now);
  void tickAccount(Account &Acct, TimePoint Now);
  void flush(TimePoint Now);
  LimitMessage &draftFor(const MemberId &Recipient);
  std::uint32_t shardIndex(OrganisationKey Key) const;
  ShardState &shardOf(OrganisationKey Key) { return Shards_[shardIndex(Key)]; }
  bool isHome(const ShardState &Shard) const { return Shard.Owner_ == Self_; }
  bool isLeaseValid(TimePoint Now) const;
  Account *findAccount(OrganisationKey Key);

  MemberId Self_;
  LimitFault Fault_;
  bool IsReturning_ = false;
  TimePoint LeaseUntil_;
  std::uint64_t Revision_ = 0;
  Epoch Epoch_ = 0;
  Epoch JoinedAt_ = 0;
  std::set<MemberId> Members_;
  std::set<MemberId> Expired_;
  std::vector<ShardState> Shards_;
  std::unordered_map<OrganisationKey, Account> Accounts_;
  std::unordered_set<OrganisationKey> ActiveAccounts_;
  std::unordered_map<ReservationId, OutstandingReservation> Outstanding_;
  std::unordered_map<ReservationId, OrganisationKey> PendingAccounts_;
  std::unordered_map<MemberId, PeerLink> Links_;
  std::vector<LimitAction> Actions_;
  ReservationId NextReservation_ = 1;
  LimitCounters Counters_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_LIMITS_LIMITLEDGER_H

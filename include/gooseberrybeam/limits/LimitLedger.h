/// \file
/// Enforces the rate and burst limits of organisations across all instances.
#ifndef GOOSEBERRYBEAM_LIMITS_LIMITLEDGER_H
#define GOOSEBERRYBEAM_LIMITS_LIMITLEDGER_H

#include "gooseberrybeam/limits/OrganisationAccount.h"
#include "gooseberrybeam/limits/ShardState.h"
#include "gooseberrybeam/limits/TransferChannel.h"

#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace gooseberry {

/// Faults injected by tests to show that their checkers detect them.
enum class LimitFault : std::uint8_t {
  None,
  SenderKeepsShare,      ///< The sender of a share keeps its level.
  ActivatesBeforeExpiry, ///< A takeover ignores leases of former members.
  IgnoresLease,          ///< Reserves after the instance lease has expired.
  NeverSendsDemand,      ///< A borrower does not request units from its home.
};

/// Holds this instance's shares of the limits of organisations. Each
/// organisation belongs to a shard; the owner of the shard, the home, holds the
/// units that are not lent. Members borrow shares, reserve tokens from them
/// without further messages, and return them. The number of units is conserved,
/// so the shares never add up to more than the limit. The ledger performs no
/// I/O: events are passed in with the current time, and `takeActions` returns
/// the actions to perform.
class LimitLedger {
public:
  /// \param Self the member id of this instance.
  /// \param Fault a fault to inject, for tests.
  explicit LimitLedger(MemberId Self, LimitFault Fault = LimitFault::None);

  /// Sets an organisation's limit. A removed organisation gets an empty one.
  /// \param Organisation the organisation.
  /// \param Total the limit across all instances.
  /// \param Revision the configuration revision that contains the limit.
  /// \param Now the current time.
  void setLimit(const OrganisationId &Organisation, Limit Total,
                std::uint64_t Revision, TimePoint Now);

  /// Applies a newer epoch; older ones are ignored.
  /// \param Document the epoch; must list this instance as a member.
  /// \param Now the current time.
  void adoptEpoch(const EpochDocument &Document, TimePoint Now);

  /// Reclaims the units of a former member whose instance lease is known to
  /// have expired.
  /// \param Id the former member.
  /// \param Now the current time.
  void noteMemberExpired(const MemberId &Id, TimePoint Now);

  /// \param ValidUntil the end of the instance lease; later reservations are
  /// refused.
  void setLease(TimePoint ValidUntil) { LeaseUntil_ = ValidUntil; }

  /// Reserves tokens of an organisation's limit. Retries of a request reuse its
  /// reservation.
  /// \param Organisation the organisation.
  /// \param Tokens the sum of prompt and output tokens.
  /// \param Now the current time.
  /// \param HoldUntil the latest time at which a pending reservation is
  /// answered.
  /// \returns the outcome, or the id under which the outcome will follow as an
  /// action.
  ReserveOutcome reserve(const OrganisationId &Organisation,
                         std::int64_t Tokens, TimePoint Now,
                         TimePoint HoldUntil);

  /// Ends a reservation, or withdraws a pending one.
  /// \param Id the reservation.
  /// \param Used the tokens used; unused ones are refunded, excess ones become
  /// debt.
  /// \param Now the current time.
  void settle(ReservationId Id, std::int64_t Used, TimePoint Now);

  /// Handles a message from the ledger of another member.
  /// \param Sender the member that sent it.
  /// \param Message the decoded message.
  /// \param Now the current time.
  void receive(const MemberId &Sender, const LimitMessage &Message,
               TimePoint Now);

  /// Performs timed work. Call at least every 100 ms.
  /// \param Now the current time.
  void tick(TimePoint Now);

  /// Makes this instance return each share as soon as no request needs it, in
  /// preparation for leaving.
  void startReturning() { IsReturning_ = true; }

  /// \returns whether all borrowed shares are returned and acknowledged.
  bool hasReturnedAll() const;

  /// Returns all borrowed shares to their homes, for a graceful shutdown.
  /// \param Now the current time.
  void returnAll(TimePoint Now);

  /// \param Now the current time.
  /// \returns the actions to perform, in order; each is returned once.
  std::vector<LimitAction> takeActions(TimePoint Now);

  /// \returns the counters since construction.
  const LimitCounters &counters() const { return Counters_; }
  /// \returns whether transfers to other members await acknowledgement.
  bool hasUnackedTransfers() const;
  /// \param Organisation an organisation.
  /// \returns the units held by this instance, excluding lent ones.
  Share heldOf(const OrganisationId &Organisation) const;
  /// \returns the number of shards owned by this instance that may lend.
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

  // Borrower role.
  void sendDemand(Account &Acct, TimePoint Now);
  void returnPart(Account &Acct, Share Requested, MilliTokens Level);
  void returnIdle(Account &Acct, TimePoint Now);
  void applyRecall(const ShareRecall &Recall, TimePoint Now);
  void applyShortage(const ShareShortage &Shortage, TimePoint Now);

  // Home role.
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

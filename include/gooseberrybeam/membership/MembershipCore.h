/// \file
/// The membership state machine of one instance. It performs no I/O itself.
#ifndef GOOSEBERRYBEAM_MEMBERSHIP_MEMBERSHIPCORE_H
#define GOOSEBERRYBEAM_MEMBERSHIP_MEMBERSHIPCORE_H

#include "gooseberrybeam/membership/DepartureTracker.h"
#include "gooseberrybeam/membership/EpochEditor.h"
#include "gooseberrybeam/membership/FailureDetector.h"
#include "gooseberrybeam/membership/InstanceLease.h"
#include "gooseberrybeam/membership/MembershipActions.h"

#include <random>
#include <vector>

namespace gooseberry {

/// Key of the row that holds the number of the current epoch.
inline constexpr std::string_view EpochHeadKey = "membership/head";
/// Key prefix of the rows that hold the latest epoch documents.
inline constexpr std::string_view EpochPrefix = "membership/epoch/";

/// Identity and settings of this instance.
struct MembershipSettings {
  MemberId Self_;
  std::string PeerAddress_;
  DataCentreId DataCentre_;
  std::size_t Shards_ = ShardCount;
  std::uint64_t Seed_ = 1; ///< Seeds the jitter of poll and retry delays.
};

/// Monotonic counters of one core.
struct MembershipCounters {
  std::uint64_t Reads_ = 0;
  std::uint64_t Writes_ = 0;
  std::uint64_t Conflicts_ = 0;
  std::uint64_t Epochs_ = 0;
  std::uint64_t Heartbeats_ = 0;
};

/// Joins the membership, maintains the instance lease, proposes the removal of
/// unresponsive members and reports which former members are gone.
class MembershipCore {
public:
  /// \param Settings identity and settings of this instance.
  explicit MembershipCore(MembershipSettings Settings);

  /// Advances timers. The owner calls it at least every 100 ms.
  /// \param Now the current time.
  void tick(TimePoint Now);

  /// Handles the outcome of a `ReadMembership`.
  /// \param Token the action's token; outcomes of other tokens than the pending
  /// one are ignored.
  /// \param Outcome the outcome.
  /// \param Now the current time.
  void noteRead(std::uint64_t Token, const ReadOutcome &Outcome, TimePoint Now);

  /// Handles the outcome of a `WriteMembership`.
  /// \param Token the action's token; outcomes of other tokens than the pending
  /// one are ignored.
  /// \param Outcome the outcome.
  /// \param Now the current time.
  void noteTransact(std::uint64_t Token, const TransactOutcome &Outcome,
                    TimePoint Now);

  /// Handles a message from another member.
  /// \param Sender the sender, as authenticated by the transport.
  /// \param Message the message.
  /// \param Now the current time.
  void receive(const MemberId &Sender, const MembershipMessage &Message,
               TimePoint Now);

  /// \param Revision the configuration revision now in force here.
  void setRevision(std::uint64_t Revision) { Revision_ = Revision; }

  /// Has this instance's shards reassigned before it leaves. The instance keeps
  /// serving meanwhile.
  /// \param Now the current time.
  void retire(TimePoint Now);

  /// Leaves the membership and ends the lease at once. All holdings must have
  /// been returned or dropped before.
  /// \param Now the current time.
  void leave(TimePoint Now);

  /// Records that the platform no longer lists an instance that it listed
  /// before.
  /// \param Name the instance.
  void notePlatformGone(const InstanceId &Name);

  /// \returns the actions requested since the previous call, in order.
  std::vector<MembershipAction> takeActions();

  /// \returns the end of this instance's lease.
  TimePoint validUntil() const { return Lease_.validUntil(); }
  /// \returns the adopted epoch; number 0 before the first.
  const EpochDocument &document() const { return Document_; }
  /// \returns whether the adopted epoch lists this incarnation.
  bool isMember() const { return Document_.hasMember(Settings_.Self_); }
  /// \returns whether the adopted epoch lists this instance as retiring.
  bool isRetired() const;
  /// \returns whether this incarnation has left and the adopted epoch no longer
  /// lists it.
  bool hasLeft() const { return IsLeaving_ && !isMember(); }
  /// \returns the newest configuration revision reported by another member.
  std::uint64_t newestRevisionSeen() const { return NewestRevision_; }
  /// \returns counters since the start.
  const MembershipCounters &counters() const { return Counters_; }

private:
  enum class Purpose : std::uint8_t { Poll, Fetch, Write };
  struct Pending {
    std::uint64_t Token_ = 0;
    Purpose Purpose_ = Purpose::Poll;
    TimePoint SentAt_;
  };

  void poll(TimePoint Now);
  void fetch(TimePoint Now);
  void propose(TimePoint Now);
  void startRead(Purpose ReadPurpose, TableQuery Query, TimePoint Now);
  void noteHead(const TableRows &Rows, TimePoint SentAt);
  void noteDocuments(const TableRows &Rows, TimePoint SentAt, TimePoint Now);
  void adopt(const EpochDocument &Document, TimePoint Now);
  void scheduleRetry(TimePoint Now);
  void backOff(TimePoint Now);
  EpochChange wantedChange(TimePoint Now) const;
  void sendHeartbeats(TimePoint Now);
  void sendSuspicions(TimePoint Now);
  void sendQueries(TimePoint Now);
  void announceGone(const MemberId &Id);
  void send(const MemberId &Recipient, MembershipMessage Message);
  Duration jitter(Duration Min, Duration Max);

  void onMessage(const MemberId &Sender, const Heartbeat &Message,
                 TimePoint Now);
  void onMessage(const MemberId &Sender, const HeartbeatAck &Message,
                 TimePoint Now);
  void onMessage(const MemberId &Sender, const SuspectNotice &Message,
                 TimePoint Now);
  void onMessage(const MemberId &Sender, const EpochQuery &Message,
                 TimePoint Now);
  void onMessage(const MemberId &Sender, const EpochConfirm &Message,
                 TimePoint Now);
  void onMessage(const MemberId &Sender, const Goodbye &Message, TimePoint Now);
  void onMessage(const MemberId &Sender, const DocumentRequest &Message,
                 TimePoint Now);
  void onMessage(const MemberId &Sender, const DocumentReply &Message,
                 TimePoint Now);
  void noteEpochOf(const MemberId &Sender, Epoch PeerEpoch, TimePoint Now);

  MembershipSettings Settings_;
  std::mt19937_64 Random_;
  InstanceLease Lease_;
  FailureDetector Detector_;
  DepartureTracker Departures_;
  EpochDocument Document_;
  std::optional<EpochDocument> Proposed_;
  std::optional<Pending> Pending_;
  TableVersion HeadVersion_ = AbsentVersion;
  Epoch HeadEpoch_ = 0;
  bool IsHeadFresh_ =
      false; ///< No write has used `HeadVersion_` since it was read.
  bool IsRetiring_ = false;
  bool IsLeaving_ = false;
  bool IsRemoved_ = false;
  std::uint64_t Revision_ = 0;
  std::uint64_t NewestRevision_ = 0;
  std::uint64_t NextToken_ = 1;
  unsigned Attempts_ = 0;
  TimePoint NextPoll_;
  TimePoint NextProposal_;
  TimePoint NextFetch_;
  TimePoint LastTick_;
  TimePoint NextHeartbeat_;
  TimePoint NextSuspectNotice_;
  std::set<MemberId> GoneButListed_; ///< Gone, but still in the document.
  std::vector<MembershipAction> Actions_;
  MembershipCounters Counters_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_MEMBERSHIP_MEMBERSHIPCORE_H

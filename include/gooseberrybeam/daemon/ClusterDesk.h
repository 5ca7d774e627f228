/// \file
/// This instance among the others: membership, lease and limits.
#ifndef GOOSEBERRYBEAM_DAEMON_CLUSTERDESK_H
#define GOOSEBERRYBEAM_DAEMON_CLUSTERDESK_H

#include "gooseberrybeam/base/Result.h"
#include "gooseberrybeam/daemon/DaemonState.h"
#include "gooseberrybeam/limits/LimitLedger.h"
#include "gooseberrybeam/membership/MembershipCore.h"
#include "gooseberrybeam/table/TableClient.h"

#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace gooseberry {

/// Names a reservation that waits, before it has a number.
using ReserveTicket = std::uintptr_t;

/// A reservation of one identity of this process.
struct ReservationRef {
  std::uint64_t Identity_ = 0;
  ReservationId Id_ = 0;
};

/// Runs the membership core and the limit ledger on the control thread.
class ClusterDesk {
public:
  /// Answer to a reservation: its number, or why there is none.
  using ReserveAnswer = Result<ReservationRef, LimitRefused>;
  using ReserveHandler = std::function<void(const ReserveAnswer &)>;

  /// What other parts do when the membership changes.
  struct Listeners {
    std::function<void(const EpochDocument &)> OnEpoch_;
    std::function<void(const MemberId &)> OnGone_;
    /// This process has a new identity: the old one was removed.
    std::function<void(const MemberId &)> OnRejoin_;
  };

  /// Sends messages to other members; may lose them.
  struct Senders {
    std::function<void(const MemberId &, const MembershipMessage &)>
        Membership_;
    std::function<void(const MemberId &, const LimitMessage &)> Limits_;
  };

  /// \param State takes the lease and the holders that are gone; outlives the
  /// desk.
  /// \param Table the table service; outlives the desk.
  /// \param Settings who this instance is.
  ClusterDesk(DaemonState &State, TableClient &Table,
              MembershipSettings Settings);

  /// \param Value called from `tick` and from outcomes of the table.
  void setListeners(Listeners Value) { Listeners_ = std::move(Value); }
  /// \param Value called from `tick`, `receive` and outcomes of the table.
  void setSenders(Senders Value) { Senders_ = std::move(Value); }

  /// Carries out what is due; called about every 20 ms.
  void tick();

  /// \param From the sender, as authenticated by the transport.
  /// \param Message a message of its membership core.
  void receive(const MemberId &From, const MembershipMessage &Message);
  /// \param From the sender, as authenticated by the transport.
  /// \param Message a message of its ledger.
  void receive(const MemberId &From, const LimitMessage &Message);

  /// The platform has stopped listing an instance.
  /// \param Name the instance.
  void notePlatformGone(const InstanceId &Name);

  /// Reserves tokens of an organisation.
  /// \param Organisation the organisation.
  /// \param Tokens prompt and output together.
  /// \param HoldUntil until when the answer may be held back.
  /// \param Ticket unique among reservations that wait.
  /// \param Handler takes the answer, once.
  void reserve(const OrganisationId &Organisation, std::int64_t Tokens,
               TimePoint HoldUntil, ReserveTicket Ticket,
               ReserveHandler Handler);

  /// Withdraws a reservation that still waits; its handler gets a refusal.
  /// \param Ticket its ticket; one that does not wait is ignored.
  void withdraw(ReserveTicket Ticket);

  /// Ends a reservation.
  /// \param Ref the reservation; one of an earlier identity is ignored.
  /// \param Used the tokens used; the rest is returned.
  void settle(const ReservationRef &Ref, std::int64_t Used);

  /// Hands shards and parts of limits to others, while requests are served
  /// on; called when a graceful shutdown begins.
  void retire();
  /// Returns all borrowed parts of limits, then leaves the membership.
  void leave();
  /// \returns whether the membership has recorded that this instance left.
  bool hasLeft() const { return Membership_->hasLeft(); }

  /// \returns the membership, for reports.
  const MembershipCore &membership() const { return *Membership_; }
  /// \returns the ledger, for reports.
  const LimitLedger &limits() const { return *Limits_; }
  /// \returns this process's identity.
  const MemberId &self() const { return Settings_.Self_; }

private:
  struct HeldReservation {
    ReserveTicket Ticket_ = 0;
    ReserveHandler Handler_;
  };

  void carryOut();
  void carryOutMembership();
  void carryOutLimits();
  void perform(ReadMembership &Action);
  void perform(WriteMembership &Action);
  void perform(SendMembershipMessage &Action);
  void perform(EpochAdopted &Action);
  void perform(MemberGone &Action);
  void perform(SelfRemoved &Action);
  void perform(ReservationGranted &Action);
  void perform(ReservationRefused &Action);
  void perform(SendLimitMessage &Action);
  void answer(ReservationId Id, const ReserveAnswer &Answer);
  void followConfiguration();
  void publishLease();

  DaemonState &State_;
  TableClient &Table_;
  MembershipSettings Settings_;
  std::unique_ptr<MembershipCore> Membership_;
  std::unique_ptr<LimitLedger> Limits_;
  /// Counts identities, so that outcomes of an earlier one are dropped.
  std::uint64_t Identity_ = 0;
  ConfigurationPtr Configuration_ = std::make_shared<const Configuration>();
  std::unordered_map<ReservationId, HeldReservation> Held_;
  Listeners Listeners_;
  Senders Senders_;
  bool IsLeaving_ = false;
  bool IsCarryingOut_ = false;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_DAEMON_CLUSTERDESK_H

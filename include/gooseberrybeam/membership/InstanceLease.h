/// \file
/// The lease during which this instance may serve requests.
#ifndef GOOSEBERRYBEAM_MEMBERSHIP_INSTANCELEASE_H
#define GOOSEBERRYBEAM_MEMBERSHIP_INSTANCELEASE_H

#include "gooseberrybeam/base/Time.h"
#include "gooseberrybeam/membership/MembershipMessages.h"

#include <map>
#include <span>
#include <vector>

namespace gooseberry {

/// Validity of one confirmation, counted from when its request was sent.
inline constexpr Duration LeaseDuration = std::chrono::seconds(3);
/// Allowance for clock rate differences between instances.
inline constexpr Duration LeaseMargin = std::chrono::milliseconds(200);

/// Extends this instance's lease by table reads and by heartbeat
/// acknowledgements of a majority of its witnesses.
class InstanceLease {
public:
  /// Switches to an epoch and discards acknowledgements of earlier ones.
  /// \param Current the adopted epoch.
  /// \param Witnesses this instance's witnesses in it.
  void adoptEpoch(Epoch Current, std::span<const MemberId> Witnesses);

  /// Makes the next heartbeat.
  /// \param Revision the configuration revision in force here.
  /// \param Now the current time; an acknowledgement extends the lease from it.
  Heartbeat makeHeartbeat(std::uint64_t Revision, TimePoint Now);

  /// Records an acknowledgement. Those from other members than the witnesses,
  /// from another epoch or for an unknown heartbeat are ignored.
  /// \param Witness the sender.
  /// \param Ack the acknowledgement.
  /// \param Revision the configuration revision in force here; an
  /// acknowledgement that names a newer one is ignored.
  void noteAck(const MemberId &Witness, const HeartbeatAck &Ack,
               std::uint64_t Revision);

  /// Records a table read or write whose result lists this incarnation.
  /// \param SentAt when it was sent.
  void noteListed(TimePoint SentAt);

  /// Ends the lease; it cannot be extended again.
  void revoke();

  /// \returns the end of the lease; the clock's epoch if there is none.
  TimePoint validUntil() const { return ValidUntil_; }
  /// \returns the witnesses in the current epoch.
  std::span<const MemberId> witnesses() const { return Witnesses_; }

private:
  void extend(TimePoint SentAt);

  Epoch Epoch_ = 0;
  std::vector<MemberId> Witnesses_;
  std::map<MemberId, TimePoint> AckedSentAt_;
  std::map<std::uint64_t, TimePoint> SentAt_;
  std::uint64_t NextNumber_ = 1;
  TimePoint ValidUntil_;
  bool IsRevoked_ = false;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_MEMBERSHIP_INSTANCELEASE_H

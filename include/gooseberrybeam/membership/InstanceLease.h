/// \file
/// Until when this instance may serve.
#ifndef GOOSEBERRYBEAM_MEMBERSHIP_INSTANCELEASE_H
#define GOOSEBERRYBEAM_MEMBERSHIP_INSTANCELEASE_H

#include "gooseberrybeam/base/Time.h"
#include "gooseberrybeam/membership/MembershipMessages.h"

#include <map>
#include <span>
#include <vector>

namespace gooseberry {

/// How long one confirmation is valid, from when it was asked for.
inline constexpr Duration LeaseDuration = std::chrono::seconds(3);
/// Allowance for clocks that run at different speeds.
inline constexpr Duration LeaseMargin = std::chrono::milliseconds(200);

/// Extends the lease by table reads and by witnesses' acknowledgements.
class InstanceLease {
public:
  /// Follows an epoch: earlier acknowledgements count no more.
  /// \param Current the epoch.
  /// \param Witnesses this instance's witnesses in it.
  void adoptEpoch(Epoch Current, std::span<const MemberId> Witnesses);

  /// Makes the next heartbeat.
  /// \param Revision the configuration revision in force here.
  /// \param Now the clock reading, from which acknowledgements count.
  Heartbeat makeHeartbeat(std::uint64_t Revision, TimePoint Now);

  /// Takes a witness's acknowledgement.
  /// \param Witness the witness.
  /// \param Ack the acknowledgement.
  /// \param Revision the configuration revision in force here; an
  /// acknowledgement that names a newer one does not count.
  void noteAck(const MemberId &Witness, const HeartbeatAck &Ack,
               std::uint64_t Revision);

  /// Takes a table read that still listed this incarnation.
  /// \param SentAt when the read was sent.
  void noteListed(TimePoint SentAt);

  /// Ends the lease for good.
  void revoke();

  /// \returns the end of the lease; the clock's origin if there is none.
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

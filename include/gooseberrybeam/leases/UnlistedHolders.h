/// \file
/// Tracks for how long no epoch has listed a holder.
#ifndef GOOSEBERRYBEAM_LEASES_UNLISTEDHOLDERS_H
#define GOOSEBERRYBEAM_LEASES_UNLISTEDHOLDERS_H

#include "gooseberrybeam/base/Time.h"
#include "gooseberrybeam/leases/KvHolding.h"

#include <map>

namespace gooseberry {

/// Recognises holders that were gone before this process started, of which the
/// epoch document has no trace. Only time with a valid instance lease counts: a
/// member with a valid lease learns of an epoch that lists the holder within
/// `LeaseDuration`.
class UnlistedHolders {
public:
  /// \param GracePeriod leased time without a listing after which a holder
  /// counts as gone.
  explicit UnlistedHolders(Duration GracePeriod) : GracePeriod_(GracePeriod) {}

  /// Adds the time since the previous tick, if the lease was valid throughout.
  /// \param Now the current time.
  /// \param IsLeaseValid whether this instance's lease is valid.
  void tick(TimePoint Now, bool IsLeaseValid);

  /// Records that the adopted epoch lists a holder, as a member or as departed.
  /// \param Value the holder.
  void onListed(const Holder &Value) { UnlistedSince_.erase(Value); }

  /// Records that the adopted epoch does not list a holder.
  /// \param Value the holder.
  /// \returns whether it has been unlisted for the grace period.
  bool isGone(const Holder &Value);

private:
  Duration GracePeriod_;
  Duration LeasedTime_ = Duration::zero(); ///< Total time with a valid lease.
  TimePoint LastTick_;
  bool WasLeaseValid_ = false;
  std::map<Holder, Duration> UnlistedSince_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_LEASES_UNLISTEDHOLDERS_H

/// \file
/// Tells for how long no epoch has listed a holder.
#ifndef GOOSEBERRYBEAM_LEASES_UNLISTEDHOLDERS_H
#define GOOSEBERRYBEAM_LEASES_UNLISTEDHOLDERS_H

#include "gooseberrybeam/base/Time.h"
#include "gooseberrybeam/leases/KvHolding.h"

#include <map>

namespace gooseberry {

/// Covers holders that were known gone before this process started. Only time
/// with a valid instance lease counts: a member whose lease is valid learns of
/// the epoch that lists a holder within the lease's length.
class UnlistedHolders {
public:
  /// \param GracePeriod unlisted time after which a holder counts as gone.
  explicit UnlistedHolders(Duration GracePeriod) : GracePeriod_(GracePeriod) {}

  /// Notices time.
  /// \param Now the clock.
  /// \param IsLeaseValid whether this instance's lease is valid.
  void tick(TimePoint Now, bool IsLeaseValid);

  /// The epoch in force lists a holder, as a member or as departed.
  /// \param Value the holder.
  void onListed(const Holder &Value) { UnlistedSince_.erase(Value); }

  /// The epoch in force does not list a holder.
  /// \param Value the holder.
  /// \returns whether it has not been listed for long enough to be gone.
  bool isGone(const Holder &Value);

private:
  Duration GracePeriod_;
  Duration LeasedTime_ = Duration::zero(); ///< Time with a valid lease.
  TimePoint LastTick_;
  bool WasLeaseValid_ = false;
  std::map<Holder, Duration> UnlistedSince_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_LEASES_UNLISTEDHOLDERS_H

/// \file
/// Chooses a backend server of a plain service.
#ifndef GOOSEBERRYBEAM_SERVICE_SERVICEPICKER_H
#define GOOSEBERRYBEAM_SERVICE_SERVICEPICKER_H

#include "gooseberrybeam/base/Ids.h"
#include "gooseberrybeam/base/Time.h"

#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>

namespace gooseberry {

/// Chooses the server with the fewest calls in flight from this worker; ties
/// go round. A server that failed is avoided for a second where others are
/// left.
class ServicePicker {
public:
  /// \param Servers live servers.
  /// \param Avoid a server that has just failed; may be empty.
  /// \param Now the clock.
  /// \returns the choice, or none if there are no servers.
  std::optional<BackendId> pick(std::span<const BackendId> Servers,
                                const BackendId &Avoid, TimePoint Now);

  /// \param Server a call to it begins.
  void onBegin(const BackendId &Server);

  /// \param Server a call to it has ended.
  /// \param HasFailed whether it failed.
  /// \param Now the clock.
  void onEnd(const BackendId &Server, bool HasFailed, TimePoint Now);

private:
  struct Load {
    std::uint32_t InFlight_ = 0;
    TimePoint AvoidUntil_;
  };

  std::uint64_t costOf(const BackendId &Server, const BackendId &Avoid,
                       TimePoint Now) const;

  std::unordered_map<BackendId, Load> Loads_;
  std::size_t Turn_ = 0;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_SERVICE_SERVICEPICKER_H

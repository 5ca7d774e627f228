/// \file
/// The limits that backend servers have stated to one instance.
#ifndef GOOSEBERRYBEAM_RELAY_STATEDLIMITS_H
#define GOOSEBERRYBEAM_RELAY_STATEDLIMITS_H

#include "gooseberrybeam/base/Time.h"
#include "gooseberrybeam/relay/ServerLimit.h"

#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace gooseberry {

/// Remembers the limit in the latest response of each server, and decides when
/// the home has to be told.
class StatedLimits {
public:
  /// Records a response of a server.
  /// \param Server the server.
  /// \param RequestsPerSecond its limit; none if the response states none.
  /// \param Now the current time.
  /// \returns whether the home has to be told: on a change, and now and then.
  bool onResponse(const ServerId &Server,
                  std::optional<double> RequestsPerSecond, TimePoint Now);
  /// Replaces the limits by those that the home knows, but for those that were
  /// reported to it just now.
  /// \param Limits the limits.
  /// \param Now the current time.
  void assign(std::span<const ServerLimit> Limits, TimePoint Now);

  /// \returns whether \p Server has stated a limit.
  bool isLimited(const ServerId &Server) const {
    return Limits_.contains(Server);
  }
  /// \returns all limits.
  std::vector<ServerLimit> all() const;

private:
  struct StatedLimit {
    double RequestsPerSecond_ = 0;
    TimePoint ReportedAt_; ///< To the home.
  };

  std::unordered_map<ServerId, StatedLimit> Limits_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_STATEDLIMITS_H

/// \file
/// A route to a plain service.
#ifndef GOOSEBERRYBEAM_CONFIG_SERVICEROUTE_H
#define GOOSEBERRYBEAM_CONFIG_SERVICEROUTE_H

#include "gooseberrybeam/base/Ids.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberry {

/// Routes requests with a path prefix to the backend servers of a service.
struct ServiceRoute {
  std::string Prefix_; ///< Starts with `/` and does not end with it.
  /// The service label of the backend servers in the platform's list.
  std::string Service_;
  ClassId Class_;
  std::vector<std::string> IdempotentMethods_ = {"GET", "HEAD", "OPTIONS"};
  bool IsOpen_ = false;             ///< Accepts requests without an API key.
  std::uint32_t TokensPerCall_ = 1; ///< Rate-limit cost of a request.

  /// \param Method an HTTP method in upper case.
  /// \returns whether a request with \p Method may be retried.
  bool isIdempotent(std::string_view Method) const;

  /// \param Path a request path without the query.
  /// \returns whether \p Path equals the prefix or is a path below it.
  bool isMatch(std::string_view Path) const;

  friend bool operator==(const ServiceRoute &, const ServiceRoute &) = default;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_CONFIG_SERVICEROUTE_H

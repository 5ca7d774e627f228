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

/// Sends the paths under a prefix to the backend servers of one service.
struct ServiceRoute {
  std::string Prefix_; ///< Begins with `/`, does not end with it.
  std::string
      Service_; ///< Label of its backend servers in the platform's list.
  ClassId Class_;
  std::vector<std::string> IdempotentMethods_ = {"GET", "HEAD", "OPTIONS"};
  bool IsOpen_ = false; ///< Needs no key.
  std::uint32_t TokensPerCall_ = 1;

  /// \param Method an HTTP method in capitals.
  /// \returns whether a call with it may be repeated.
  bool isIdempotent(std::string_view Method) const;

  /// \param Path a request's path, without its query.
  /// \returns whether \p Path is the prefix or lies under it.
  bool isMatch(std::string_view Path) const;

  friend bool operator==(const ServiceRoute &, const ServiceRoute &) = default;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_CONFIG_SERVICEROUTE_H

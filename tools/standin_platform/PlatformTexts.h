/// \file
/// What the platform, its operator and its callers write, in its spelling.
#ifndef TOOLS_STANDIN_PLATFORM_PLATFORMTEXTS_H
#define TOOLS_STANDIN_PLATFORM_PLATFORMTEXTS_H

#include "standin_platform/BackendFace.h"

#include <cstdint>
#include <string>

namespace gooseberry {

/// A backend server as it registers.
struct RegisteredBackend {
  std::string Service_;
  std::string Address_; ///< `ip:port`.
  BackendPart Part_ = BackendPart::Plain;
  std::string Zone_ = "dc-a"; ///< Its data centre.
  bool IsLeaving_ = false;
  std::uint64_t Starts_ = 1; ///< Of its process.
};

/// Where a process listens and what it uses.
struct NodePlace {
  std::string Name_;
  std::string Callers_;   ///< `ip:port`.
  std::string Readiness_; ///< `ip:port`.
  std::string Store_;     ///< `ip:port`.
  std::uint16_t FirstInnerPort_ = 0;
  std::uint16_t LastInnerPort_ = 0;
};

/// A caller's request.
struct CallerOrder {
  http::verb Verb_ = http::verb::get;
  std::string Path_;
  std::string Id_;
  std::string Key_;
  std::string DeadlineMs_;
  std::string Tokens_; ///< Prompt and output, with a comma; empty for none.
  std::string Body_;
};

/// Host of the routes of `writeConfiguration`.
inline constexpr const char *RouteHost = "soak.example";

/// \param Server a backend server.
/// \returns its row.
std::string writeRegistration(const RegisteredBackend &Server);
/// \param Version the version.
/// \returns a configuration with the routes `/check/`, `/book/`, `/stream/` and
/// `newestRoute`,
/// the services `booking` and `writer`, and organisations `one` and `two` with
/// the keys `key-one` and `key-two`.
std::string writeConfiguration(int Version);
/// \param Version the version of a configuration.
/// \returns the name of the route that only this version has.
std::string newestRoute(int Version);
/// \param Of a process.
/// \returns its settings file.
std::string writeNodeSettings(const NodePlace &Of);
/// \param Of a request.
/// \returns it, with a field that callers must not set.
http::request<http::string_body> makeCallerRequest(const CallerOrder &Of);

} // namespace gooseberry

#endif // TOOLS_STANDIN_PLATFORM_PLATFORMTEXTS_H

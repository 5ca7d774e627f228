/// \file
/// Faults that can be switched on in any stand-in.
#ifndef TOOLS_COMMON_FAULTS_H
#define TOOLS_COMMON_FAULTS_H

#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>
#include <limits>

namespace gooseberry {

/// Faults in force. All are off by default.
struct Faults {
  std::chrono::milliseconds Delay_{0}; ///< Added before each request.
  std::uint64_t DropReplies_ = 0;      ///< Replies still to be lost.
  std::uint64_t Refusals_ = 0;         ///< Requests still to be refused.
  bool IsStalled_ = false;             ///< Requests wait before any effect.

  /// Changes those faults that the body of `POST /debug/fault` names.
  /// \param Body the body.
  void update(const boost::json::object &Body);

  /// \returns whether the current request is refused; counts it.
  bool takeRefusal();

  /// \returns whether the current reply is lost; counts it.
  bool takeDroppedReply();

  /// \returns the faults in the form of `POST /debug/fault`.
  boost::json::object asJson() const;
};

} // namespace gooseberry

#endif // TOOLS_COMMON_FAULTS_H

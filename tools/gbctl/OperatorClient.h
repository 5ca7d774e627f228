/// \file
/// Calls an instance's operator port.
#ifndef GOOSEBERRYBEAM_TOOLS_GBCTL_OPERATORCLIENT_H
#define GOOSEBERRYBEAM_TOOLS_GBCTL_OPERATORCLIENT_H

#include "gooseberrybeam/base/Result.h"

#include <boost/json/value.hpp>

#include <string>
#include <string_view>

namespace gooseberry {

/// An answer of an operator port.
struct OperatorReply {
  int Status_ = 0;
  boost::json::value Body_;
};

/// Why there is no answer.
enum class CallError {
  NotReached, ///< The call was not sent.
  ReplyLost,  ///< It was sent and may have been carried out.
};

/// One call to one instance, on a connection of its own.
class OperatorClient {
public:
  /// \param Address `ip:port` of the operator port.
  /// \param Key the operators' key.
  OperatorClient(std::string Address, std::string Key)
      : Address_(std::move(Address)), Key_(std::move(Key)) {}

  /// \param Method an HTTP method.
  /// \param Target a path.
  /// \param Body JSON, or empty.
  /// \returns the answer, or why there is none.
  Result<OperatorReply, CallError> call(std::string_view Method,
                                        std::string_view Target,
                                        std::string Body) const;

  /// \returns the address.
  const std::string &address() const { return Address_; }

private:
  std::string Address_;
  std::string Key_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_TOOLS_GBCTL_OPERATORCLIENT_H

#include "gooseberrybeam/relayd/ServerCrashCheck.h"

#include "gooseberrybeam/http/Endpoint.h"

namespace gooseberry {
namespace {

/// The retry of the request waits for the check.
constexpr Duration CheckTimeout = std::chrono::milliseconds(200);

bool hasConnectionEnded(const CallError &Error) {
  const bool IsWrittenOrRead = Error.Failure_ == CallFailure::Receive ||
                               Error.Failure_ == CallFailure::Send;
  return IsWrittenOrRead && Error.MayHaveStarted_;
}

} // namespace

Task<bool> hasServerCrashed(ConnectionPool &Pool, BackendId Server,
                            CallError Error) {
  if (!hasConnectionEnded(Error))
    co_return false;
  const auto Endpoint = parseEndpoint(Server.Value_);
  if (!Endpoint)
    co_return false;
  CancelScope Scope;
  auto Made =
      co_await ClientConnection::connect(*Endpoint, CheckTimeout, Scope);
  if (!isOk(Made))
    co_return true;
  Pool.release(Server, takeValue(std::move(Made)));
  co_return false;
}

} // namespace gooseberry

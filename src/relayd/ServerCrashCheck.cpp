#include "gooseberrybeam/relayd/ServerCrashCheck.h"

namespace gooseberry {
namespace {

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
  CancelScope Scope;
  auto Acquired = co_await Pool.acquire(Server, Scope, ConnectionUse::New);
  if (!isOk(Acquired))
    co_return true;
  Pool.release(Server, takeValue(std::move(Acquired)));
  co_return false;
}

} // namespace gooseberry

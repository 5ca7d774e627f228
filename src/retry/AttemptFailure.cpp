#include "gooseberrybeam/retry/AttemptFailure.h"

#include <array>
#include <cassert>

namespace gooseberry {
namespace {

struct FailureInfo {
  AttemptFailure Failure_;
  std::string_view Code_;
  bool IsNotStarted_;
};

constexpr std::array<FailureInfo, AttemptFailureCount> Failures = {{
    {AttemptFailure::ConnectFailed, "connect_failed", true},
    {AttemptFailure::RefusedBusy, "refused_busy", true},
    {AttemptFailure::RefusedLeaving, "refused_leaving", true},
    {AttemptFailure::ConnectionLost, "connection_lost", false},
    {AttemptFailure::SilentConnection, "silent_connection", false},
    {AttemptFailure::ServerError, "server_error", false},
    {AttemptFailure::TransferStalled, "transfer_stalled", false},
    {AttemptFailure::KvGone, "kv_gone", true},
    {AttemptFailure::StreamBroken, "stream_broken", false},
}};

const FailureInfo &infoOf(AttemptFailure Failure) {
  const auto &Info = Failures[static_cast<std::size_t>(Failure)];
  assert(Info.Failure_ == Failure);
  return Info;
}

} // namespace

std::string_view asCode(AttemptFailure Failure) {
  return infoOf(Failure).Code_;
}

bool isNotStarted(AttemptFailure Failure) {
  return infoOf(Failure).IsNotStarted_;
}

} // namespace gooseberry

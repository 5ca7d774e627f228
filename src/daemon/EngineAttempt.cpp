#include "daemon/EngineAttempt.h"

#include <xxhash.h>

#include <array>

namespace gooseberry {
namespace {

constexpr std::size_t PrefixBytes = 1024;
constexpr std::size_t BytesPerToken = 4;

constexpr std::array<AttemptFailure, EngineFailureCount> Failures = {
    AttemptFailure::RefusedBusy,      AttemptFailure::RefusedBusy,
    AttemptFailure::RefusedBusy,      AttemptFailure::RefusedBusy,
    AttemptFailure::KvGone,           AttemptFailure::TransferStalled,
    AttemptFailure::RefusedBusy,      AttemptFailure::StreamBroken,
    AttemptFailure::RefusedBusy,      AttemptFailure::RefusedBusy,
    AttemptFailure::ConnectFailed,    AttemptFailure::ConnectionLost,
    AttemptFailure::SilentConnection, AttemptFailure::ServerError,
    AttemptFailure::StreamBroken};

} // namespace

AttemptFailure asAttemptFailure(EngineFailure Failure) {
  return Failures[static_cast<std::size_t>(Failure)];
}

bool isDeclined(const EngineError &Error) {
  return !Error.MayHaveStarted_ &&
         asAttemptFailure(Error.Failure_) == AttemptFailure::RefusedBusy;
}

ProgressKind asDecodeProgress(const EngineError &Error, bool IsImported) {
  if (IsImported)
    return ProgressKind::DecodeFailed;
  if (Error.Failure_ == EngineFailure::KvGone)
    return ProgressKind::KvGone;
  if (Error.Failure_ == EngineFailure::TransferStalled)
    return ProgressKind::TransferStalled;
  return isDeclined(Error) ? ProgressKind::DecodeRefused
                           : ProgressKind::DecodeFailed;
}

std::vector<std::uint64_t> hashPromptPrefixes(std::string_view Prompt) {
  std::vector<std::uint64_t> Hashes;
  Hashes.reserve(Prompt.size() / PrefixBytes);
  XXH64_state_t *State = XXH64_createState();
  XXH64_reset(State, 0);
  for (std::size_t At = 0; At + PrefixBytes <= Prompt.size();
       At += PrefixBytes) {
    XXH64_update(State, Prompt.data() + At, PrefixBytes);
    Hashes.push_back(XXH64_digest(State));
  }
  XXH64_freeState(State);
  return Hashes;
}

std::uint32_t estimateTokens(std::string_view Text) {
  return static_cast<std::uint32_t>((Text.size() + BytesPerToken - 1) /
                                    BytesPerToken);
}

} // namespace gooseberry

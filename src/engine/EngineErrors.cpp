#include "engine/EngineErrors.h"

#include "engine/EngineJson.h"

#include <array>

namespace gooseberry {
namespace {

constexpr int Conflict = 409;
constexpr int PreconditionFailed = 412;
constexpr int Unavailable = 503;

constexpr std::array<EngineFailure, 6> Failures = {
    EngineFailure::Unreachable, EngineFailure::Broken,
    EngineFailure::Broken,      EngineFailure::Silent,
    EngineFailure::Malformed,   EngineFailure::CallerGaveUp};

} // namespace

EngineError asEngineError(const CallError &Error) {
  const auto Index = static_cast<std::size_t>(Error.Failure_);
  return {Failures[Index], Error.MayHaveStarted_};
}

EngineError parseEngineRefusal(int Status, std::string_view Body) {
  const auto Failure = parseEngineError(Body);
  const bool IsNothingStarted = Status == Conflict ||
                                Status == PreconditionFailed ||
                                Status == Unavailable;
  if (!Failure)
    return {EngineFailure::Malformed, !IsNothingStarted};
  return {*Failure, !IsNothingStarted};
}

} // namespace gooseberry

#include "gooseberrybeam/engine/EngineTypes.h"

#include <array>

namespace gooseberry {
namespace {

constexpr std::array<std::string_view, EngineFailureCount> Codes = {
    "no_slot",           "no_memory",     "wrong_role",
    "wrong_model",       "kv_gone",       "transfer_stalled",
    "duplicate_request", "cancelled",     "stale_fence",
    "unreachable",       "broken",        "silent",
    "malformed",         "caller_gave_up"};

} // namespace

std::string_view asCode(EngineFailure Failure) {
  return Codes[static_cast<std::size_t>(Failure)];
}

EngineFailure parseEngineFailure(std::string_view Code) {
  for (std::size_t I = 0; I != Codes.size(); ++I)
    if (Codes[I] == Code)
      return static_cast<EngineFailure>(I);
  return EngineFailure::Malformed;
}

} // namespace gooseberry

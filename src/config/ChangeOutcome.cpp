#include "gooseberrybeam/config/ChangeOutcome.h"

#include <array>

namespace gooseberry {
namespace {

constexpr std::array<std::string_view, std::variant_size_v<ChangeOutcome>>
    OutcomeCodes = {
        "accepted", "committed_unconfirmed", "no_change", "conflict",
        "invalid",  "not_applied",           "unknown"};

constexpr std::array<std::string_view, 4> ReasonCodes = {
    "table_unavailable", "catching_up", "contended", "busy"};

} // namespace

std::string_view asCode(const ChangeOutcome &Outcome) {
  return OutcomeCodes.at(Outcome.index());
}

std::string_view asCode(NotAppliedReason Reason) {
  return ReasonCodes.at(static_cast<std::size_t>(Reason));
}

} // namespace gooseberry

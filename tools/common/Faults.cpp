#include "common/Faults.h"

#include "common/JsonFields.h"

namespace gooseberry {
namespace {

constexpr auto Endless = std::numeric_limits<std::uint64_t>::max();

/// Reads a field that is a count, or `true` for no end.
void updateCount(const boost::json::object &Body, std::string_view Name,
                 std::uint64_t &Count) {
  const auto *Field = Body.if_contains(Name);
  if (Field == nullptr)
    return;
  if (Field->is_bool())
    Count = Field->get_bool() ? Endless : 0;
  else
    Count = countOf(Body, Name);
}

bool takeOne(std::uint64_t &Count) {
  if (Count == 0)
    return false;
  if (Count != Endless)
    --Count;
  return true;
}

} // namespace

void Faults::update(const boost::json::object &Body) {
  if (Body.contains("delay_ms"))
    Delay_ = std::chrono::milliseconds(countOf(Body, "delay_ms"));
  updateCount(Body, "drop_reply_after_effect", DropReplies_);
  updateCount(Body, "refuse", Refusals_);
  if (Body.contains("stall"))
    IsStalled_ = isSet(Body, "stall");
}

bool Faults::takeRefusal() { return takeOne(Refusals_); }

bool Faults::takeDroppedReply() { return takeOne(DropReplies_); }

boost::json::object Faults::asJson() const {
  return {{"delay_ms", Delay_.count()},
          {"drop_reply_after_effect", DropReplies_},
          {"refuse", Refusals_},
          {"stall", IsStalled_}};
}

} // namespace gooseberry

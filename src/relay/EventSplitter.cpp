#include "gooseberrybeam/relay/EventSplitter.h"

#include <charconv>

namespace gooseberry {
namespace {

constexpr std::string_view IdField = "id:";

std::string_view trim(std::string_view Text) {
  while (!Text.empty() && Text.front() == ' ')
    Text.remove_prefix(1);
  while (!Text.empty() && (Text.back() == '\r' || Text.back() == ' '))
    Text.remove_suffix(1);
  return Text;
}

std::optional<std::uint64_t> parseId(std::string_view Line) {
  if (!Line.starts_with(IdField))
    return std::nullopt;
  const std::string_view Text = trim(Line.substr(IdField.size()));
  std::uint64_t Value = 0;
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Value);
  if (Text.empty() || Parsed.ec != std::errc() || Parsed.ptr != End)
    return std::nullopt;
  return Value;
}

} // namespace

void EventSplitter::append(std::string_view Bytes) {
  Buffer_.erase(0, ReadOffset_);
  ReadOffset_ = 0;
  Buffer_.append(Bytes);
}

std::optional<StreamEvent> EventSplitter::next() {
  StreamEvent Event;
  Event.IsComment_ = true;
  std::size_t LineStart = ReadOffset_;
  for (;;) {
    const std::size_t LineEnd = Buffer_.find('\n', LineStart);
    if (LineEnd == std::string::npos)
      return std::nullopt;
    const std::string_view Line(Buffer_.data() + LineStart,
                                LineEnd - LineStart);
    LineStart = LineEnd + 1;
    if (Line.empty() || Line == "\r")
      break;
    Event.IsComment_ = Event.IsComment_ && Line.starts_with(':');
    if (const auto Id = parseId(Line))
      Event.Id_ = Id;
  }
  Event.Bytes_ =
      std::string_view(Buffer_.data() + ReadOffset_, LineStart - ReadOffset_);
  ReadOffset_ = LineStart;
  return Event;
}

} // namespace gooseberry

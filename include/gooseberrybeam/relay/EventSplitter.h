/// \file
/// Splits an event stream into whole events.
#ifndef GOOSEBERRYBEAM_RELAY_EVENTSPLITTER_H
#define GOOSEBERRYBEAM_RELAY_EVENTSPLITTER_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gooseberry {

/// One whole event with its end.
struct StreamEvent {
  std::string_view Bytes_;          ///< Valid until the next call.
  std::optional<std::uint64_t> Id_; ///< Its `id` field, if it is a number.
};

/// Collects bytes of a `text/event-stream` body until an event is whole, so
/// that a stream which breaks inside an event is passed on only up to there.
class EventSplitter {
public:
  /// \param Bytes the next bytes of the body.
  void append(std::string_view Bytes);
  /// \returns the next whole event, or none.
  std::optional<StreamEvent> next();
  /// \returns whether bytes of an unfinished event are held.
  bool hasPartialEvent() const { return ReadOffset_ < Buffer_.size(); }
  /// \returns the number of bytes held.
  std::size_t bufferedBytes() const { return Buffer_.size() - ReadOffset_; }

private:
  std::string Buffer_;
  std::size_t ReadOffset_ = 0;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_EVENTSPLITTER_H

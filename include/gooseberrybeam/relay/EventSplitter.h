/// \file
/// Splits a server-sent event stream into complete events.
#ifndef GOOSEBERRYBEAM_RELAY_EVENTSPLITTER_H
#define GOOSEBERRYBEAM_RELAY_EVENTSPLITTER_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gooseberry {

/// A complete event, including its terminating blank line.
struct StreamEvent {
  std::string_view Bytes_; ///< Valid until the next call of `append`.
  /// The `id` field if it is a decimal number.
  std::optional<std::uint64_t> Id_;
  bool IsComment_ = false; ///< Has no field, e.g. to keep the stream alive.
};

/// Buffers a `text/event-stream` body and returns complete events only, so that
/// a stream which breaks inside an event is forwarded up to the last complete
/// event.
class EventSplitter {
public:
  /// \param Bytes the next bytes of the body.
  void append(std::string_view Bytes);
  /// \returns the next complete event, or none if more bytes are needed.
  std::optional<StreamEvent> next();
  /// \returns whether bytes of an incomplete event are buffered.
  bool hasPartialEvent() const { return ReadOffset_ < Buffer_.size(); }
  /// \returns the number of buffered bytes that were not returned as events.
  std::size_t bufferedBytes() const { return Buffer_.size() - ReadOffset_; }

private:
  std::string Buffer_;
  std::size_t ReadOffset_ = 0;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_EVENTSPLITTER_H

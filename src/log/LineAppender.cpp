#include "log/LineAppender.h"

#include <log4cxx/layout.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>

namespace log4cxx {
namespace {

constexpr std::uint32_t LinesPerSecond = 600;
/// A pipe that is ready for writing takes this many bytes without waiting.
constexpr std::size_t MaxLine = 4096;

bool isReady() {
  pollfd Output{STDOUT_FILENO, POLLOUT, 0};
  return ::poll(&Output, 1, 0) == 1 && (Output.revents & POLLOUT) != 0;
}

} // namespace

IMPLEMENT_LOG4CXX_OBJECT(LineAppender)

LineAppender::LineAppender() : Budget_(LinesPerSecond) {}

LineAppender::LineAppender(const LayoutPtr &Format) : Budget_(LinesPerSecond) {
  setLayout(Format);
}

bool LineAppender::tryWrite(std::string_view Line) {
  if (!isReady())
    return false;
  const std::size_t Size = std::min(Line.size(), MaxLine);
  const ssize_t Written = ::write(STDOUT_FILENO, Line.data(), Size);
  IsInsideLine_ = Written < static_cast<ssize_t>(Line.size()) && Written > 0;
  return Written > 0;
}

void LineAppender::writeDropped() {
  const std::uint64_t Dropped = Budget_.dropped();
  const std::string Line = std::string(IsInsideLine_ ? "\n" : "") +
                           "daemon: Log lines were dropped. {\"count\":\"" +
                           std::to_string(Dropped) + "\"}\n";
  if (tryWrite(Line))
    Budget_.takeDropped();
}

void LineAppender::append(const spi::LoggingEventPtr &Event,
                          helpers::Pool &Pool) {
  // The base class holds the lock.
  if (!Budget_.tryTake(gooseberry::readBootClock()))
    return;
  if (Budget_.dropped() > 0)
    writeDropped();
  LogString Line;
  getLayout()->format(Line, Event, Pool);
  if (!tryWrite(Line))
    Budget_.noteDropped();
}

} // namespace log4cxx

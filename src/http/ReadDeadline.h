/// \file
/// A bound on reads that leaves the connection open for an answer.
#ifndef GOOSEBERRYBEAM_SRC_HTTP_READDEADLINE_H
#define GOOSEBERRYBEAM_SRC_HTTP_READDEADLINE_H

#include "gooseberrybeam/base/Time.h"
#include "gooseberrybeam/http/Asio.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace gooseberry {

/// Cancels a stream's pending operations when a time has passed, unless it is
/// destroyed before.
class ReadDeadline {
public:
  /// \param Stream the stream; outlives the deadline.
  /// \param Timeout when to cancel, from now.
  ReadDeadline(beast::tcp_stream &Stream, Duration Timeout)
      : Timer_(Stream.get_executor(), Timeout),
        State_(std::make_shared<State>()) {
    Timer_.async_wait([&Stream, Shared = State_](const auto &Error) {
      if (Error || !Shared->IsActive_)
        return;
      Shared->HasPassed_ = true;
      boost::system::error_code Ignored;
      Stream.socket().cancel(Ignored);
    });
  }
  ~ReadDeadline() { State_->IsActive_ = false; }
  ReadDeadline(const ReadDeadline &) = delete;
  ReadDeadline &operator=(const ReadDeadline &) = delete;

  /// \returns whether the time has passed.
  bool hasPassed() const { return State_->HasPassed_; }

private:
  struct State {
    bool IsActive_ = true;
    bool HasPassed_ = false;
  };

  asio::steady_timer Timer_;
  std::shared_ptr<State> State_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_SRC_HTTP_READDEADLINE_H

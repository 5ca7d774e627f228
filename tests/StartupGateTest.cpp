#include "gooseberrybeam/relayd/StartupGate.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

/// A request that waits at the gate.
class WaitingRequest {
public:
  WaitingRequest(asio::io_context &Context, StartupGate &Gate,
                 std::optional<Duration> TimeLeft) {
    asio::co_spawn(Context, wait(Gate, TimeLeft), asio::detached);
    Context.restart();
    Context.poll();
  }

  /// \returns whether the gate let it pass; none while it waits.
  std::optional<bool> hasPassed() const { return HasPassed_; }

private:
  Task<void> wait(StartupGate &Gate, std::optional<Duration> TimeLeft) {
    HasPassed_ = co_await Gate.wait(TimeLeft);
  }

  std::optional<bool> HasPassed_;
};

} // namespace

TEST_CASE("Requests that arrive while an instance starts", "[relay]") {
  asio::io_context Context;

  SECTION("of a process that has just started") {
    StartupGate Gate(Context, readBootClock());
    const WaitingRequest Stream(Context, Gate, 600s);
    const WaitingRequest WithoutDeadline(Context, Gate, std::nullopt);
    SECTION("are held") {
      CHECK_FALSE(Stream.hasPassed());
      CHECK_FALSE(WithoutDeadline.hasPassed());
    }
    SECTION("are served once the instance has its state") {
      Gate.open();
      Context.poll();
      CHECK(Stream.hasPassed() == true);
      CHECK(WithoutDeadline.hasPassed() == true);
      SECTION("as are later ones") {
        const WaitingRequest Later(Context, Gate, 600s);
        CHECK(Later.hasPassed() == true);
      }
    }
    SECTION("are not held beyond the caller's time") {
      const WaitingRequest Expired(Context, Gate, 0s);
      CHECK(Expired.hasPassed() == false);
    }
  }
  SECTION("of a process that has been without its state for long are not "
          "held") {
    StartupGate Gate(Context, readBootClock() - 10s);
    const WaitingRequest Stream(Context, Gate, 600s);
    CHECK(Stream.hasPassed() == false);
  }
}

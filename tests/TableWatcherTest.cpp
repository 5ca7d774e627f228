#include "gooseberrybeam/relayd/TableWatcher.h"

#include <catch2/catch.hpp>

#include <stdexcept>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

constexpr Duration TestTimeout = 10s;

/// A store that has one more row after each call.
class GrowingStore final : public RowStore {
public:
  Task<ReadResult> read(std::string, CancelScope &) override {
    ++Reads_;
    co_return makeRows();
  }
  Task<ReadResult> watch(std::string, StoreVersion, Duration,
                         CancelScope &) override {
    asio::steady_timer Timer(co_await asio::this_coro::executor, 5ms);
    co_await Timer.async_wait(AsTuple);
    co_return makeRows();
  }
  Task<WriteResult> write(RowWrite, CancelScope &) override {
    co_return StoreFailure::Refused;
  }

  int Reads_ = 0;

private:
  StoreRows makeRows() {
    StoreRows Rows;
    Rows.Version_ = {++Number_, 1};
    Rows.Rows_.push_back({"t", std::to_string(Number_), "v", Rows.Version_});
    return Rows;
  }

  std::uint64_t Number_ = 0;
};

} // namespace

TEST_CASE("An exception as rows are applied does not end the watch of a table",
          "[relay][odd]") {
  asio::io_context Context;
  GrowingStore Store;
  std::vector<std::string> Applied;
  std::string ThrowsAt;
  const auto Apply = [&](const StoreRows &Rows) {
    const std::string &Key = Rows.Rows_.front().Key_;
    if (Key == ThrowsAt)
      throw std::runtime_error("odd row");
    Applied.push_back(Key);
  };
  TableWatcher::Listener Handlers = {Apply, Apply, [] {}, [] {}};
  TableWatcher::Control Control = {[] { return TableWatcher::Pace(); },
                                   [] { return false; },
                                   [] { return StoreVersion(); }};
  TableWatcher Watcher(Context, Store, "t", Control, Handlers);

  SECTION("in the first snapshot") { ThrowsAt = "1"; }
  SECTION("in a change") { ThrowsAt = "3"; }
  Watcher.start();
  const TimePoint End = readBootClock() + TestTimeout;
  while (Applied.size() < 5 && readBootClock() < End)
    Context.run_one_for(10ms);
  CHECK(Applied.size() == 5);
  CHECK(Store.Reads_ == 2);
}

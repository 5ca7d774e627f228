#include "HttpRowStore.h"

#include "support/ScriptedBackend.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

using namespace gooseberry;
using namespace gooseberry::platform;
using namespace std::chrono_literals;

namespace {

constexpr Duration TestTimeout = 10s;

std::string makeReply(int Status, std::string_view Era, std::string_view Body) {
  std::string Head = "HTTP/1.1 " + std::to_string(Status) + " Some\r\n";
  if (!Era.empty())
    Head += "Store-Era: " + std::string(Era) + "\r\n";
  return Head + "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         std::string(Body);
}

/// A store whose era and rows the test sets, and its client.
class StoreUnderTest {
public:
  /// \returns the outcome of one call.
  template <typename T, typename Call> T run(Call Make) {
    std::optional<T> Outcome;
    const auto Run = [&]() -> Task<void> {
      Outcome = co_await Make(Client_, Scope_);
    };
    asio::co_spawn(Context_, Run, asio::detached);
    const TimePoint End = readBootClock() + TestTimeout;
    while (!Outcome && readBootClock() < End)
      Context_.run_one_for(10ms);
    return std::move(*Outcome);
  }
  RowStore::ReadResult read() {
    return run<RowStore::ReadResult>([](RowStore &Store, CancelScope &Scope) {
      return Store.read("op", Scope);
    });
  }
  RowStore::ReadResult watch(StoreVersion After) {
    return run<RowStore::ReadResult>(
        [After](RowStore &Store, CancelScope &Scope) {
          return Store.watch("op", After, 100ms, Scope);
        });
  }
  RowStore::WriteResult writeIf(StoreVersion Expected) {
    return run<RowStore::WriteResult>(
        [Expected](RowStore &Store, CancelScope &Scope) {
          RowWrite Write;
          Write.Row_.Table_ = "t";
          Write.Row_.Key_ = "k";
          Write.ExpectedVersion_ = Expected;
          return Store.write(std::move(Write), Scope);
        });
  }
  std::size_t calls() const { return Server_.requests().size(); }

  std::string Era_ = "1";
  int Status_ = 200;
  std::string Body_ =
      R"({"rows":[{"table":"op","key":"config","value":"","ver":7}],"ver":9})";

private:
  asio::io_context Context_;
  ScriptedBackend Server_{Context_, [this](const ScriptedRequest &) {
                            return ScriptedAnswer{
                                makeReply(Status_, Era_, Body_)};
                          }};
  HttpRowStore Client_{{Server_.address()}};
  CancelScope Scope_;
};

} // namespace

TEST_CASE("Versions of the store are of the era that it states",
          "[platform][restored]") {
  StoreUnderTest Store;
  const auto First = Store.read();
  REQUIRE(isOk(First));
  CHECK(valueOf(First).Version_ == StoreVersion(9, 1));
  CHECK(valueOf(First).Rows_.front().Version_ == StoreVersion(7, 1));

  SECTION("or of the last one stated, if it states none or no number") {
    for (const char *Era : {"", "x", "-1", "1.5"}) {
      Store.Era_ = Era;
      const auto Read = Store.read();
      REQUIRE(isOk(Read));
      CHECK(valueOf(Read).Version_ == StoreVersion(9, 1));
    }
  }
  SECTION("changes after a version of the same era are taken") {
    CHECK(isOk(Store.watch({8, 1})));
  }
  SECTION("after the store was restored") {
    Store.Era_ = "2";
    SECTION("changes after a number that was given out again are not all") {
      const auto Changes = Store.watch({8, 1});
      REQUIRE_FALSE(isOk(Changes));
      CHECK(errorOf(Changes) == StoreFailure::Restored);
      CHECK(valueOf(Store.read()).Version_ == StoreVersion(9, 2));
    }
    SECTION("a condition on a version of before is not met") {
      CHECK(isOk(Store.writeIf({7, 1})));
      const std::size_t Calls = Store.calls();
      const auto Written = Store.writeIf({7, 1});
      REQUIRE_FALSE(isOk(Written));
      CHECK(errorOf(Written) == StoreFailure::Conflict);
      CHECK(Store.calls() == Calls);
      CHECK(isOk(Store.writeIf({7, 2})));
      CHECK(isOk(Store.writeIf({})));
    }
    SECTION("an error tells the era too") {
      Store.Status_ = 503;
      CHECK_FALSE(isOk(Store.read()));
      CHECK(errorOf(Store.writeIf({7, 1})) == StoreFailure::Conflict);
    }
    SECTION("a response of before that is read late is not used") {
      CHECK(isOk(Store.read()));
      Store.Era_ = "1";
      const auto Read = Store.read();
      REQUIRE_FALSE(isOk(Read));
      CHECK(errorOf(Read) == StoreFailure::Restored);
    }
  }
}

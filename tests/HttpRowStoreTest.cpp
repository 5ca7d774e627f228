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
  /// \returns the targets of the calls so far.
  std::vector<std::string> targets() const {
    std::vector<std::string> Targets;
    for (const ScriptedRequest &Each : Server_.requests())
      Targets.push_back(Each.Target_);
    return Targets;
  }

  std::string Era_ = "1";
  int Status_ = 200;
  std::string Body_ =
      R"({"rows":[{"table":"op","key":"config","value":"","ver":7}],"ver":9})";
  std::vector<std::string> NextBodies_; ///< Of the calls after the first.

private:
  asio::io_context Context_;
  ScriptedBackend Server_{
      Context_, [this](const ScriptedRequest &) {
        const std::size_t Next = Server_.requests().size();
        const bool IsFirst = Next < 2 || Next - 2 >= NextBodies_.size();
        return ScriptedAnswer{
            makeReply(Status_, Era_, IsFirst ? Body_ : NextBodies_[Next - 2])};
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

TEST_CASE("The store answers with odd rows or pages", "[platform][odd]") {
  StoreUnderTest Store;
  const auto ReadKeys = [&] {
    const auto Read = Store.read();
    std::vector<std::string> Keys;
    if (isOk(Read))
      for (const StoreRow &Each : valueOf(Read).Rows_)
        Keys.push_back(Each.Key_);
    return Keys;
  };

  SECTION("rows beside one that is no row are taken") {
    for (const char *Odd :
         {"7", "null", "[]", "{}", R"({"key":7})", R"([[[[{"key":"x"}]]]])"}) {
      Store.Body_ = R"({"rows":[{"key":"a","ver":1},)" + std::string(Odd) +
                    R"(,{"key":"b","ver":2}],"ver":9})";
      CHECK(ReadKeys() == std::vector<std::string>{"a", "b"});
    }
  }
  SECTION("a value that is not Base64 is empty") {
    Store.Body_ = R"({"rows":[{"key":"a","value":"%%%","ver":1},)"
                  R"({"key":"b","value":"Yg==","ver":2}],"ver":9})";
    const auto Read = Store.read();
    REQUIRE(isOk(Read));
    CHECK(valueOf(Read).Rows_[0].Value_.empty());
    CHECK(valueOf(Read).Rows_[1].Value_ == "b");
  }
  SECTION("a row's version that cannot be is that of the answer") {
    // A later change of the row would not be newer otherwise.
    for (const char *Odd : {"18446744073709551615", "1e300", "-1", "\"x\"",
                            "99999999999999999999999", "2.5"}) {
      Store.Body_ =
          R"({"rows":[{"key":"a","ver":)" + std::string(Odd) + R"(}],"ver":9})";
      const auto Read = Store.read();
      REQUIRE(isOk(Read));
      REQUIRE(valueOf(Read).Rows_.size() == 1);
      CHECK(valueOf(Read).Rows_.front().Version_ == StoreVersion(9, 1));
    }
  }
  SECTION("an answer that is no page is malformed") {
    const std::string Deep(100'000, '[');
    for (const std::string &Odd :
         {std::string(), std::string("\xff"), std::string("[]"), Deep,
          std::string(R"({"rows":{},"ver":9})"), std::string(R"({"rows":[]})"),
          std::string(R"({"rows":[],"ver":-1})"),
          std::string(R"({"rows":[],"ver":1e300})")}) {
      Store.Body_ = Odd;
      const auto Read = Store.read();
      REQUIRE_FALSE(isOk(Read));
      CHECK(errorOf(Read) == StoreFailure::Malformed);
    }
  }
  SECTION("the next page is asked for by any key") {
    Store.Body_ =
        R"({"rows":[{"key":"a b&c#%\r\n","ver":1}],"ver":9,"has_more":true})";
    Store.NextBodies_ = {R"({"rows":[{"key":"z","ver":1}],"ver":9})"};
    CHECK(ReadKeys().size() == 2);
    REQUIRE(Store.targets().size() == 2);
    CHECK(Store.targets()[1].ends_with("&source=a%20b%26c%23%25%0D%0A%00"));
  }
  SECTION("pages that do not go on are not read again and again") {
    Store.Body_ = R"({"rows":[{"key":"b","ver":1}],"ver":9,"has_more":true})";
    SECTION("the same page") { Store.NextBodies_ = {Store.Body_}; }
    SECTION("a page without rows") {
      Store.NextBodies_ = {R"({"rows":[],"ver":9,"has_more":true})"};
    }
    SECTION("a page of odd rows") {
      Store.NextBodies_ = {R"({"rows":[7],"ver":9,"has_more":true})"};
    }
    SECTION("an earlier page") {
      Store.NextBodies_ = {
          R"({"rows":[{"key":"a","ver":1}],"ver":9,"has_more":true})"};
    }
    Store.NextBodies_.emplace_back(R"({"rows":[{"key":"c","ver":1}],"ver":9})");
    const auto Read = Store.read();
    REQUIRE_FALSE(isOk(Read));
    CHECK(errorOf(Read) == StoreFailure::Malformed);
    CHECK(Store.calls() == 2);
  }
}

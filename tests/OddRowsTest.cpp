#include "PlatformStoreSchema.h"
#include "gooseberrybeam/http/Endpoint.h"
#include "gooseberrybeam/relayd/InstanceRows.h"
#include "gooseberrybeam/relayd/QuarantineRow.h"
#include "gooseberrybeam/relayd/TableFeeds.h"
#include "support/Mutations.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <cstring>
#include <map>
#include <set>

using namespace gooseberry;
using namespace gooseberry::platform;
using namespace std::chrono_literals;

namespace {

constexpr Duration TestTimeout = 10s;
constexpr int FuzzCases = 4000;

const std::string GoodServer =
    R"({"service":"s1","address":"10.0.0.9:8080","zone":"dc-a","slots":16,)"
    R"("version":"v1",)"
    R"("state":"ready","stage":"decode","born":1700000000000})";

const std::string GoodConfiguration = R"({
  "version": 7,
  "routes": [
    {"name": "r1", "host": "a.example", "path_prefix": "/x/",
     "kind": "streaming", "timeout_ms": 14000, "target_latency_ms": 900,
     "gap_target_ms": 60, "priority": 1, "max_attempts": 2, "sticky": true,
     "resumable": true,
     "traffic_split": [{"service": "s1", "weight": 90},
                       {"service": "s2", "weight": 10}]},
    {"name": "r2", "host": "a.example", "path_prefix": "/y/",
     "kind": "non_idempotent", "service": "s2", "public": true}],
  "services": [
    {"name": "s1", "engine": {"slots": 16, "kv_tokens": 91723, "stride": 63,
                              "kv_hold_s": 0.5}},
    {"name": "s2", "max_connections": 110}],
  "limits": {"idle_timeout_ms": 15000, "max_header_bytes": 16384,
             "header_timeout_ms": 3000},
  "tenants": [{"name": "acme", "api_keys": ["k1"], "unit": "token",
               "plain_tokens": 200, "rate_per_s": 1000, "burst": 500}]
})";

StoreRow makeRow(std::string Key, std::string Value) {
  StoreRow Row;
  Row.Key_ = std::move(Key);
  Row.Value_ = std::move(Value);
  return Row;
}

std::string replaceOnce(std::string Text, const std::string &What,
                        const std::string &By) {
  const std::size_t At = Text.find(What);
  REQUIRE(At != std::string::npos);
  return Text.replace(At, What.size(), By);
}

std::string nest(int Depth) {
  std::string Text;
  for (int I = 0; I != Depth; ++I)
    Text += R"({"a":)";
  return Text + "1" + std::string(static_cast<std::size_t>(Depth), '}');
}

bool hasControl(std::string_view Text) {
  for (const unsigned char Each : Text)
    if (Each < 0x20 || Each == 0x7f)
      return true;
  return false;
}

/// What a request needs to be sent to a server.
bool isUsable(const BackendEntry &Entry) {
  const auto Endpoint = parseEndpoint(Entry.Address_.Value_);
  return Endpoint && Endpoint->port() != 0 &&
         !Endpoint->address().is_unspecified() &&
         !Endpoint->address().is_multicast() &&
         !hasControl(Entry.Address_.Value_) && !hasControl(Entry.Id_.Value_) &&
         !Entry.Id_.Value_.empty() && Entry.Id_.Value_.size() < 8192;
}

bool isInRange(Duration Time) { return Time > 0s && Time <= 24h * 366; }

/// What requests need of a configuration.
bool isSound(const RelayConfigurationParts &Parts) {
  for (const RelayRoute &Each : Parts.Routes_)
    if (!isInRange(Each.Timeout_) || !isInRange(Each.TargetLatency_) ||
        Each.TargetEventGap_ < 0s || Each.MaxServers_ == 0 ||
        Each.Targets_.empty() ||
        (Each.EventPatience_ && *Each.EventPatience_ < 2s))
      return false;
  for (const RelayService &Each : Parts.Services_)
    if (Each.Engine_ && Each.Engine_->Slots_ == 0)
      return false;
  for (const RelayOrganisation &Each : Parts.Organisations_) {
    const bool IsFinite =
        !Each.Limit_ || (std::isfinite(Each.Limit_->RatePerSecond_) &&
                         std::isfinite(Each.Limit_->Burst_));
    if (!IsFinite || hasControl(Each.Name_.Value_) ||
        Each.DefaultRequestTokens_ > 4294967295.0)
      return false;
  }
  const RelayCallerLimits &Limits = Parts.CallerLimits_;
  return Limits.MaxHeaderBytes_ != 0 && isInRange(Limits.HeaderTimeout_) &&
         isInRange(Limits.IdleTimeout_);
}

/// A store with one table of rows, which changes once.
class TwoStepStore final : public RowStore {
public:
  TwoStepStore(StoreRows Snapshot, StoreRows Changes)
      : Snapshot_(std::move(Snapshot)), Changes_(std::move(Changes)) {}

  Task<ReadResult> read(std::string Table, CancelScope &) override {
    ++Reads_[Table];
    if (Table != "servers")
      co_return StoreRows{{}, {1, 1}};
    co_return Snapshot_;
  }
  Task<ReadResult> watch(std::string Table, StoreVersion After, Duration,
                         CancelScope &) override {
    asio::steady_timer Timer(co_await asio::this_coro::executor, 10ms);
    co_await Timer.async_wait(AsTuple);
    if (Table != "servers" || After >= Changes_.Version_)
      co_return StoreRows{{}, After};
    ++Deliveries_;
    co_return Changes_;
  }
  Task<WriteResult> write(RowWrite, CancelScope &) override {
    co_return StoreFailure::Refused;
  }

  std::map<std::string, int> Reads_;
  int Deliveries_ = 0; ///< Of the changes.

private:
  StoreRows Snapshot_;
  StoreRows Changes_;
};

} // namespace

TEST_CASE("An odd row of a server names no server", "[platform][odd]") {
  const PlatformStoreSchema Schema;
  const auto Parse = [&](const std::string &Value) {
    return Schema.parseServer(makeRow("i-1", Value));
  };
  REQUIRE(Parse(GoodServer));

  SECTION("if its address cannot be connected to") {
    const std::string Port(70'000, '9');
    for (const std::string &Address :
         {std::string("10.0.0.9:0"), std::string("10.0.0.9:65536"),
          std::string("10.0.0.9:99999999999"), std::string("10.0.0.9:-1"),
          std::string("10.0.0.9:+80"), std::string("10.0.0.9:"),
          std::string("10.0.0.9"), std::string(":80"), std::string(),
          std::string("engine.example:80"), std::string("10.0.0.999:80"),
          std::string("0.0.0.0:80"), std::string("[::]:80"),
          std::string("224.0.0.1:80"), "10.0.0.9:" + Port,
          std::string(R"(10.0.0.9\u0000:80)"),
          std::string(R"(10.0.0.9:80\r\nTenant: x)")})
      CHECK_FALSE(
          Parse(replaceOnce(GoodServer, "10.0.0.9:8080", Address)).has_value());
    CHECK(Parse(replaceOnce(GoodServer, "10.0.0.9:8080", "[::1]:80")));
  }
  SECTION("if a number is out of range") {
    for (const char *Slots : {"-1", "4294967296", "1e300", "2.5", "1e999",
                              "99999999999999999999999", "[]", "null"})
      CHECK_FALSE(Parse(replaceOnce(GoodServer, "16", Slots)).has_value());
  }
  SECTION("if it is nested deeply, itself or in a field") {
    CHECK_FALSE(Parse(std::string(200'000, '[')).has_value());
    CHECK_FALSE(Parse(nest(200'000)).has_value());
    CHECK_FALSE(
        Parse(replaceOnce(GoodServer, "16", nest(200'000))).has_value());
    CHECK_FALSE(
        Parse(replaceOnce(GoodServer, "\"dc-a\"", nest(40))).has_value());
  }
  SECTION("if its key fits in no field") {
    for (const std::string &Key :
         {std::string(), std::string("a\r\nb: c"), std::string("a\0b", 3),
          std::string(70'000, 'k')})
      CHECK_FALSE(Schema.parseServer(makeRow(Key, GoodServer)).has_value());
  }
  SECTION("whatever was changed in a good one") {
    Mutations Change(1);
    int Accepted = 0;
    for (int I = 0; I != FuzzCases; ++I) {
      const StoreRow Row =
          makeRow(Change.chance(5) ? Change.mutated("i-1") : "i-1",
                  Change.mutated(GoodServer));
      const auto Entry = Schema.parseServer(Row);
      Accepted += Entry ? 1 : 0;
      INFO(Row.Key_ << ' ' << Row.Value_);
      REQUIRE((!Entry || isUsable(*Entry)));
    }
    CHECK(Accepted > 0);
    CHECK(Accepted < FuzzCases);
  }
}

TEST_CASE("An odd row of an instance or of the quarantine is skipped",
          "[relay][odd]") {
  const std::string Good =
      R"({"address":"10.0.0.3:7500","data_centre":"dc-a","incarnation":7,)"
      R"("cores":2,"link_mbps":1000})";
  const auto Parse = [](const std::string &Value) {
    return parseInstanceRow(makeRow("instance/a", Value));
  };
  REQUIRE(Parse(Good));
  CHECK_FALSE(Parse(nest(200'000)));
  CHECK_FALSE(Parse(replaceOnce(Good, ":7,", ":-7,")));
  CHECK_FALSE(Parse(replaceOnce(Good, ":7,", ":1e300,")));
  CHECK_FALSE(Parse(replaceOnce(Good, ":7,", ":\"7\",")));
  CHECK(parseQuarantineRow(makeRow("k", std::string(200'000, '['))).empty());
  CHECK(parseQuarantineRow(makeRow("k", R"([7,{},["a"],[7]])")).size() == 1);

  SECTION("or not, but nothing is thrown") {
    Mutations Change(2);
    for (int I = 0; I != FuzzCases; ++I) {
      const std::string Value = Change.mutated(Good);
      INFO(Value);
      CHECK_NOTHROW(Parse(Value));
      CHECK_NOTHROW(parseQuarantineRow(
          makeRow("k", Change.mutated(R"([["a","b"],["c"]])"))));
    }
  }
}

TEST_CASE("An odd row of the configuration", "[platform][odd]") {
  const PlatformStoreSchema Schema;
  const auto Parse = [&](const std::string &What, const std::string &By) {
    return Schema.parseConfiguration(replaceOnce(GoodConfiguration, What, By));
  };
  const auto Present = Schema.parseConfiguration(GoodConfiguration);
  REQUIRE(Present);
  REQUIRE(isSound(Present->parts()));

  SECTION("is no configuration if it cannot be read as a whole") {
    CHECK_FALSE(Schema.parseConfiguration(nest(200'000)));
    CHECK_FALSE(Schema.parseConfiguration(std::string(200'000, '[')));
    for (const char *Version :
         {"-1", "1e300", "7.5", "\"7\"", "null", "99999999999999999999999"})
      CHECK_FALSE(Parse(": 7,", ": " + std::string(Version) + ","));
  }
  SECTION("is no configuration if a list is none") {
    // Without organisations no request needs a key.
    for (const char *Name :
         {"\"tenants\": [", "\"routes\": [", "\"services\": ["}) {
      const std::string Text = replaceOnce(
          GoodConfiguration, Name,
          std::string(Name, std::strlen(Name) - 1) + "7, \"other\": [");
      CHECK_FALSE(Schema.parseConfiguration(Text));
    }
    CHECK_FALSE(
        Parse(R"("tenants": [{"name": "acme",)", R"("tenants": [{"name": 7,)"));
  }
  SECTION("has defaults for numbers out of range") {
    for (const char *Field :
         {"14000", "900", "15000", "3000", "16384", ": 60,", ": 2,", ": 63,",
          ": 200,", ": 1000,", ": 500}", ": 16,", ": 90}", ": 1,"})
      for (const char *Number :
           {"0", "-1", "1e300", "4294967296", "18446744073709551616", "1e999",
            "9223372036854775807"}) {
        std::string By = Field;
        const auto IsDigit = [](char C) { return C >= '0' && C <= '9'; };
        const auto First = std::find_if(By.begin(), By.end(), IsDigit);
        const auto Last = std::find_if_not(First, By.end(), IsDigit);
        By.replace(First, Last, Number);
        const auto Configuration = Parse(Field, By);
        INFO(Field << " as " << Number);
        CHECK((!Configuration || isSound(Configuration->parts())));
      }
  }
  SECTION("with an empty host or the same route twice serves the others") {
    const auto Empty = Parse("\"a.example\"", "\"\"");
    REQUIRE(Empty);
    CHECK(Empty->findRoute("a.example", "/y/1"));
    const auto Twice = Parse("\"/y/\"", "\"/x/\"");
    REQUIRE(Twice);
    CHECK(Twice->findRoute("a.example", "/x/1")->Name_ == "r1");
  }
  SECTION("changed anywhere is sound or none") {
    Mutations Change(3);
    for (int I = 0; I != FuzzCases; ++I) {
      const std::string Text = Change.mutated(GoodConfiguration);
      const auto Configuration = Schema.parseConfiguration(Text);
      INFO(Text);
      REQUIRE((!Configuration || isSound(Configuration->parts())));
    }
  }
}

TEST_CASE("Rows beside an odd one are applied, and the feed goes on",
          "[relay][odd]") {
  const PlatformStoreSchema Schema;
  asio::io_context Context;
  std::string Odd;
  SECTION("nested deeply") { Odd = nest(200'000); }
  SECTION("with a port out of range") {
    Odd = replaceOnce(GoodServer, "8080", "99999999999");
  }
  SECTION("with a number too large") {
    Odd = replaceOnce(GoodServer, "16", "1e300");
  }
  SECTION("without a value") {}
  const auto MakeRows = [&](const char *First, const char *Last,
                            std::uint64_t Version) {
    StoreRows Rows;
    Rows.Version_ = {Version, 1};
    for (const std::string &Key :
         {std::string(First), std::string("odd"), std::string(Last)}) {
      StoreRow Row = makeRow(Key, Key == "odd" ? Odd : GoodServer);
      Row.Version_ = Rows.Version_;
      Rows.Rows_.push_back(Row);
    }
    return Rows;
  };
  TwoStepStore Store(MakeRows("a", "b", 2), MakeRows("c", "d", 3));
  std::set<std::string> Servers;
  TableFeeds::Listener Handlers;
  Handlers.OnChanges_ = [&](const TableFeeds::Changes &Changed) {
    for (const StoreRow &Row : Changed.Rows_)
      if (Schema.parseServer(Row))
        Servers.insert(Row.Key_);
  };
  Handlers.OnStoreAnswer_ = [] {};
  Handlers.OnAvailability_ = [](bool) {};
  Handlers.IsNearOutage_ = [] { return false; };
  Handlers.AttachedInstanceCount_ = [] { return std::size_t{0}; };
  Handlers.SendToAttached_ = [](const TableUpdate &) {};
  TableFeeds Feeds(Context, {"servers", "relay", "op"}, 100, Handlers);
  Feeds.start(Store);
  const TimePoint End = readBootClock() + TestTimeout;
  while (Servers.size() < 4 && readBootClock() < End)
    Context.run_one_for(10ms);
  CHECK(Servers == std::set<std::string>{"a", "b", "c", "d"});
  Context.run_for(100ms);
  CHECK(Store.Reads_["servers"] == 1);
  CHECK(Store.Deliveries_ == 1);
  CHECK(Feeds.feedState(SharedTableId::Servers).Version_ == StoreVersion(3, 1));
}

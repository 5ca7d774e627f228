#include "ParseNodeSettings.h"
#include "PlatformProtocol.h"
#include "PlatformStoreSchema.h"

#include <catch2/catch.hpp>

using namespace gooseberry;
using namespace gooseberry::platform;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view SettingsText = R"({
  "node_name": "edge-1", "zone": "dc-a", "ip": "10.1.0.3",
  "listen": {"front": "10.1.0.3:8360", "ready": "10.1.0.3:8365"},
  "port_range": [7500, 7515], "heartbeat_ms": 900,
  "bounds": {"grace_s": 8, "quota_window_s": 5, "retry_budget_ratio": 0.3,
             "budget_slack": 56, "fail_closed": false},
  "provider": {"address": "10.200.1.7:8361", "form": "table"},
  "zones": {"dc-a": "eu", "dc-b": "us", "dc-odd": 7},
  "unknown": [1, 2]
})";

constexpr std::string_view ConfigurationText = R"({
  "version": 7,
  "routes": [
    {"name": "r1", "host": "a.example", "path_prefix": "/x/",
     "kind": "streaming", "timeout_ms": 14000, "target_latency_ms": 900,
     "priority": 1, "max_attempts": 2, "sticky": true, "resumable": true,
     "traffic_split": [{"service": "s1", "weight": 90},
                       {"service": "s2", "weight": 10}]},
    {"name": "broken", "host": "a.example", "kind": "streaming"},
    {"name": "r2", "host": "a.example", "path_prefix": "/y/",
     "kind": "non_idempotent", "service": "s2", "public": true}],
  "services": [
    {"name": "s1", "engine": {"slots": 16, "kv_tokens": 91723, "stride": 63,
                              "kv_hold_s": 0.5}},
    {"name": "s2", "max_connections": 110}],
  "limits": {"idle_timeout_ms": 15000},
  "tenants": [{"name": "acme", "api_keys": ["k1"], "unit": "token",
               "plain_tokens": 200, "rate_per_s": 1000, "burst": 500}]
})";

StoreRow makeRow(std::string Value) {
  StoreRow Row;
  Row.Key_ = "i-1";
  Row.Value_ = std::move(Value);
  return Row;
}

} // namespace

TEST_CASE("The platform settings file is parsed", "[platform]") {
  const auto Parsed = parseNodeSettings(SettingsText);
  REQUIRE(isOk(Parsed));
  const RelaySettings &Settings = valueOf(Parsed);
  CHECK(Settings.Name_.Value_ == "edge-1");
  CHECK(Settings.CallerListen_ == "10.1.0.3:8360");
  CHECK(Settings.PeerListen_ == "10.1.0.3:7500");
  CHECK(Settings.StoreAddress_.Value_ == "10.200.1.7:8361");
  CHECK(Settings.ShutdownTimeout_ == 8s);
  CHECK(Settings.ServerHeartbeat_ == 900ms);
  CHECK(Settings.LimitBounds_.Window_ == 5s);
  CHECK(Settings.RetryBounds_.RetriesPerRequest_ == 0.3);

  SECTION("the region of each data centre is known") {
    const RegionRestriction Europe = {true, {{"eu"}}};
    CHECK(Settings.Regions_.allows(Europe, {"dc-a"}));
    CHECK_FALSE(Settings.Regions_.allows(Europe, {"dc-b"}));
    CHECK_FALSE(Settings.Regions_.allows(Europe, {"dc-odd"}));
  }
  SECTION("load is shared only if the list of contracts has it") {
    CHECK_FALSE(Settings.SharesServerLoad_);
    const auto SharesLoad = [](std::string_view Contracts) {
      std::string Text = "{\"contracts\": " + std::string(Contracts) + ",";
      const auto Changed =
          parseNodeSettings(Text.append(SettingsText.substr(1)));
      REQUIRE(isOk(Changed));
      return valueOf(Changed).SharesServerLoad_;
    };
    CHECK(SharesLoad(R"(["ranks", "pressure"])"));
    CHECK_FALSE(SharesLoad(R"(["ranks"])"));
    // Of a wrong type: ignored.
    CHECK_FALSE(SharesLoad(R"("pressure")"));
    CHECK_FALSE(SharesLoad(R"([1, null, ["pressure"]])"));
  }
  SECTION("the error names the missing field") {
    const auto Missing = parseNodeSettings(R"({"node_name": "edge-1"})");
    REQUIRE_FALSE(isOk(Missing));
    CHECK(errorOf(Missing).Field_ == "zone");
    CHECK_FALSE(isOk(parseNodeSettings("[]")));
    CHECK_FALSE(isOk(parseNodeSettings("{")));
  }
}

TEST_CASE("The operator's configuration is decoded", "[platform]") {
  const PlatformStoreSchema Schema;
  const auto Configuration = Schema.parseConfiguration(ConfigurationText);
  REQUIRE(Configuration);
  CHECK(Configuration->version() == 7);
  SECTION("routes with a missing field are skipped") {
    CHECK(Configuration->parts().Routes_.size() == 2);
  }
  SECTION("a resumable stream route is decoded") {
    const RelayRoute *Route = Configuration->findRoute("a.example", "/x/1");
    REQUIRE(Route);
    CHECK(Route->Kind_ == RouteKind::Stream);
    CHECK(Route->IsResumable_);
    CHECK(Route->IsGeneration_);
    CHECK(Route->Targets_.size() == 2);
    CHECK(Route->Timeout_ == 14s);
  }
  SECTION("only services with engines have engine traits") {
    CHECK(Configuration->findService({"s1"})->Engine_->KvTokens_ == 91723);
    CHECK_FALSE(Configuration->findService({"s2"})->Engine_);
  }
  SECTION("organisation limits are decoded in tokens") {
    const auto *Acme = Configuration->findOrganisationByKey("k1");
    REQUIRE(Acme);
    CHECK(Acme->Limit_->RatePerSecond_ == 1000);
    CHECK(Acme->DefaultRequestTokens_ == 200);
  }
  SECTION("regions of routes and organisations are decoded") {
    const auto Restricted = Schema.parseConfiguration(R"({"version": 1,
      "routes": [{"name": "r", "host": "a", "path_prefix": "/", "service": "s",
                  "kind": "idempotent", "allowed_regions": ["eu", "us"]}],
      "tenants": [{"name": "acme", "api_keys": ["k"],
                   "allowed_regions": ["eu"]}]})");
    REQUIRE(Restricted);
    CHECK(Restricted->parts().Routes_.front().AllowedRegions_ ==
          std::vector<RegionId>{{"eu"}, {"us"}});
    CHECK(Restricted->parts().Organisations_.front().AllowedRegions_ ==
          std::vector<RegionId>{{"eu"}});
  }
  SECTION("regions that cannot be read reject the configuration, as requests "
          "would be served anywhere otherwise") {
    for (const char *Regions : {R"("eu")", "[1]", "{}", R"(["eu", null])"}) {
      const std::string Text =
          R"({"version": 1, "routes": [{"name": "r", "host": "a",
          "path_prefix": "/", "service": "s", "kind": "idempotent",
          "allowed_regions": )" +
          std::string(Regions) + "}]}";
      CHECK_FALSE(Schema.parseConfiguration(Text));
    }
  }
  SECTION("rows beside the configuration evacuate a data centre") {
    StoreRow Row;
    Row.Key_ = "evacuate/lhr-a";
    Row.Value_ = "{}";
    CHECK(Schema.parseEvacuation(Row) == DataCentreId{"lhr-a"});
    for (const char *Key :
         {"evacuate/", "evacuate", "config", "x/evacuate/a"}) {
      Row.Key_ = Key;
      CHECK_FALSE(Schema.parseEvacuation(Row));
    }
  }
  SECTION("a rank out of range is read as the most urgent") {
    // Failure: a mistyped priority makes the configuration malformed.
    for (const char *Bad : {"4294967296", "-1", "1.5", "\"high\""}) {
      std::string Text(ConfigurationText);
      Text.replace(Text.find("\"priority\": 1") + 12, 1, Bad);
      const auto Read = Schema.parseConfiguration(Text);
      REQUIRE(Read);
      INFO(Bad);
      CHECK(Read->findRoute("a.example", "/x/1")->Priority_ == 0);
    }
  }
  SECTION("text that is not a configuration is rejected") {
    CHECK_FALSE(Schema.parseConfiguration("{}"));
    CHECK_FALSE(Schema.parseConfiguration("no json"));
  }
}

TEST_CASE("A cold start is limited if both of its fields are usable",
          "[platform][cold]") {
  const PlatformStoreSchema Schema;
  const auto ColdStartOf = [&](const std::string &Fields) {
    const auto Parsed = Schema.parseConfiguration(
        R"({"version": 1, "services": [{"name": "s1")" + Fields + "}]}");
    REQUIRE(Parsed);
    return Parsed->findService({"s1"})->ColdStart_;
  };
  CHECK(ColdStartOf(R"(, "cold_start_s": 8, "cold_per_s": 2.5)") ==
        ColdStart{8s, 2.5});
  CHECK(ColdStartOf(R"(, "cold_start_s": 1e12, "cold_per_s": 3)") ==
        ColdStart{10min, 3});
  for (const char *Fields :
       {"", R"(, "cold_start_s": 8)", R"(, "cold_per_s": 3)",
        R"(, "cold_start_s": 8, "cold_per_s": 0)",
        R"(, "cold_start_s": 8, "cold_per_s": -3)",
        R"(, "cold_start_s": -8, "cold_per_s": 3)",
        R"(, "cold_start_s": "8", "cold_per_s": 3)",
        R"(, "cold_start_s": 8, "cold_per_s": null)"})
    CHECK_FALSE(ColdStartOf(Fields));
}

TEST_CASE("Backend server rows are decoded", "[platform]") {
  const PlatformStoreSchema Schema;
  const std::string Good =
      R"({"service":"s1","address":"10.0.0.9:8080","zone":"dc-a","slots":16,)"
      R"("state":"ready","stage":"decode","born":1700000000000})";
  const auto Entry = Schema.parseServer(makeRow(Good));
  REQUIRE(Entry);
  CHECK(Entry->Id_.Value_ == "i-1");
  CHECK(Entry->Role_ == EngineRole::Decode);
  CHECK(Entry->StartTimeMs_ == 1700000000000);
  CHECK_FALSE(Entry->IsLeaving_);

  SECTION("the version of the software is a text") {
    CHECK(Entry->SoftwareVersion_.isEmpty());
    const auto VersionOf = [&](const std::string &Value) {
      const std::string Start = Good.substr(0, Good.size() - 1);
      return Schema.parseServer(makeRow(Start + ",\"version\":" + Value + "}"))
          ->SoftwareVersion_.Value_;
    };
    CHECK(VersionOf("\"v1.2\"") == "v1.2");
    for (const char *Value : {"1", "null", "[\"v1\"]", "\"\""})
      CHECK(VersionOf(Value).empty());
  }
  SECTION("the time that a server stays cold is bounded, and bad values mean "
          "none") {
    CHECK(Entry->ColdRemaining_ == 0s);
    const auto RemainingOf = [&](const std::string &Value) {
      const std::string Start = Good.substr(0, Good.size() - 1);
      return Schema
          .parseServer(makeRow(Start + ",\"cold_remaining_ms\":" + Value + "}"))
          ->ColdRemaining_;
    };
    CHECK(RemainingOf("1500") == 1500ms);
    CHECK(RemainingOf("0.5") == 500us);
    for (const char *Value : {"600001", "1e300", "18446744073709551615"})
      CHECK(RemainingOf(Value) == 10min);
    for (const char *Value : {"-1", "-1e300", "\"9\"", "null", "[9]"})
      CHECK(RemainingOf(Value) == 0s);
  }
  SECTION("rows with malformed values or unknown states register no server") {
    CHECK_FALSE(Schema.parseServer(makeRow("\xff\x01")));
    CHECK_FALSE(Schema.parseServer(makeRow(R"({"service":"s1"})")));
    CHECK_FALSE(Schema.parseServer(makeRow(
        R"({"service":1,"address":"a:1","zone":"z","slots":1,"state":"ready"})")));
    CHECK_FALSE(Schema.parseServer(makeRow(
        R"({"service":"s","address":"a:1","zone":"z","slots":1,"state":"odd"})")));
  }
}

TEST_CASE("Request heads of callers are parsed and rewritten for servers",
          "[platform]") {
  const PlatformProtocol Protocol;
  RequestHead Head;
  Head.set("Request-Id", "r1");
  Head.set("Deadline-Ms", "14000");
  Head.set("Token-Count", "1460,80");
  Head.set("Length-Hint", "60");
  Head.set("Prompt-Prefix", "5c1e07a2:800, 91bd3f06:410,e4402b7d:250");
  Head.set("Authorization", "Token k1");
  Head.set("Kv-Hold", "stolen");
  Head.set("Tenant", "other");
  const CallerRequestInfo Info = Protocol.parseCallerRequest(Head);
  CHECK(Info.RequestId_.Value_ == "r1");
  CHECK(Info.ApiKey_ == "k1");
  CHECK(Info.TimeLeft_ == Duration(14s));
  CHECK(Info.PromptTokens_ == 1460);
  CHECK(Info.MaxOutputTokens_ == 80);
  CHECK(Info.LengthHint_ == 60);
  CHECK(Info.SharedSegments_ ==
        std::vector<PromptSegmentId>{{"5c1e07a2"}, {"91bd3f06"}});

  SECTION("a caller that continues a stream says where and of which request") {
    CHECK_FALSE(Info.ContinuesStream_);
    CHECK(Info.ResumedRequest_.isEmpty());
    Head.set("Last-Event-Id", "12");
    CHECK(Protocol.parseCallerRequest(Head).ContinuesStream_);
    Head.set("Resumes", "r0");
    CHECK(Protocol.parseCallerRequest(Head).ResumedRequest_.Value_ == "r0");
    Head.erase("Last-Event-Id");
    CHECK(Protocol.parseCallerRequest(Head).ContinuesStream_);
  }
  SECTION("the server receives the fields of the relay and no credentials") {
    ServerRequestInfo RequestInfo;
    RequestInfo.Server_ = {"i-1"};
    RequestInfo.Organisation_ = {"acme"};
    RequestInfo.TimeLeft_ = 900ms;
    RequestInfo.KvSource_ = Protocol.formatKvSource({"10.0.0.1:80"}, "abc");
    RequestInfo.LastEventId_ = 12;
    Protocol.writeServerRequest(Head, RequestInfo);
    CHECK(Head.count("Authorization") == 0);
    CHECK(Head.count("Kv-Hold") == 0);
    CHECK(Head["Tenant"] == "acme");
    CHECK(Head["Deadline-Ms"] == "900");
    CHECK(Head["Expect-Instance"] == "i-1");
    CHECK(Head["Kv-Source"] == "10.0.0.1:80/abc");
    CHECK(Head["Last-Event-Id"] == "12");
    CHECK(Head["Request-Id"] == "r1");
  }
  SECTION("a request that is passed on says so, and a server does not see it") {
    CHECK_FALSE(Info.IsForwarded_);
    Protocol.writeForwarded(Head, 700ms);
    CHECK(Protocol.parseCallerRequest(Head).IsForwarded_);
    CHECK(Protocol.parseCallerRequest(Head).TimeLeft_ == Duration(700ms));
    CHECK(Head["Authorization"] == "Token k1");
    ServerRequestInfo RequestInfo;
    RequestInfo.Server_ = {"i-1"};
    Protocol.writeServerRequest(Head, RequestInfo);
    CHECK_FALSE(Protocol.parseCallerRequest(Head).IsForwarded_);
  }
  SECTION("the caller cannot choose the priority at the server") {
    Head.set("Request-Priority", "0");
    ServerRequestInfo RequestInfo;
    RequestInfo.Server_ = {"i-1"};
    Protocol.writeServerRequest(Head, RequestInfo);
    CHECK(Head.count("Request-Priority") == 0);
    RequestInfo.Priority_ = 3;
    Protocol.writeServerRequest(Head, RequestInfo);
    CHECK(Head["Request-Priority"] == "3");
    SECTION("and a rank beyond the field's range is bounded") {
      RequestInfo.Priority_ = 4'294'967'295;
      Protocol.writeServerRequest(Head, RequestInfo);
      CHECK(Head["Request-Priority"] == "9");
    }
  }
  SECTION("fields that are not numbers are malformed") {
    Head.set("Deadline-Ms", "soon");
    CHECK_FALSE(Protocol.parseCallerRequest(Head).IsWellFormed_);
    Head.set("Deadline-Ms", "10");
    Head.set("Token-Count", "many,80");
    CHECK_FALSE(Protocol.parseCallerRequest(Head).IsWellFormed_);
  }
}

TEST_CASE("Response heads of servers are parsed", "[platform]") {
  const PlatformProtocol Protocol;
  ResponseHead Head;
  Head.Status_ = 200;
  Head.Fields_.set("Request-Id", "r1");
  Head.Fields_.set("Response-Signature", "s");
  const ServerResponseInfo Info = Protocol.parseServerResponse(Head);
  CHECK(Info.RequestId_.Value_ == "r1");
  CHECK(Info.IsSigned_);
  CHECK_FALSE(Info.IsNotExecuted_);
  SECTION("a limit of the server is a number of requests per second") {
    CHECK_FALSE(Info.RequestsPerSecond_);
    Head.Fields_.set("Server-Limit", "7.5");
    CHECK(Protocol.parseServerResponse(Head).RequestsPerSecond_ == 7.5);
    for (const char *Text : {"", "many", "-1", "nan", "inf", "7 per second"}) {
      Head.Fields_.set("Server-Limit", Text);
      CHECK_FALSE(Protocol.parseServerResponse(Head).RequestsPerSecond_);
    }
  }
  SECTION("a rejection marks the request as not executed") {
    Head.Status_ = 503;
    Head.Fields_.set("Not-Executed", "1");
    CHECK(Protocol.parseServerResponse(Head).IsNotExecuted_);
  }
  SECTION("a response of the wrong server marks the request as not executed") {
    Head.Status_ = 421;
    CHECK(Protocol.parseServerResponse(Head).IsNotExecuted_);
    CHECK(Protocol.parseServerResponse(Head).IsWrongServer_);
  }
  SECTION("a rejection may state a delay in seconds") {
    Head.Status_ = 503;
    CHECK_FALSE(Protocol.parseServerResponse(Head).PauseTime_);
    Head.Fields_.set("Retry-After", "2.5");
    CHECK(Protocol.parseServerResponse(Head).PauseTime_ == 2500ms);
    Head.Fields_.set("Retry-After", "1e300");
    CHECK(Protocol.parseServerResponse(Head).PauseTime_ == 1h);
    for (const char *Text : {"", "0", "-1", "nan", "-inf", "soon", "2 s",
                             "Fri, 04 Dec 2026 23:40:00 GMT"}) {
      Head.Fields_.set("Retry-After", Text);
      CHECK_FALSE(Protocol.parseServerResponse(Head).PauseTime_);
    }
    Head.Status_ = 500;
    Head.Fields_.set("Retry-After", "2.5");
    CHECK_FALSE(Protocol.parseServerResponse(Head).PauseTime_);
  }
  SECTION("a server that leaves says so, but not for the one that was meant") {
    CHECK_FALSE(Info.IsLeaving_);
    Head.Fields_.set("Server-Leaving", "1");
    CHECK(Protocol.parseServerResponse(Head).IsLeaving_);
    Head.Status_ = 421;
    CHECK_FALSE(Protocol.parseServerResponse(Head).IsLeaving_);
    Head.Status_ = 200;
    for (const char *Text : {"", "0", "no", "11"}) {
      Head.Fields_.set("Server-Leaving", Text);
      CHECK_FALSE(Protocol.parseServerResponse(Head).IsLeaving_);
    }
  }
  SECTION("the response to a prefill names the handle") {
    const auto Prompt = Protocol.parsePrefillResponse(
        R"({"kv_handle":"3f","tokens":1460,"version":1})");
    REQUIRE(Prompt);
    CHECK(Prompt->Handle_ == "3f");
    CHECK(Prompt->Tokens_ == 1460);
    CHECK_FALSE(Protocol.parsePrefillResponse("{}"));
  }
  SECTION("the retry delay has fractions of seconds") {
    HttpFields Fields;
    Protocol.writeRetryAfter(Fields, 150ms);
    CHECK(Fields["Retry-After"] == "0.150");
  }
}

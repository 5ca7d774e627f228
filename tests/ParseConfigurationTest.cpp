#include "gooseberrybeam/config/ParseConfiguration.h"

#include "gooseberrybeam/config/ConfigDiff.h"
#include "gooseberrybeam/config/EntityCodec.h"
#include "support/SeededCheck.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

using namespace gooseberry;

namespace {

constexpr std::string_view Document = R"({
  // Draft requests may be queued.
  "classes": {
    "draft": {"first_token_ms": 3000, "between_tokens_ms": 50,
              "may_wait": true, "max_wait_ms": 60000},
    "check": {"answer_ms": 300, "retry_budget": 0.2}
  },
  "organisations": {
    "lahore-club": {"rate_tokens_per_s": 1000, "burst_tokens": 5000,
                    "classes": ["draft"]}
  },
  "models": {"drafter": {"class": "draft", "max_tokens": 1024}},
  "services": {
    "/slots": {"service": "slots", "class": "check", "open": true},
    "/slots/book": {"service": "booking", "class": "check",
                    "idempotent_methods": ["GET"], "tokens_per_call": 10}
  }
})";

ConfigFaults faultsOf(std::string_view Text) {
  const auto Parsed = parseConfiguration(Text);
  return isOk(Parsed) ? ConfigFaults() : errorOf(Parsed);
}

bool hasFault(const ConfigFaults &Faults, std::string_view Path,
              ConfigFaultKind Kind) {
  return std::any_of(Faults.begin(), Faults.end(),
                     [&](const ConfigFault &Fault) {
                       return Fault.Path_ == Path && Fault.Kind_ == Kind;
                     });
}

} // namespace

TEST_CASE("A valid configuration document is parsed", "[config]") {
  const auto Parsed = parseConfiguration(Document);
  REQUIRE(isOk(Parsed));
  const Configuration &Config = valueOf(Parsed).Configuration_;

  SECTION("entities are found by name") {
    REQUIRE(Config.findClass("draft"));
    CHECK(Config.findClass("draft")->FirstTokenTarget_ == Duration(3'000'000));
    CHECK(Config.findClass("check")->RetryBudget_ == 0.2);
    CHECK(Config.findModel("drafter")->MaxOutputTokens_ == 1024);
    CHECK_FALSE(Config.findOrganisation("nobody"));
  }
  SECTION("a path matches the route with the longest prefix") {
    CHECK(Config.findService("/slots/7")->Service_ == "slots");
    CHECK(Config.findService("/slots/book/7")->Service_ == "booking");
    CHECK_FALSE(Config.findService("/slotsmore"));
    CHECK(Config.findService("/slots/book")->isIdempotent("GET"));
    CHECK_FALSE(Config.findService("/slots/book")->isIdempotent("POST"));
  }
  SECTION("only the sections of the document are listed") {
    CHECK(valueOf(Parsed).Sections_.size() == 4);
  }
  SECTION("encoding and parsing it again gives the same configuration") {
    const std::string Text = boost::json::serialize(encodeDocument(Config));
    const auto Reparsed = parseConfiguration(Text);
    REQUIRE(isOk(Reparsed));
    CHECK(diffConfigurations(Config, valueOf(Reparsed).Configuration_,
                             EntityKinds)
              .empty());
  }
}

TEST_CASE("Every fault of a document is reported with its path", "[config]") {
  SECTION("several faults at once") {
    const ConfigFaults Faults = faultsOf(R"({
      "classes": {"draft": {"may_wait": true, "first_tokn_ms": 5}},
      "organisations": {"a/b": {"rate_tokens_per_s": "many"}},
      "services": {"slots/": {"service": "s", "class": "c"}},
      "keys": {"12": "club"},
      "weights": {}
    })");
    CHECK(hasFault(Faults, "/classes/draft/first_tokn_ms",
                   ConfigFaultKind::UnknownField));
    CHECK(hasFault(Faults, "/classes/draft/first_token_ms",
                   ConfigFaultKind::MissingTarget));
    CHECK(hasFault(Faults, "/classes/draft/max_wait_ms",
                   ConfigFaultKind::MissingField));
    CHECK(hasFault(Faults, "/organisations/a~1b", ConfigFaultKind::BadName));
    CHECK(hasFault(Faults, "/organisations/a~1b/rate_tokens_per_s",
                   ConfigFaultKind::WrongType));
    CHECK(hasFault(Faults, "/organisations/a~1b/burst_tokens",
                   ConfigFaultKind::MissingField));
    CHECK(hasFault(Faults, "/services/slots~1", ConfigFaultKind::BadPrefix));
    CHECK(hasFault(Faults, "/keys/12", ConfigFaultKind::BadKeyHash));
    CHECK(hasFault(Faults, "/weights", ConfigFaultKind::UnknownField));
  }
  SECTION("a JSON syntax error is reported with its line") {
    const ConfigFaults Faults = faultsOf("{\n  \"classes\": [}\n");
    REQUIRE(Faults.size() == 1);
    CHECK(Faults[0].Kind_ == ConfigFaultKind::NotJson);
    CHECK(Faults[0].Detail_.starts_with("line 2"));
  }
  SECTION("a truncated document is rejected") {
    for (std::size_t Length = 0; Length < Document.size(); ++Length)
      REQUIRE_FALSE(isOk(parseConfiguration(Document.substr(0, Length))));
  }
  SECTION("a randomly corrupted document is parsed or rejected with faults") {
    CHECK(checkSeeded(
        [](const std::vector<std::pair<std::size_t, char>> &Damage) {
          std::string Text(Document);
          for (const auto &[Offset, Replacement] : Damage)
            Text[Offset % Text.size()] = Replacement;
          const auto Parsed = parseConfiguration(Text);
          if (!isOk(Parsed))
            RC_ASSERT(!errorOf(Parsed).empty());
        }));
  }
}

TEST_CASE("References are checked against the changed configuration",
          "[config]") {
  const auto Parsed = parseConfiguration(Document);
  REQUIRE(isOk(Parsed));
  const Configuration &Config = valueOf(Parsed).Configuration_;
  const auto FaultsAfter = [&](const EntityChange &Change) {
    const ConfigDelta Delta = {Change};
    return validateChange(Config.withChanges(Delta, 1), Delta);
  };

  SECTION("a key of an unknown organisation is rejected") {
    const KeyGrant Grant{hashKey("k"), {"nobody"}};
    const ConfigFaults Faults = FaultsAfter({refOf(Grant), Grant});
    REQUIRE(Faults.size() == 1);
    CHECK(Faults[0].Kind_ == ConfigFaultKind::UnknownOrganisation);
  }
  SECTION("a class that is still referenced cannot be removed") {
    const ConfigFaults Faults =
        FaultsAfter({{EntityKind::WorkClass, "check"}, std::nullopt});
    CHECK(hasFault(Faults, "/services/~1slots/class",
                   ConfigFaultKind::StillReferenced));
    CHECK(Faults.size() == 2);
  }
  SECTION("an unused organisation can be removed") {
    CHECK(FaultsAfter({{EntityKind::Organisation, "lahore-club"}, std::nullopt})
              .empty());
  }
}

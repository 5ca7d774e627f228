#include "gooseberrybeam/settings/ParseSettings.h"

#include <catch2/catch.hpp>

#include <map>
#include <vector>

using namespace gooseberry;

namespace {

using Outcome = Result<Settings, SettingsError>;
using Environment = std::map<std::string, std::string>;

Outcome parse(std::vector<std::string> Flags, const Environment &Values = {}) {
  std::vector<std::string> All = {"gooseberryd", "--name", "i1", "--table",
                                  "127.0.0.1:1"};
  All.insert(All.end(), Flags.begin(), Flags.end());
  std::vector<char *> Arguments;
  Arguments.reserve(All.size());
  for (auto &Each : All)
    Arguments.push_back(Each.data());
  return parseSettings(
      Arguments, [&](const std::string &Name) -> std::optional<std::string> {
        const auto Found = Values.find(Name);
        if (Found == Values.end())
          return std::nullopt;
        return Found->second;
      });
}

} // namespace

TEST_CASE("Settings come from flags and the environment", "[settings]") {
  SECTION("a flag goes before its variable") {
    const auto Parsed =
        parse({"--threads", "3"}, {{"GOOSEBERRY_THREADS", "5"},
                                   {"GOOSEBERRY_LISTEN", "127.0.0.1:9"},
                                   {"GOOSEBERRY_MAX_BODY_BYTES", "77"}});
    REQUIRE(isOk(Parsed));
    CHECK(valueOf(Parsed).Threads_ == 3);
    CHECK(valueOf(Parsed).Listen_ == "127.0.0.1:9");
    CHECK(valueOf(Parsed).Caller_.MaxBodyBytes_ == 77);
  }
  SECTION("peers are a list of addresses") {
    const auto Parsed = parse({"--peers", "127.0.0.1:1,[::1]:2"});
    REQUIRE(isOk(Parsed));
    CHECK(valueOf(Parsed).Peers_.size() == 2);
  }
  SECTION("a bad value is named with what is accepted") {
    const auto Parsed = parse({"--listen", "localhost:80"});
    REQUIRE_FALSE(isOk(Parsed));
    CHECK(asLine(errorOf(Parsed)) ==
          "--listen: got 'localhost:80', accepted: ip:port");
  }
  SECTION("so is a bad variable, an unknown flag, a missing value") {
    CHECK(errorOf(parse({}, {{"GOOSEBERRY_THREADS", "0"}})).Flag_ ==
          "--threads");
    CHECK(errorOf(parse({"--treads", "1"})).Flag_ == "--treads");
    CHECK(errorOf(parse({"--threads"})).Flag_ == "--threads");
    CHECK(errorOf(parse({"surplus"})).Flag_ == "surplus");
    CHECK(errorOf(parse({"--drain-deadline-ms", "1e3"})).Flag_ ==
          "--drain-deadline-ms");
  }
  SECTION("a bad key is not shown") {
    CHECK(asLine(errorOf(parse({"--operator-key", ""}))).find("hidden") !=
          std::string::npos);
  }
  SECTION("--help and --version work whatever else is set") {
    const auto Parsed = parse({"--help"}, {{"GOOSEBERRY_THREADS", "x"}});
    REQUIRE(isOk(Parsed));
    CHECK(valueOf(Parsed).Mode_ == SettingsMode::Help);
    CHECK(settingsHelp().find("--drain-deadline-ms") != std::string::npos);
  }
}

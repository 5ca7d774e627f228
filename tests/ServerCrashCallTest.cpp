#include "support/RelayUnderTest.h"
#include "support/ServerAnswers.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace gooseberry;

namespace {

constexpr std::string_view Deadly = "deadly";
constexpr int Attempts = 8;
constexpr int ServerCount = 8;

ScriptedAnswer makeStream(const ScriptedRequest &Request) {
  return {makeStreamHead(Request.Id_) + makeChunk(makeEvent(1)) +
          std::string(LastChunk)};
}

ScriptedBackend::Script prefillAll() {
  return [](const ScriptedRequest &Request) {
    return ScriptedAnswer{makePrefilled(Request.Id_)};
  };
}

/// Servers that go down under the deadly body, and answer others.
class DeadlyPlay {
public:
  explicit DeadlyPlay(std::optional<EngineRole> Role) {
    if (Role)
      Relay_.addServer("prefill", EngineRole::Prefill, prefillAll());
    for (int I = 0; I != ServerCount; ++I)
      Relay_.addServer("s" + std::to_string(I), Role,
                       [this, Role](const ScriptedRequest &Request) {
                         return answer(Request, Role.has_value());
                       });
  }

  /// Sends the deadly request as a new attempt, after all servers are back.
  CallerAnswer sendDeadly(std::string_view Path, const CallerContent &Content) {
    Relay_.restartServers();
    return Relay_.call(Path, "deadly" + std::to_string(++Sent_), Content);
  }
  /// Sends the deadly request as several new attempts together.
  std::vector<CallerAnswer> sendDeadlyAtOnce(std::string_view Path) {
    Relay_.restartServers();
    std::vector<std::string> Ids;
    for (int I = 0; I != Attempts; ++I)
      Ids.push_back("deadly" + std::to_string(++Sent_));
    return Relay_.callAtOnce(Path, Ids, {"POST", std::string(Deadly)});
  }
  /// Sends a sound request.
  CallerAnswer sendSound(std::string_view Path, const std::string &Method) {
    Relay_.restartServers();
    return Relay_.call(Path, "sound" + std::to_string(++Sent_),
                       {Method, "sound"});
  }

  int reached() const { return Reached_; }

private:
  ScriptedAnswer answer(const ScriptedRequest &Request, bool IsEngine) {
    if (Request.Body_ == Deadly || Request.Id_.starts_with(Deadly)) {
      ++Reached_;
      return {"", true, {}, true};
    }
    return IsEngine ? makeStream(Request)
                    : ScriptedAnswer{makeSuccess(Request.Id_, "answer")};
  }

  RelayUnderTest Relay_;
  int Reached_ = 0; ///< Servers that got the deadly request.
  int Sent_ = 0;
};

bool isQuarantined(const CallerAnswer &Answer) {
  return Answer.Body_.find("prompt_quarantined") != std::string::npos;
}

bool isNotRun(const CallerAnswer &Answer) {
  return Answer.Body_.find("not_run") != std::string::npos;
}

} // namespace

TEST_CASE("A request that crashes each server reaches few of them",
          "[relay][budget]") {
  const std::string Post = "POST";
  const std::string Get = "GET";
  std::string Path;
  std::string SoundPath;
  CallerContent Content = {Post, std::string(Deadly)};
  std::optional<EngineRole> Role;
  SECTION("if it is idempotent and has a body") {
    Path = "/check/1";
    SoundPath = "/check/2";
  }
  SECTION("if it is idempotent and has none") {
    Path = "/check/1";
    SoundPath = "/check/2";
    Content = {Get, ""};
  }
  SECTION("if it may run once only") {
    Path = "/book/1";
    SoundPath = "/book/1";
  }
  SECTION("if it is a generation") {
    Path = "/write/1";
    SoundPath = "/write/1";
    Role = EngineRole::Decode;
  }
  DeadlyPlay Play(Role);
  int SoundServed = 0;
  CallerAnswer Last;
  for (int I = 0; I != Attempts; ++I) {
    Last = Play.sendDeadly(Path, Content);
    CHECK(Last.Status_ >= 500);
    SoundServed += Play.sendSound(SoundPath, Post).Status_ == 200 ? 1 : 0;
  }
  CHECK(Play.reached() == 3);
  CHECK(isQuarantined(Last));
  CHECK(isNotRun(Last));
  CHECK(SoundServed == Attempts);
}

TEST_CASE("Of attempts that come together, one tries a suspect request",
          "[relay][budget]") {
  const std::string Path = GENERATE("/book/1", "/check/1");
  DeadlyPlay Play(std::nullopt);
  const CallerContent Content = {"POST", std::string(Deadly)};
  while (Play.reached() < 2)
    Play.sendDeadly(Path, Content);
  const std::vector<CallerAnswer> Answers = Play.sendDeadlyAtOnce(Path);
  CHECK(Play.reached() == 3);
  CHECK(std::count_if(Answers.begin(), Answers.end(), isNotRun) ==
        Attempts - 1);
  CHECK(isQuarantined(Play.sendDeadly(Path, Content)));
  CHECK(Play.sendSound(Path, "POST").Status_ == 200);
}

TEST_CASE("A request whose servers close connections and take new ones is not "
          "quarantined",
          "[relay][budget]") {
  RelayUnderTest Relay;
  const std::string Path = GENERATE("/check/1", "/book/1", "/write/1");
  const bool IsEngine = Path == "/write/1";
  if (IsEngine)
    Relay.addServer("prefill", EngineRole::Prefill, prefillAll());
  int Reached = 0;
  for (int I = 0; I != ServerCount; ++I)
    Relay.addServer("s" + std::to_string(I),
                    IsEngine ? std::optional(EngineRole::Decode) : std::nullopt,
                    [&Reached](const ScriptedRequest &) {
                      ++Reached;
                      return ScriptedAnswer{"", true};
                    });
  for (int I = 0; I != 5; ++I) {
    const int Before = Reached;
    const CallerAnswer Answer =
        Relay.call(Path, "r" + std::to_string(I), {"POST", "body"});
    CHECK_FALSE(isQuarantined(Answer));
    CHECK(Reached > Before);
  }
}

TEST_CASE("A request that was on servers that crashed is served when the next "
          "one answers it",
          "[relay][budget]") {
  RelayUnderTest Relay;
  const std::string Path = GENERATE("/book/1", "/write/1");
  const bool IsEngine = Path == "/write/1";
  if (IsEngine)
    Relay.addServer("prefill", EngineRole::Prefill, prefillAll());
  int Reached = 0;
  // Two servers go down, the third one answers, and so again.
  for (int I = 0; I != ServerCount; ++I)
    Relay.addServer("s" + std::to_string(I),
                    IsEngine ? std::optional(EngineRole::Decode) : std::nullopt,
                    [&Reached, IsEngine](const ScriptedRequest &Request) {
                      if (++Reached % 3 != 0)
                        return ScriptedAnswer{"", true, {}, true};
                      return IsEngine ? makeStream(Request)
                                      : ScriptedAnswer{
                                            makeSuccess(Request.Id_, "answer")};
                    });
  int Served = 0;
  for (int I = 0; I != 9; ++I) {
    Relay.restartServers();
    const CallerAnswer Answer =
        Relay.call(Path, "r" + std::to_string(I), {"POST", "unlucky"});
    CHECK_FALSE(isQuarantined(Answer));
    Served += Answer.Status_ == 200 ? 1 : 0;
  }
  CHECK(Served >= 3);
}

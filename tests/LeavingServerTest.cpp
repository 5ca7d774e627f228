#include "support/RelayUnderTest.h"
#include "support/ServerAnswers.h"

#include <catch2/catch.hpp>

using namespace gooseberry;

namespace {

/// Answers each plain request.
ScriptedBackend::Script answerPlain(std::string_view Fields = "") {
  return [Fields](const ScriptedRequest &Request) {
    return ScriptedAnswer{makeSuccess(Request.Id_, "answer", Fields)};
  };
}

/// Rejects each request.
ScriptedBackend::Script rejectAll(std::string_view Fields = "") {
  return [Fields](const ScriptedRequest &Request) {
    return ScriptedAnswer{makeRejection(Request.Id_, Fields)};
  };
}

/// Prefills each prompt.
ScriptedBackend::Script prefillAll(std::string_view Fields = "") {
  return [Fields](const ScriptedRequest &Request) {
    return ScriptedAnswer{makePrefilled(Request.Id_, Fields)};
  };
}

/// Streams two events for each request, and continues after the last one.
ScriptedBackend::Script streamAll(std::string_view Fields = "") {
  return [Fields](const ScriptedRequest &Request) {
    std::string Bytes = makeStreamHead(Request.Id_, Fields);
    if (Request.LastEventId_.empty())
      Bytes += makeChunk(makeEvent(1));
    Bytes += makeChunk(makeEvent(2)) + std::string(LastChunk);
    return ScriptedAnswer{Bytes};
  };
}

/// Streams one event and breaks off.
ScriptedBackend::Script breakOffAfterOne(std::string_view Fields = "") {
  return [Fields](const ScriptedRequest &Request) {
    return ScriptedAnswer{
        makeStreamHead(Request.Id_, Fields) + makeChunk(makeEvent(1)), true};
  };
}

std::string idOf(std::string_view Prefix, int Number) {
  return std::string(Prefix) + std::to_string(Number);
}

constexpr int Repetitions = 6;

} // namespace

TEST_CASE("A server that says that it leaves gets no later request",
          "[relay][leaving]") {
  RelayUnderTest Relay;

  SECTION("of a plain service, although its registration says ready") {
    for (const char *Path : {"/check/1", "/book/1"}) {
      ScriptedBackend &Leaving = Relay.addServer(
          idOf("leaving", Path[1]), std::nullopt, answerPlain(LeavingFields));
      ScriptedBackend &Other =
          Relay.addServer("other", std::nullopt, answerPlain());
      for (int I = 0; I != Repetitions; ++I)
        CHECK(Relay.call(Path, idOf(Path, I)).Status_ == 200);
      CHECK(Leaving.requests().size() <= 1);
      CHECK(Other.requests().size() >= Repetitions - 1);
    }
  }
  SECTION("of a plain service, if it said so as it rejected a request") {
    ScriptedBackend &Leaving =
        Relay.addServer("leaving", std::nullopt, rejectAll(LeavingFields));
    Relay.addServer("other", std::nullopt, answerPlain());
    for (int I = 0; I != Repetitions; ++I)
      CHECK(Relay.call("/check/1", idOf("r", I)).Status_ == 200);
    CHECK(Leaving.requests().size() == 1);
  }
  SECTION("as the last one of its service, and callers hear at once that their "
          "requests have not run") {
    ScriptedBackend &Leaving =
        Relay.addServer("leaving", std::nullopt, answerPlain(LeavingFields));
    CHECK(Relay.call("/book/1", "r1").Status_ == 200);
    CHECK(Relay.call("/book/1", "r2").Status_ == 503);
    CHECK(Leaving.requests().size() == 1);
  }
  SECTION("to prefill a prompt") {
    ScriptedBackend &Leaving = Relay.addServer("leaving", EngineRole::Prefill,
                                               prefillAll(LeavingFields));
    Relay.addServer("decode", EngineRole::Decode, streamAll());
    CHECK(Relay.call("/write/1", "r0").Status_ == 200);
    ScriptedBackend &Other =
        Relay.addServer("other", EngineRole::Prefill, prefillAll());
    for (int I = 1; I != Repetitions; ++I)
      CHECK(Relay.call("/write/1", idOf("r", I)).Status_ == 200);
    CHECK(Leaving.requests().size() == 1);
    CHECK(Other.requests().size() == Repetitions - 1);
  }
  SECTION("to decode") {
    Relay.addServer("prefill", EngineRole::Prefill, prefillAll());
    ScriptedBackend &Leaving = Relay.addServer("leaving", EngineRole::Decode,
                                               streamAll(LeavingFields));
    CHECK(Relay.call("/write/1", "r0").Status_ == 200);
    ScriptedBackend &Other =
        Relay.addServer("other", EngineRole::Decode, streamAll());
    for (int I = 1; I != Repetitions; ++I)
      CHECK(Relay.call("/write/1", idOf("r", I)).Status_ == 200);
    CHECK(Leaving.requests().size() == 1);
    CHECK(Other.requests().size() == Repetitions - 1);
  }
  SECTION("a second time for the same prompt, as it rejected the first call") {
    Relay.addServer("prefill", EngineRole::Prefill, prefillAll());
    ScriptedBackend &Leaving = Relay.addServer("leaving", EngineRole::Decode,
                                               rejectAll(LeavingFields));
    Relay.call("/write/1", "r0");
    CHECK(Leaving.requests().size() == 1);
  }
  SECTION("to go on with a stream that another engine broke off") {
    Relay.addServer("prefill", EngineRole::Prefill, prefillAll());
    ScriptedBackend &Leaving = Relay.addServer("leaving", EngineRole::Decode,
                                               streamAll(LeavingFields));
    CHECK(Relay.call("/write/1", "r0").Status_ == 200);
    Relay.addServer("breaking", EngineRole::Decode, breakOffAfterOne());
    ScriptedBackend &Other =
        Relay.addServer("other", EngineRole::Decode, streamAll());
    for (int I = 1; I != Repetitions; ++I) {
      const CallerAnswer Answer = Relay.call("/write/1", idOf("r", I));
      CHECK(Answer.IsWhole_);
      CHECK(Answer.Body_ == makeEvent(1) + makeEvent(2));
    }
    CHECK(Leaving.requests().size() == 1);
    CHECK_FALSE(Other.requests().empty());
  }
  SECTION("until its process has started again") {
    ScriptedBackend &Server =
        Relay.addServer("server", std::nullopt, [](const auto &Request) {
          const bool IsFirst = Request.Id_ == "r1";
          return ScriptedAnswer{
              makeSuccess(Request.Id_, "answer", IsFirst ? LeavingFields : "")};
        });
    Relay.call("/check/1", "r1");
    BackendEntry Restarted = *Relay.directory().find({"server"});
    Restarted.IsLeaving_ = false;
    Relay.directory().put(Restarted);
    CHECK(Relay.call("/check/1", "r2").Status_ == 503);
    ++Restarted.StartTimeMs_;
    Relay.directory().put(Restarted);
    CHECK(Relay.call("/check/1", "r3").Status_ == 200);
    CHECK(Server.requests().size() == 2);
  }
}

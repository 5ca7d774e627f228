#include "support/RelayFleet.h"
#include "support/ServerAnswers.h"

#include <catch2/catch.hpp>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

/// By then an instance has noticed that it is cut off.
constexpr Duration NoticeTime = 3s;
constexpr int CallsPerInstance = 12;

void addServers(RelayFleet &Fleet) {
  for (const char *Id : {"b1", "b2", "b3", "b4"})
    Fleet.addServer(Id, std::nullopt, [](const ScriptedRequest &Request) {
      return ScriptedAnswer{makeSuccess(Request.Id_, "booked")};
    });
  for (const char *Id : {"p1", "p2"})
    Fleet.addServer(Id, EngineRole::Prefill,
                    [](const ScriptedRequest &Request) {
                      return ScriptedAnswer{makePrefilled(Request.Id_)};
                    });
  for (const char *Id : {"d1", "d2", "d3"})
    Fleet.addServer(Id, EngineRole::Decode, [](const ScriptedRequest &Request) {
      return ScriptedAnswer{makeStreamHead(Request.Id_) +
                            makeChunk(makeEvent(1)) + std::string(LastChunk)};
    });
}

int countServed(RelayUnderTest &Relay, std::string_view Path,
                const std::string &Name) {
  int Served = 0;
  for (int I = 0; I != CallsPerInstance; ++I) {
    const CallerAnswer Answer = Relay.call(Path, Name + std::to_string(I));
    Served += Answer.Status_ == 200 && Answer.IsWhole_ ? 1 : 0;
  }
  return Served;
}

} // namespace

TEST_CASE("Callers of instances that are cut off from all servers are served "
          "worse than others",
          "[relay][cutoff]") {
  RelayFleet Fleet(3);
  addServers(Fleet);
  Fleet.runFor(500ms);
  const auto How =
      GENERATE(RelayUnderTest::Cut::Refused, RelayUnderTest::Cut::Silent);
  for (const std::size_t Index : {1, 2})
    Fleet.cutOff(Index, How);
  for (int I = 0; I != 10; ++I)
    for (std::size_t Index : {1, 2})
      Fleet.relay(Index).begin("/check/1", "early" + std::to_string(I));
  Fleet.runFor(NoticeTime);

  const char *Path = GENERATE("/check/1", "/book/1", "/write/1", "/draft/1");
  const int Reached = countServed(Fleet.relay(0), Path, "a");
  CHECK(Reached == CallsPerInstance);
  for (const std::size_t Index : {1, 2}) {
    const int CutOff =
        countServed(Fleet.relay(Index), Path, "b" + std::to_string(Index));
    CHECK(CutOff * 3 >= Reached * 2);
  }
}

#include "gooseberrybeam/relay/ServerLimitLedger.h"

#include "gooseberrybeam/relay/HomeCoordinator.h"
#include "gooseberrybeam/relay/StatedLimits.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

const ServerId Server = {"s1"};
constexpr Duration Window = 4s;

/// Requests that a server with a limit gets.
class ServerLoad {
public:
  explicit ServerLoad(double Limit) : Limit_(Limit) {}

  void add(TimePoint At) { Times_.push_back(At); }
  std::size_t count() const { return Times_.size(); }
  /// \returns the maximum number of requests in a window.
  std::size_t worstWindow() const {
    std::size_t Worst = 0;
    for (auto First = Times_.begin(); First != Times_.end(); ++First)
      Worst = std::max<std::size_t>(
          Worst,
          std::lower_bound(First, Times_.end(), *First + Window) - First);
    return Worst;
  }
  /// \returns the requests that the server accepts in a window, and five more
  /// that operators tolerate.
  double allowedInWindow() const { return Limit_ * asSeconds(Window) + 5; }

private:
  double Limit_;
  std::vector<TimePoint> Times_;
};

} // namespace

TEST_CASE("Instances together keep to the limit that a server states",
          "[relay]") {
  // Callers of one instance of 300 ask 50 times a second, those of the others
  // once in 3 s; the server accepts 10 requests a second for 20 s.
  constexpr double Limit = 10;
  ServerLoad Load(Limit);
  BackendDirectory Directory;
  BackendEntry Entry;
  Entry.Id_ = Server;
  Directory.put(Entry);
  HomeCoordinator Home(Directory, {8s, 0});
  constexpr int Instances = 300;
  Home.setInstanceCount(Instances);
  TimePoint Now{100s};
  const auto Attach = [&](int Count) {
    HomeHeartbeat Heartbeat;
    Heartbeat.IsAttached_ = true;
    for (int I = 0; I != Count; ++I)
      Home.onHeartbeat({"edge-" + std::to_string(I)}, Heartbeat, Now);
    Home.decide(Now);
  };
  const auto Play = [&](Duration Time, int Attached) {
    for (int Step = 0; Step != Time / 10ms; ++Step, Now += 10ms) {
      if (Step % 15 == 0)
        Attach(Attached);
      for (int Caller = Step % 2; Caller != 2; ++Caller)
        if (Home.takeServerToken(Server, Now) == Duration::zero())
          Load.add(Now);
    }
  };
  Attach(Instances);
  Home.onServerLimit({Server, Limit}, Now);

  SECTION("and use it up") {
    Play(20s, Instances);
    CHECK(Load.worstWindow() <= Load.allowedInWindow());
    CHECK(Load.count() >= Limit * 20 * 0.95);
  }
  SECTION("a home of half of the instances grants half of it") {
    Play(20s, Instances / 2);
    CHECK(Load.count() <= Limit * 20 / 2 * 1.1);
    CHECK(Load.count() >= Limit * 20 / 2 * 0.9);
  }
  SECTION("the next home goes on where the last one was") {
    Play(10s, Instances);
    HomeCoordinator Next(Directory, {8s, 0});
    Next.setInstanceCount(1);
    HomeHeartbeat Heartbeat;
    Heartbeat.IsAttached_ = true;
    Heartbeat.ServerLimits_ = Home.serverLimits();
    Next.onHeartbeat({"edge-0"}, Heartbeat, Now);
    for (int Step = 0; Step != 1000; ++Step, Now += 10ms) {
      if (Step % 15 == 0)
        Next.onHeartbeat({"edge-0"}, Heartbeat, Now);
      Next.decide(Now);
      if (Next.takeServerToken(Server, Now) == Duration::zero())
        Load.add(Now);
    }
    CHECK(Load.worstWindow() <= Load.allowedInWindow());
    CHECK(Load.count() >= Limit * 20 * 0.9);
  }
  SECTION("a server that states no limit any more gets all requests") {
    Home.onServerLimit({Server, std::nullopt}, Now);
    for (int I = 0; I != 50; ++I)
      CHECK(Home.takeServerToken(Server, Now) == Duration::zero());
  }
  SECTION("a server that is gone is forgotten") {
    Directory.remove(Server, Now);
    Now += 1min;
    Directory.expire(Now);
    Home.decide(Now);
    CHECK(Home.serverLimits().empty());
  }
}

TEST_CASE("A server that accepts nothing is asked now and then", "[relay]") {
  ServerLimitLedger Ledger;
  TimePoint Now{100s};
  Ledger.onLimit(Server, 0, Now);
  ServerLoad Load(0);
  for (; Now < TimePoint(140s); Now += 10ms) {
    if (Ledger.timeUntilAvailable(Server, Now) > Duration::zero())
      continue;
    Ledger.take(Server, Now);
    Load.add(Now);
  }
  CHECK(Load.count() >= 4);
  CHECK(Load.worstWindow() <= Load.allowedInWindow());
}

TEST_CASE("A cold server gets the smaller of its stated and its cold rate",
          "[relay][cold]") {
  ServerLimitLedger Ledger;
  TimePoint Now{100s};
  const auto CountIn = [&](Duration Time) {
    int Count = 0;
    for (const TimePoint End = Now + Time; Now < End; Now += 10ms)
      if (Ledger.timeUntilAvailable(Server, Now) == Duration::zero()) {
        Ledger.take(Server, Now);
        ++Count;
      }
    return Count;
  };
  Ledger.onLimit(Server, 50, Now);
  Now += 10s;
  REQUIRE(Ledger.onCold(Server, 2, Now));

  SECTION("without the tokens that accrued before") {
    CHECK(Ledger.timeUntilAvailable(Server, Now) > 300ms);
    CHECK_FALSE(Ledger.onCold(Server, 2, Now));
    CHECK(CountIn(10s) <= 2.5 * 10 + 2);
  }
  SECTION("a smaller stated limit holds while it is cold, too") {
    Ledger.onLimit(Server, 0.5, Now);
    CHECK(CountIn(10s) <= 0.75 * 10 + 2);
  }
  SECTION("instances hear of the stated limit only, as every home knows "
          "which servers are cold") {
    Ledger.onLimit(Server, std::nullopt, Now);
    CHECK(Ledger.limits().empty());
    CHECK(Ledger.coldServers() == std::vector<ServerId>{Server});
    SECTION("and a limit from before a change of home is still taken in") {
      const std::vector<ServerLimit> Stated = {{Server, 50}};
      Ledger.merge(Stated, Now);
      CHECK(Ledger.limits() == Stated);
    }
    SECTION("and a server that is warm again is not limited") {
      Ledger.onCold(Server, std::nullopt, Now);
      CHECK(Ledger.coldServers().empty());
      CHECK(CountIn(1s) == 100);
    }
  }
  SECTION("the stated limit outlasts the cold start") {
    Ledger.onCold(Server, std::nullopt, Now);
    CHECK(Ledger.limits().size() == 1);
    CHECK(CountIn(2s) <= 50.5 * 2 + 5);
  }
}

TEST_CASE("The time until a server accepts a request is exact", "[relay]") {
  ServerLimitLedger Ledger;
  TimePoint Now{100s};
  for (const double Limit : {0.3, 1.0, 7.9, 250.0}) {
    Ledger.onLimit(Server, Limit, Now);
    for (int I = 0; I != 5; ++I) {
      const Duration Wait = Ledger.timeUntilAvailable(Server, Now);
      Now += Wait + 1us;
      CHECK(Ledger.timeUntilAvailable(Server, Now) == Duration::zero());
      Ledger.take(Server, Now);
    }
  }
}

TEST_CASE("An instance tells its home of changed limits", "[relay]") {
  StatedLimits Limits;
  TimePoint Now{100s};
  CHECK_FALSE(Limits.onResponse(Server, std::nullopt, Now));
  CHECK(Limits.onResponse(Server, 5, Now));
  CHECK(Limits.isLimited(Server));
  CHECK_FALSE(Limits.onResponse(Server, 5, Now + 10ms));
  CHECK(Limits.onResponse(Server, 6, Now + 20ms));
  SECTION("and repeats them, as a report may be lost") {
    CHECK(Limits.onResponse(Server, 6, Now + 2s));
  }
  SECTION("and that a server states none any more") {
    CHECK(Limits.onResponse(Server, std::nullopt, Now + 30ms));
    CHECK_FALSE(Limits.isLimited(Server));
  }
  SECTION("and keeps what the home cannot know yet") {
    Limits.assign({}, Now + 100ms);
    CHECK(Limits.isLimited(Server));
    Limits.assign({}, Now + 2s);
    CHECK_FALSE(Limits.isLimited(Server));
  }
  SECTION("and learns from it what others have heard") {
    const std::vector<ServerLimit> Known = {{{"s2"}, 3}};
    Limits.assign(Known, Now + 100ms);
    CHECK(Limits.isLimited({"s2"}));
    CHECK(Limits.all().size() == 2);
  }
}

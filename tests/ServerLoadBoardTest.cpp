#include "gooseberrybeam/relay/ServerLoadBoard.h"

#include "gooseberrybeam/relay/HomeCoordinator.h"
#include "gooseberrybeam/relay/LoadEstimates.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <limits>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

const ServerId S1 = {"s1"};

ServerLoadReport makeReport(std::uint32_t InFlight, std::uint32_t Answers = 0,
                            double AnswerMs = 0, std::uint32_t Failures = 0) {
  return {S1, InFlight, Answers, AnswerMs, Failures};
}

/// A board that hears of one server.
struct Board {
  void report(const char *Instance, const ServerLoadReport &Report) {
    Loads_.onReports({Instance}, std::span(&Report, 1), Now_);
  }
  /// Reports once each 100 ms for \p Period.
  void repeat(const ServerLoadReport &Report, Duration Period) {
    for (const TimePoint End = Now_ + Period; Now_ < End; Now_ += 100ms)
      report("a", Report);
  }
  ServerLoadEstimate estimate(std::size_t Attached = 2, std::size_t All = 2) {
    const auto Estimates = Loads_.estimates(Attached, All, Now_);
    REQUIRE(Estimates.size() == 1);
    return Estimates.front();
  }

  ServerLoadBoard Loads_;
  TimePoint Now_{1s};
};

} // namespace

TEST_CASE("A home adds up the load that its instances report",
          "[relay][load]") {
  Board Home;
  Home.report("a", makeReport(3, 1, 10));
  Home.report("b", makeReport(4, 3, 50));
  CHECK(Home.estimate().InFlight_ == 7);

  SECTION("weighted by answers, not by instances") {
    CHECK(Home.estimate().LastingMs_ == Approx(40));
  }
  SECTION(
      "anew with each report: guards against drift after a lost heartbeat") {
    Home.report("a", makeReport(1));
    CHECK(Home.estimate().InFlight_ == 5);
    Home.Loads_.onReports({"b"}, {}, Home.Now_);
    CHECK(Home.estimate().InFlight_ == 1);
  }
  SECTION("without instances that are gone: guards against load that stays") {
    Home.Loads_.dropInstance({"b"});
    CHECK(Home.estimate().InFlight_ == 3);
    SECTION("until they are back") {
      Home.report("b", makeReport(2));
      CHECK(Home.estimate().InFlight_ == 5);
    }
  }
  SECTION("with two homes, scaled to all instances") {
    CHECK(Home.estimate(2, 5).InFlight_ == Approx(17.5));
    SECTION("unless few are attached: guards against conclusions of a home "
            "that is cut off or new") {
      CHECK(Home.Loads_.estimates(2, 9, Home.Now_).empty());
      CHECK(Home.Loads_.estimates(0, 0, Home.Now_).empty());
    }
  }
  SECTION("but states none if replies would fill its link: guards against "
          "traffic that grows with servers times instances") {
    CHECK(Home.Loads_.estimates(2000, 2000, Home.Now_).size() == 1);
    CHECK(Home.Loads_.estimates(2001, 2001, Home.Now_).empty());
  }
  SECTION("without servers that are gone, also if they return") {
    Home.Loads_.retainIf([](const ServerId &) { return false; });
    CHECK(Home.Loads_.estimates(2, 2, Home.Now_).empty());
    Home.report("a", makeReport(5));
    Home.report("b", makeReport(1));
    CHECK(Home.estimate().InFlight_ == 6);
  }
}

TEST_CASE("A home tells slow and failing servers apart", "[relay][load]") {
  Board Home;
  Home.repeat(makeReport(2, 5, 30), 20s);
  CHECK(Home.estimate().LastingMs_ == Approx(30));

  SECTION("a slow period shows in the present time only") {
    Home.repeat(makeReport(5, 3, 75), 600ms);
    CHECK(Home.estimate().PresentMs_ > 50);
    CHECK(Home.estimate().LastingMs_ < 33);
    SECTION("and is forgotten after it") {
      Home.repeat(makeReport(2, 5, 30), 2s);
      CHECK(Home.estimate().PresentMs_ < 32);
    }
  }
  SECTION("a lastingly slow server has a longer lasting time") {
    Home.repeat(makeReport(5, 3, 75), 30s);
    CHECK(Home.estimate().LastingMs_ > 70);
    CHECK(Home.estimate().FailureRate_ == 0);
  }
  SECTION("a server that fails fast has a failure rate, and its times stay") {
    Home.repeat(makeReport(0, 0, 0, 20), 3s);
    CHECK(Home.estimate().FailureRate_ > 0.8);
    CHECK(Home.estimate().LastingMs_ == Approx(30));
  }
}

TEST_CASE(
    "A home bounds out-of-range reports: guards against one faulty peer that "
    "diverts all requests",
    "[relay][load]") {
  Board Home;
  constexpr auto Max = std::numeric_limits<std::uint32_t>::max();
  SECTION("numbers are bounded, impossible times are dropped") {
    Home.report("a", makeReport(Max, Max, NAN, Max));
    Home.report("b", makeReport(0, 1, 1e12));
    CHECK(Home.estimate().InFlight_ == 10'000);
    CHECK(Home.estimate().LastingMs_ == 0);
    CHECK(Home.estimate().FailureRate_ <= 1);
  }
  SECTION("a server that is named twice counts once, one without name never") {
    const std::vector<ServerLoadReport> Twice = {makeReport(3), makeReport(4),
                                                 ServerLoadReport()};
    Home.Loads_.onReports({"a"}, Twice, Home.Now_);
    CHECK(Home.estimate().InFlight_ == 3);
  }
  SECTION("the numbers of servers and instances are bounded") {
    for (int I = 0; I != 2000; ++I) {
      const std::string Name = std::to_string(I);
      const ServerLoadReport Other = {{Name}, 1, 0, 0, 0};
      Home.Loads_.onReports({"a"}, std::span(&Other, 1), Home.Now_);
    }
    CHECK(Home.Loads_.estimates(1, 1, Home.Now_).size() == 256);
    ServerLoadBoard Instances;
    for (int I = 0; I != 2000; ++I) {
      const ServerLoadReport One = makeReport(1);
      Instances.onReports({std::to_string(I)}, std::span(&One, 1), Home.Now_);
    }
    CHECK(Instances.estimates(1, 1, Home.Now_).front().InFlight_ == 1024);
  }
}

TEST_CASE(
    "An instance bounds out-of-range estimates: guards against a faulty home",
    "[relay][load]") {
  CHECK(makeLoadEstimates({}, TimePoint(1s)) == nullptr);
  const ServerLoadEstimate Absurd = {S1, INFINITY, NAN, -5, 17, -3s};
  const auto Bounded = makeLoadEstimates(std::span(&Absurd, 1), TimePoint(1s));
  const ServerLoadEstimate &Each = Bounded->Servers_.at(S1);
  CHECK(Each.InFlight_ == 10'000'000);
  CHECK(Each.LastingMs_ == 0);
  CHECK(Each.PresentMs_ == 0);
  CHECK(Each.FailureRate_ == 1);
  CHECK(Each.Age_ == 0s);
}

TEST_CASE("A coordinator counts the load of attached instances only",
          "[relay][load]") {
  BackendDirectory Directory;
  BackendEntry Server;
  Server.Id_ = S1;
  Directory.put(Server);
  HomeCoordinator Home(Directory, RateLimitBounds());
  Home.setInstanceCount(2);
  TimePoint Now{10s};
  HomeHeartbeat Message;
  Message.IsAttached_ = true;
  Message.ServerLoads_ = {makeReport(3)};
  Home.onHeartbeat({"a"}, Message, Now);
  Home.onHeartbeat({"b"}, Message, Now);
  Home.decide(Now);
  REQUIRE(Home.serverLoads(Now).size() == 1);
  CHECK(Home.serverLoads(Now).front().InFlight_ == 6);

  SECTION("one that detaches no longer counts") {
    HomeHeartbeat Detached;
    Home.onHeartbeat({"b"}, Detached, Now);
    // Scaled from one instance to both.
    CHECK(Home.serverLoads(Now).front().InFlight_ == 6);
    Message.ServerLoads_ = {makeReport(1)};
    Home.onHeartbeat({"a"}, Message, Now);
    CHECK(Home.serverLoads(Now).front().InFlight_ == 2);
  }
  SECTION("one that is silent no longer counts, until it is back: guards "
          "against the load of an instance that is cut off") {
    Now += 700ms;
    Message.ServerLoads_ = {makeReport(1)};
    Home.onHeartbeat({"a"}, Message, Now);
    Now += 200ms;
    Home.decide(Now);
    CHECK(Home.serverLoads(Now).front().InFlight_ == 2);
    Message.ServerLoads_ = {makeReport(5)};
    Home.onHeartbeat({"b"}, Message, Now);
    CHECK(Home.serverLoads(Now).front().InFlight_ == 6);
  }
  SECTION("a process that restarted has nothing in flight") {
    Home.onProcess({"b"}, 1);
    Home.onProcess({"b"}, 2);
    CHECK(Home.serverLoads(Now).front().InFlight_ == 3);
  }
  SECTION("a server that is unregistered is not stated") {
    Directory.remove(S1, Now);
    Home.decide(Now);
    CHECK(Home.serverLoads(Now).empty());
  }
}

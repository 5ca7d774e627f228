#include "gooseberrybeam/relay/RelayRateLimiter.h"

#include <catch2/catch.hpp>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

constexpr Duration Window = 8s;
/// Time of the last heartbeat of instances that never fall silent.
constexpr TimePoint AlwaysHeard(1000s);
const OrganisationId Acme = {"acme"};
const InstanceId FirstInstance = {"one"};
const InstanceId SecondInstance = {"two"};

std::shared_ptr<const RelayConfiguration> makeLimits(double Rate,
                                                     double Burst) {
  RelayConfigurationParts Parts;
  RelayOrganisation Organisation;
  Organisation.Name_ = Acme;
  Organisation.Limit_ = TokenLimit{Rate, Burst};
  Parts.Organisations_ = {Organisation};
  return std::make_shared<const RelayConfiguration>(std::move(Parts));
}

/// Requests 100 tokens every 10 ms.
/// \returns the number of tokens granted.
double requestTokens(RelayRateLimiter &Limiter, const InstanceId &Instance,
                     TimePoint Start, Duration Period) {
  double Granted = 0;
  for (TimePoint Now = Start; Now < Start + Period; Now += 10ms)
    if (!Limiter.tryAcquire(Instance, Acme, 100, Now))
      Granted += 100;
  return Granted;
}

} // namespace

TEST_CASE("An organisation's usage stays within its limit", "[relay][limits]") {
  RelayRateLimiter Limiter({Window, 0});
  Limiter.configure(makeLimits(1000, 1000), TimePoint(0s));
  Limiter.setInstanceCount(2);
  Limiter.attach(FirstInstance, TimePoint(-100s), AlwaysHeard);
  Limiter.attach(SecondInstance, TimePoint(-100s), AlwaysHeard);

  SECTION("in any window") {
    CHECK(requestTokens(Limiter, FirstInstance, TimePoint(1s), 8s) <= 9000);
    CHECK(requestTokens(Limiter, SecondInstance, TimePoint(9s), 8s) <= 9000);
  }
  SECTION("a burst within the window's limit is not refused") {
    CHECK(requestTokens(Limiter, FirstInstance, TimePoint(1s), 900ms) == 9000);
  }
  SECTION("a refused request gets a usable wait time") {
    requestTokens(Limiter, FirstInstance, TimePoint(1s), 1s);
    const auto Wait =
        Limiter.tryAcquire(FirstInstance, Acme, 100, TimePoint(3s));
    REQUIRE(Wait);
    CHECK_FALSE(
        Limiter.tryAcquire(FirstInstance, Acme, 100, TimePoint(3s) + *Wait));
  }
  SECTION("a detached instance takes its share with it") {
    Limiter.detach(SecondInstance, TimePoint(1s));
    CHECK(requestTokens(Limiter, FirstInstance, TimePoint(1s), 8s) <= 4500);
  }
  SECTION("a silent instance no longer lends its share") {
    Limiter.attach(SecondInstance, TimePoint(-100s), TimePoint(0s));
    CHECK(requestTokens(Limiter, FirstInstance, TimePoint(1s), 8s) <= 4500);
  }
  SECTION("two homes with one instance each grant at most the whole limit") {
    RelayRateLimiter OtherLimiter({Window, 0});
    OtherLimiter.configure(makeLimits(1000, 1000), TimePoint(0s));
    OtherLimiter.setInstanceCount(2);
    OtherLimiter.attach(SecondInstance, TimePoint(-100s), AlwaysHeard);
    Limiter.detach(SecondInstance, TimePoint(1s));
    CHECK(requestTokens(Limiter, FirstInstance, TimePoint(1s), 8s) +
              requestTokens(OtherLimiter, SecondInstance, TimePoint(1s), 8s) <=
          9000);
  }
  SECTION("borrowed usage stays counted at the lenders") {
    CHECK(requestTokens(Limiter, FirstInstance, TimePoint(1s), 1s) == 9000);
    Limiter.detach(FirstInstance, TimePoint(2s));
    CHECK(requestTokens(Limiter, SecondInstance, TimePoint(2s), 1s) == 0);
  }
  SECTION(
      "a share that was lent before a disconnection is not contributed again") {
    CHECK(requestTokens(Limiter, FirstInstance, TimePoint(101s), 1s) == 9000);
    const auto Utilisation = Limiter.utilisation(TimePoint(102s));
    REQUIRE(Utilisation.size() == 1);
    RelayRateLimiter OtherLimiter({Window, 0});
    OtherLimiter.configure(makeLimits(1000, 1000), TimePoint(0s));
    OtherLimiter.setInstanceCount(2);
    OtherLimiter.attach(SecondInstance, TimePoint(-100s), AlwaysHeard);
    OtherLimiter.recordLentUsage(SecondInstance, Utilisation.front(),
                                 TimePoint(102s));
    CHECK(requestTokens(OtherLimiter, SecondInstance, TimePoint(102s), 400ms) ==
          0);
    CHECK(requestTokens(OtherLimiter, SecondInstance, TimePoint(111s), 1s) >
          4000);
  }
  SECTION("a new home counts the earlier usage of an instance") {
    RelayRateLimiter NextLimiter({Window, 0});
    NextLimiter.configure(makeLimits(1000, 1000), TimePoint(0s));
    NextLimiter.setInstanceCount(1);
    NextLimiter.attach(FirstInstance, TimePoint(-100s), AlwaysHeard);
    NextLimiter.recordUsage(FirstInstance, Acme, 8000, TimePoint(1s));
    CHECK(requestTokens(NextLimiter, FirstInstance, TimePoint(2s), 6s) <= 1000);
  }
  SECTION("a new process contributes no more than its burst") {
    RelayRateLimiter NextLimiter({Window, 0});
    NextLimiter.configure(makeLimits(1000, 1000), TimePoint(0s));
    NextLimiter.attach(FirstInstance, TimePoint(10s), AlwaysHeard);
    CHECK(requestTokens(NextLimiter, FirstInstance, TimePoint(10s), 1s) <=
          2000);
  }
  SECTION("a process that ended") {
    const TimePoint Started(104s);
    Limiter.attach(FirstInstance, TimePoint(-100s), TimePoint(102s));
    SECTION("leaves its borrowed usage counted for its successor") {
      CHECK(requestTokens(Limiter, FirstInstance, TimePoint(101s), 1s) == 9000);
      Limiter.onSilent(FirstInstance, TimePoint(103s));
      Limiter.attach(FirstInstance, Started, Started);
      CHECK(requestTokens(Limiter, FirstInstance, Started, 400ms) == 0);
      CHECK(requestTokens(Limiter, SecondInstance, Started, 4s) == 0);
    }
    SECTION("leaves its unused share to its successor") {
      Limiter.onSilent(FirstInstance, TimePoint(103s));
      Limiter.attach(FirstInstance, Started, Started);
      CHECK(requestTokens(Limiter, FirstInstance, Started, 400ms) == 4000);
      CHECK(requestTokens(Limiter, SecondInstance, Started + 400ms, 1s) ==
            4500);
    }
    SECTION("is replaced before its silence was detected") {
      CHECK(requestTokens(Limiter, FirstInstance, TimePoint(101s), 1s) == 9000);
      Limiter.attach(FirstInstance, TimePoint(102500ms), TimePoint(103s));
      Limiter.clearUsage(FirstInstance);
      CHECK(requestTokens(Limiter, SecondInstance, TimePoint(103s), 4s) == 0);
    }
    SECTION("after switching homes contributes no more than its burst") {
      Limiter.detach(FirstInstance, TimePoint(102s));
      Limiter.attach(FirstInstance, Started, Started);
      CHECK(requestTokens(Limiter, FirstInstance, Started, 400ms) == 4000);
      // The share of SecondInstance, plus the burst of FirstInstance and its
      // accrual over 1.4 s.
      CHECK(requestTokens(Limiter, SecondInstance, Started + 400ms, 1s) <=
            4500 + 500 + 700 - 4000);
    }
  }
  SECTION("a process that was silent temporarily") {
    CHECK(requestTokens(Limiter, FirstInstance, TimePoint(101s), 1s) == 9000);
    Limiter.onSilent(FirstInstance, TimePoint(103s));
    SECTION("keeps its usage if it reports nothing new") {
      Limiter.attach(FirstInstance, std::nullopt, TimePoint(103s));
      Limiter.attach(FirstInstance, TimePoint(-100s), AlwaysHeard);
      CHECK(requestTokens(Limiter, FirstInstance, TimePoint(103s), 4s) == 0);
    }
    SECTION("is not counted twice if it reports its full usage again") {
      Limiter.attach(FirstInstance, TimePoint(-100s), AlwaysHeard);
      Limiter.clearUsage(FirstInstance);
      Limiter.recordUsage(FirstInstance, Acme, 8000, TimePoint(102s));
      CHECK(requestTokens(Limiter, FirstInstance, TimePoint(103s), 1s) == 1000);
    }
  }
  SECTION("a lowered limit takes effect within one window") {
    CHECK(requestTokens(Limiter, FirstInstance, TimePoint(1s), 8s) > 8500);
    Limiter.configure(makeLimits(100, 100), TimePoint(9s));
    requestTokens(Limiter, FirstInstance, TimePoint(9s), 8s);
    CHECK(requestTokens(Limiter, FirstInstance, TimePoint(17s), 8s) <= 1000);
  }
  SECTION("an organisation without a limit is never refused") {
    CHECK_FALSE(
        Limiter.tryAcquire(FirstInstance, {"other"}, 1e9, TimePoint(1s)));
  }
}

TEST_CASE("A home that misses shares of a limit", "[relay][limits]") {
  constexpr double SlackTokens = 8000;
  const auto MakeLimiter = [] {
    RelayRateLimiter Limiter({Window, SlackTokens});
    Limiter.configure(makeLimits(1000, 1000), TimePoint(0s));
    Limiter.setInstanceCount(2);
    return Limiter;
  };
  RelayRateLimiter Limiter = MakeLimiter();
  Limiter.attach(FirstInstance, TimePoint(-100s), AlwaysHeard);

  SECTION("because instances are out of reach makes up for them with slack") {
    const double Granted =
        requestTokens(Limiter, FirstInstance, TimePoint(1s), 1s);
    CHECK(Granted > 4500);
    CHECK(Granted <= 9000);
    SECTION("and all homes together stay within limit and slack") {
      RelayRateLimiter OtherLimiter = MakeLimiter();
      OtherLimiter.attach(SecondInstance, TimePoint(-100s), AlwaysHeard);
      CHECK(Granted + requestTokens(OtherLimiter, SecondInstance, TimePoint(1s),
                                    1s) <=
            9000 + SlackTokens);
    }
  }
  SECTION("because all processes have just started makes up for some") {
    RelayRateLimiter NextLimiter = MakeLimiter();
    NextLimiter.attach(FirstInstance, TimePoint(10s), AlwaysHeard);
    NextLimiter.attach(SecondInstance, TimePoint(10s), AlwaysHeard);
    const double Granted =
        requestTokens(NextLimiter, FirstInstance, TimePoint(10s), 500ms);
    CHECK(Granted > 2000);
    CHECK(Granted <= 1000 + 500 + SlackTokens / 2);
  }
  SECTION("uses no slack once it has all shares") {
    Limiter.attach(SecondInstance, TimePoint(-100s), AlwaysHeard);
    CHECK(requestTokens(Limiter, FirstInstance, TimePoint(1s), 1s) == 9000);
  }
}

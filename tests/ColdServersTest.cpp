#include "gooseberrybeam/relay/ColdServers.h"

#include "gooseberrybeam/relay/HomeCoordinator.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

const ServerId Decode0 = {"d0"};
const ServiceId Writer = {"writer"};
constexpr Duration ColdTime = 60s;
constexpr double ColdRate = 4;
/// What a cold engine survives in any one second.
constexpr double MaxPerSecond = ColdRate * 1.5 + 5;
constexpr std::size_t Instances = 60;

BackendEntry makeEntry(const ServerId &Id, Duration Remaining,
                       std::int64_t StartTimeMs = 1) {
  BackendEntry Entry;
  Entry.Id_ = Id;
  Entry.Service_ = Writer;
  Entry.Role_ =
      Id.Value_.starts_with('p') ? EngineRole::Prefill : EngineRole::Decode;
  Entry.StartTimeMs_ = StartTimeMs;
  Entry.ColdRemaining_ = Remaining;
  return Entry;
}

/// Engines of a data centre under more demand than they may get while cold.
class EnginesUnderLoad {
public:
  EnginesUnderLoad(int PrefillCount, int DecodeCount) {
    EngineTraits Traits;
    Traits.Slots_ = 100;
    Traits.KvTokens_ = 100'000'000;
    RelayConfigurationParts Parts;
    Parts.Services_ = {{Writer, 64, Traits, ColdStart{ColdTime, ColdRate}}};
    Configuration_ = std::make_shared<const RelayConfiguration>(Parts);
    for (int I = 0; I != PrefillCount; ++I)
      Engines_.push_back({"p" + std::to_string(I)});
    for (int I = 0; I != DecodeCount; ++I)
      Engines_.push_back({"d" + std::to_string(I)});
    for (const ServerId &Each : Engines_)
      onRow(Each, 0s);
    attachAll([](std::size_t) { return 0; });
  }

  /// Delivers the registration of an engine.
  void onRow(const ServerId &Engine, Duration Remaining) {
    Directory_.put(makeEntry(Engine, Remaining));
    Directory_.coldServers().onRegistration(makeEntry(Engine, Remaining), Now_);
  }
  void onRows(Duration Remaining) {
    for (const ServerId &Each : Engines_)
      onRow(Each, Remaining);
  }
  void endEvacuation() {
    for (const ServerId &Each : Engines_)
      Directory_.coldServers().onEvacuationEnded(makeEntry(Each, 0s), ColdTime,
                                                 Now_);
  }
  /// \param HomeOf returns the home of an instance.
  void attachAll(std::function<std::size_t(std::size_t)> HomeOf) {
    HomeOf_ = std::move(HomeOf);
  }

  /// Lets 300 requests a second arrive.
  void run(Duration Time) {
    for (int Step = 0; Step != Time / 10ms; ++Step, Now_ += 10ms) {
      if (Step % 15 == 0)
        for (std::size_t I = 0; I != Instances; ++I)
          heartbeat(I);
      for (int I = 0; I != 3; ++I)
        submit(++LastRequest_);
      for (const auto &[Index, Home] : Homes_)
        for (const PlacementDecision &Each : Home->decide(Now_))
          if (const auto *Grant = std::get_if<PlacementGrant>(&Each.Answer_))
            onGrant(*Grant, *Home);
      while (!Prefills_.empty() && Prefills_.begin()->first <= Now_)
        endPrefill();
    }
  }

  /// \returns the most requests that one engine got in one second from \p Since
  /// on.
  std::size_t worstSecond(TimePoint Since = TimePoint(Duration::zero())) const {
    std::size_t Worst = 0;
    for (const auto &[Engine, Times] : Calls_)
      for (auto First = std::ranges::lower_bound(Times, Since);
           First != Times.end(); ++First)
        Worst = std::max<std::size_t>(
            Worst, std::lower_bound(First, Times.end(), *First + 1s) - First);
    return Worst;
  }
  std::size_t callCount(const ServerId &Engine) {
    return Calls_[Engine].size();
  }
  void forgetOtherCalls(const ServerId &Engine) {
    std::erase_if(Calls_,
                  [&](const auto &Each) { return Each.first != Engine; });
  }
  TimePoint now() const { return Now_; }

private:
  struct Prefill {
    GenerationReport Report_;
    ServerId Decode_;
    HomeCoordinator *Home_;
  };

  HomeCoordinator &homeOf(std::size_t Instance) {
    const std::size_t Index = HomeOf_(Instance);
    auto &Home = Homes_[Index];
    if (!Home) {
      Home = std::make_unique<HomeCoordinator>(Directory_, RateLimitBounds());
      Home->configure(Configuration_, Now_);
      Home->setInstanceCount(Instances, Index);
    }
    return *Home;
  }
  void heartbeat(std::size_t Instance) {
    HomeHeartbeat Message;
    Message.IsAttached_ = true;
    homeOf(Instance).onHeartbeat({"edge-" + std::to_string(Instance)}, Message,
                                 Now_);
  }
  void submit(std::size_t Number) {
    PlacementRequest Request;
    Request.Request_ = {"r" + std::to_string(Number)};
    Request.Service_ = Writer;
    Request.PromptTokens_ = 100;
    Request.MaxOutputTokens_ = 100;
    Request.TargetLeft_ = 900ms;
    Request.TimeLeft_ = 2s;
    const std::size_t Instance = Number % Instances;
    homeOf(Instance).onPlacementRequest({"edge-" + std::to_string(Instance)},
                                        Request, Now_);
  }
  void onGrant(const PlacementGrant &Grant, HomeCoordinator &Home) {
    GenerationReport Report;
    Report.Request_ = Grant.Request_;
    const Duration Time = 10ms * (2 + LastRequest_ * 7 % 10);
    if (Grant.Prefill_)
      Calls_[Grant.Prefill_->Id_].push_back(Now_);
    Prefills_.emplace(Grant.Prefill_ ? Now_ + Time : Now_,
                      Prefill{Report, Grant.Decode_.Id_, &Home});
  }
  void endPrefill() {
    const Prefill Ended = Prefills_.extract(Prefills_.begin()).mapped();
    Calls_[Ended.Decode_].push_back(Now_);
    GenerationReport Report = Ended.Report_;
    for (const auto Step : {GenerationStep::Prefilled, GenerationStep::Ended}) {
      Report.Step_ = Step;
      Ended.Home_->onReport(Report, Now_);
    }
  }

  TimePoint Now_{100s};
  BackendDirectory Directory_;
  std::vector<ServerId> Engines_;
  std::shared_ptr<const RelayConfiguration> Configuration_;
  std::map<std::size_t, std::unique_ptr<HomeCoordinator>> Homes_;
  std::function<std::size_t(std::size_t)> HomeOf_;
  std::multimap<TimePoint, Prefill> Prefills_; ///< By their end.
  std::map<ServerId, std::vector<TimePoint>> Calls_;
  std::size_t LastRequest_ = 0;
};

} // namespace

TEST_CASE(
    "Engines that return cold together get no more than they survive: guards "
    "against homes or instances that each grant the whole rate",
    "[relay][cold]") {
  EnginesUnderLoad Engines(5, 5);
  SECTION("their rows say that they are cold") {
    Engines.onRows(ColdTime);
    SECTION("with one home; none is left idle, either") {
      Engines.run(10s);
      CHECK(Engines.worstSecond() <= MaxPerSecond);
      CHECK(Engines.callCount(Decode0) >= 10 * ColdRate * 0.8);
      SECTION("and once warm they are not limited any more") {
        Engines.onRows(0s);
        Engines.run(3s);
        CHECK(Engines.worstSecond() > 2 * MaxPerSecond);
      }
    }
    SECTION("two homes do not each grant the whole rate") {
      Engines.attachAll([](std::size_t I) { return I % 2; });
      Engines.run(10s);
      CHECK(Engines.worstSecond() <= MaxPerSecond);
      CHECK(Engines.callCount(Decode0) >= 10 * ColdRate * 0.8);
    }
    SECTION("a new home does not grant again what the last one granted") {
      Engines.run(4s);
      Engines.attachAll([](std::size_t) { return 1; });
      Engines.run(6s);
      CHECK(Engines.worstSecond() <= MaxPerSecond);
    }
    SECTION("instances that reach nobody do not all send at one moment") {
      Engines.attachAll([](std::size_t I) { return I; });
      Engines.run(40s);
      CHECK(Engines.worstSecond() <= MaxPerSecond);
      CHECK(Engines.callCount(Decode0) >= 20);
    }
  }
  SECTION("the evacuation ends before their rows say so") {
    Engines.endEvacuation();
    Engines.run(1200ms);
    Engines.onRows(ColdTime - 2s);
    Engines.run(9s);
    CHECK(Engines.worstSecond() <= MaxPerSecond);
  }
}

TEST_CASE("A decode engine that becomes cold again gets no new grants in the "
          "place of those whose prefill is under way",
          "[relay][cold]") {
  // Six prefill engines prepare up to twelve requests for it at a time; without
  // counting them it gets 13 in a second, more than it survives.
  EnginesUnderLoad Engines(6, 1);
  Engines.run(3s);
  REQUIRE(Engines.worstSecond() > 2 * MaxPerSecond);
  const TimePoint Since = Engines.now();
  Engines.onRow(Decode0, ColdTime);
  Engines.run(8s);
  Engines.forgetOtherCalls(Decode0);
  CHECK(Engines.worstSecond(Since) <= MaxPerSecond);
}

TEST_CASE("The newest registration decides until when a server is cold: guards "
          "against a limit that stays without its reason",
          "[relay][cold]") {
  ColdServers Cold;
  TimePoint Now{100s};
  REQUIRE(Cold.onRegistration(makeEntry(Decode0, 5s), Now));

  SECTION("a repeated row renews the time, which is no new event to log") {
    CHECK_FALSE(Cold.onRegistration(makeEntry(Decode0, 3800ms), Now + 1200ms));
    CHECK(Cold.coldUntil(Decode0) == Now + 5s);
    CHECK(Cold.takeWarm(Now + 4s).empty());
    CHECK(Cold.takeWarm(Now + 5s) == std::vector<ServerId>{Decode0});
    CHECK(Cold.takeWarm(Now + 5s).empty());
    CHECK(Cold.onRegistration(makeEntry(Decode0, 5s), Now + 9s));
  }
  SECTION("a delayed row makes the time longer, never shorter") {
    Cold.onRegistration(makeEntry(Decode0, 3800ms), Now + 4s);
    CHECK(Cold.coldUntil(Decode0) == Now + 7800ms);
  }
  SECTION("a new process is not limited for what the last one said") {
    Cold.onRegistration(makeEntry(Decode0, 0s, 2), Now + 1s);
    CHECK_FALSE(Cold.isCold(Decode0, Now + 1s));
    CHECK(Cold.takeWarm(Now + 1s).size() == 1);
  }
  SECTION("the end of an evacuation does not shorten a longer time") {
    CHECK_FALSE(Cold.onEvacuationEnded(makeEntry(Decode0, 0s), 2s, Now + 1s));
    CHECK(Cold.coldUntil(Decode0) == Now + 5s);
  }
  SECTION("a row after the end of an evacuation replaces the assumption") {
    CHECK(Cold.onEvacuationEnded(makeEntry({"d1"}, 0s), 8s, Now));
    CHECK(Cold.coldUntil({"d1"}) == Now + 8s);
    Cold.onRegistration(makeEntry({"d1"}, 0s), Now + 1s);
    CHECK(Cold.all(Now + 1s) == std::vector<ServerId>{Decode0});
  }
  SECTION("a server that is gone is forgotten") {
    Cold.retainIf([](const ServerId &) { return false; });
    CHECK(Cold.takeWarm(Now + 1min).empty());
  }
}

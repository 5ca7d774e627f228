#include "gooseberrybeam/relay/RetryWindow.h"

#include "gooseberrybeam/relay/SharerStatus.h"

#include <catch2/catch.hpp>

#include <deque>
#include <optional>
#include <random>
#include <utility>
#include <vector>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

constexpr RetryWindowLimits Limits = {0.2, 10s, 40};
constexpr TimePoint LongAgo = TimePoint(-60s);

int countRetries(RetryWindow &Window, std::size_t Instances, TimePoint Now) {
  const BudgetSharers Sharers = {Instances, true};
  int Count = 0;
  while (auto Reserved = Window.tryReserve(Sharers, Now)) {
    Window.onSent(std::move(*Reserved), Sharers, Now);
    ++Count;
  }
  return Count;
}

void addRequests(RetryWindow &Window, int Count, TimePoint Now) {
  for (int I = 0; I != Count; ++I)
    Window.onRequest({8, true}, Now);
}

/// Instances in front of a service that rejects everything, so that each
/// reserves all the retries that it may. Retries are sent while the service has
/// servers, and wait otherwise.
class SheddingFleet {
public:
  /// \param Size the number of instances.
  /// \param StepsPerRequest the steps between two requests of an instance.
  explicit SheddingFleet(std::size_t Size, int StepsPerRequest = 1)
      : Size_(Size), StepsPerRequest_(StepsPerRequest) {
    for (std::size_t I = 0; I != Size; ++I)
      Instances_.push_back({RetryWindow(Limits, LongAgo), LongAgo, {}});
  }

  /// An instance knows itself only until it has read the store.
  void restart(std::size_t Index) {
    Instances_[Index] = {RetryWindow(Limits, Now_), Now_, {}};
  }
  /// An instance ends for good and the others know it.
  void remove() {
    Instances_.pop_back();
    --Size_;
  }
  /// The first instances lose all contact but that with callers and servers.
  void cut(std::size_t Count) {
    CutCount_ = Count;
    CutAt_ = Now_;
  }
  /// All instances have contact again.
  void heal() { CutCount_ = 0; }
  /// All servers go down, or are back.
  void setServing(bool HasServers) { HasServers_ = HasServers; }
  /// Lets time pass; each instance gets a request now and then.
  void step() {
    Now_ += 100ms;
    const bool HasRequests = ++StepNumber_ % StepsPerRequest_ == 0;
    Step Done;
    for (std::size_t I = 0; I != Instances_.size(); ++I) {
      Instance &Each = Instances_[I];
      const BudgetSharers Known = sharersKnownTo(I);
      if (HasRequests) {
        Each.Window_.onRequest(Known, Now_);
        ++Done.Requests_;
      }
      while (auto Reserved = Each.Window_.tryReserve(Known, Now_))
        Each.Waiting_.push_back(std::move(*Reserved));
      if (!HasServers_)
        continue;
      for (RetryReservation &Reserved : Each.Waiting_)
        Each.Window_.onSent(std::move(Reserved), Known, Now_);
      Done.Retries_ += static_cast<int>(Each.Waiting_.size());
      Each.Waiting_.clear();
    }
    Done.At_ = Now_;
    Steps_.push_back(Done);
    while (Steps_.front().At_ <= Now_ - Limits.Window_)
      Steps_.pop_front();
  }
  /// \returns by how much the retries that were sent within the last window
  /// exceed the budget.
  double excess() const {
    double Excess = -Limits.Slack_;
    for (const Step &Each : Steps_)
      Excess += Each.Retries_ - Limits.RetriesPerRequest_ * Each.Requests_;
    return Excess;
  }

private:
  struct Instance {
    RetryWindow Window_;
    TimePoint StartedAt_;
    std::vector<RetryReservation> Waiting_;
  };
  struct Step {
    TimePoint At_;
    int Requests_ = 0;
    int Retries_ = 0;
  };

  /// A silent instance is unregistered after this time.
  static constexpr Duration MemberTimeout = 20s;

  BudgetSharers sharersKnownTo(std::size_t Index) const {
    const Instance &Known = Instances_[Index];
    if (Now_ - Known.StartedAt_ < 500ms)
      return {1, true};
    if (Index < CutCount_)
      return {Size_, Now_ <= CutAt_ + SharerStatus::CountedWithoutContact};
    const bool IsUnregistered = Now_ > CutAt_ + MemberTimeout;
    return {IsUnregistered ? Size_ - CutCount_ : Size_, true};
  }

  std::size_t Size_;
  int StepsPerRequest_;
  int StepNumber_ = 0;
  std::size_t CutCount_ = 0;
  TimePoint CutAt_;
  std::vector<Instance> Instances_;
  std::deque<Step> Steps_;
  TimePoint Now_ = TimePoint(0s);
  bool HasServers_ = true;
};

} // namespace

TEST_CASE("Retries stay within the budget of any window", "[relay]") {
  RetryWindow Window(Limits, LongAgo);
  SECTION("an instance without requests has only its share of the slack") {
    const int Retries = countRetries(Window, 8, TimePoint(5s));
    CHECK(Retries > 0);
    CHECK(Retries <= 5);
    CHECK(countRetries(Window, 8, TimePoint(5s)) == 0);
  }
  SECTION("requests allow retries by the ratio") {
    addRequests(Window, 100, TimePoint(5s));
    const int Retries = countRetries(Window, 8, TimePoint(5s));
    CHECK(Retries > 10);
    CHECK(Retries <= 25);
    SECTION("and no more until the window has passed") {
      CHECK(countRetries(Window, 8, TimePoint(14s)) == 0);
      CHECK(countRetries(Window, 8, TimePoint(17s)) > 0);
    }
  }
  SECTION("all instances together stay within the whole budget") {
    int All = 0;
    for (int Instance = 0; Instance != 8; ++Instance) {
      RetryWindow Own(Limits, LongAgo);
      addRequests(Own, 100, TimePoint(5s));
      All += countRetries(Own, 8, TimePoint(5s));
    }
    CHECK(All <= 0.2 * 800 + 40);
  }
}

TEST_CASE("A process leaves the slack to its predecessor for a window",
          "[relay]") {
  RetryWindow Window(Limits, TimePoint(5s));
  SECTION("it has no slack, also if it knows no other instance") {
    CHECK(countRetries(Window, 1, TimePoint(6s)) == 0);
    CHECK(countRetries(Window, 8, TimePoint(14s)) == 0);
  }
  SECTION("its requests allow retries at once") {
    addRequests(Window, 100, TimePoint(6s));
    CHECK(countRetries(Window, 8, TimePoint(6s)) > 10);
  }
  SECTION("it has its share after the window") {
    CHECK(countRetries(Window, 8, TimePoint(15s)) > 0);
  }
}

TEST_CASE("An instance that is gone keeps its share for a window", "[relay]") {
  RetryWindow Window(Limits, LongAgo);
  Window.onRequest({8, true}, TimePoint(5s));
  CHECK(countRetries(Window, 1, TimePoint(6s)) <= 5);
  CHECK(countRetries(Window, 1, TimePoint(20s)) > 20);
}

TEST_CASE("All instances together stay within the budget whatever restarts",
          "[relay][history]") {
  constexpr std::size_t Size = 8;
  constexpr int Steps = 600;
  const std::uint32_t Seed = GENERATE(range(1U, 9U));
  std::mt19937 Random(Seed);
  SheddingFleet Fleet(Size);
  SECTION("one instance after another") {
    double Most = 0;
    for (int I = 0; I != Steps; ++I) {
      if (Random() % 20 == 0)
        Fleet.restart(Random() % Size);
      Fleet.step();
      Most = std::max(Most, Fleet.excess());
    }
    INFO("seed " << Seed);
    CHECK(Most <= 0);
  }
  SECTION("all at once") {
    double Most = 0;
    for (int I = 0; I != Steps; ++I) {
      const bool IsRestart = Random() % 50 == 0;
      for (std::size_t Each = 0; IsRestart && Each != Size; ++Each)
        Fleet.restart(Each);
      Fleet.step();
      Most = std::max(Most, Fleet.excess());
    }
    INFO("seed " << Seed);
    CHECK(Most <= 0);
  }
  SECTION("or ends for good") {
    double Most = 0;
    for (int I = 0; I != Steps; ++I) {
      if (I % 80 == 79)
        Fleet.remove();
      Fleet.step();
      Most = std::max(Most, Fleet.excess());
    }
    INFO("seed " << Seed);
    CHECK(Most <= 0);
  }
}

TEST_CASE("Retries that wait for servers stay within the budget once sent",
          "[relay][history]") {
  constexpr int Steps = 600;
  const std::uint32_t Seed = GENERATE(range(1U, 9U));
  std::mt19937 Random(Seed);
  SheddingFleet Fleet(8);
  double Most = 0;
  int StepsLeft = 0;
  bool HasServers = true;
  for (int I = 0; I != Steps; ++I) {
    if (StepsLeft-- == 0) {
      HasServers = !HasServers;
      Fleet.setServing(HasServers);
      StepsLeft = static_cast<int>(Random() % (HasServers ? 30 : 140));
    }
    Fleet.step();
    Most = std::max(Most, Fleet.excess());
  }
  INFO("seed " << Seed);
  CHECK(Most <= 0);
}

TEST_CASE("A reserved retry counts until it is sent or given back", "[relay]") {
  constexpr RetryWindowLimits LimitsForOne = {0, 10s, 1.3};
  constexpr BudgetSharers One = {1, true};
  RetryWindow Window(LimitsForOne, LongAgo);
  std::optional<RetryReservation> Reserved =
      Window.tryReserve(One, TimePoint(5s));
  REQUIRE(Reserved);
  SECTION("however long it waits") {
    CHECK_FALSE(Window.mayRetry(One, TimePoint(5s)));
    CHECK_FALSE(Window.mayRetry(One, TimePoint(60s)));
  }
  SECTION("and, once sent, for a window") {
    Window.onSent(std::move(*Reserved), One, TimePoint(20s));
    CHECK_FALSE(Window.mayRetry(One, TimePoint(29s)));
    CHECK(Window.mayRetry(One, TimePoint(32s)));
  }
  SECTION("and no longer if it is given back") {
    Reserved.reset();
    CHECK(Window.mayRetry(One, TimePoint(5s)));
  }
}

TEST_CASE("An instance has no slack while the others do not count it",
          "[relay]") {
  RetryWindow Window(Limits, LongAgo);
  CHECK(Window.mayRetry({8, true}, TimePoint(5s)));
  CHECK_FALSE(Window.mayRetry({8, false}, TimePoint(6s)));
  SECTION("nor for a window after they count it again") {
    CHECK_FALSE(Window.mayRetry({8, true}, TimePoint(15s)));
    CHECK(Window.mayRetry({8, true}, TimePoint(17s)));
  }
  SECTION("but the retries that its requests allow") {
    for (int I = 0; I != 100; ++I)
      Window.onRequest({8, false}, TimePoint(6s));
    CHECK(Window.mayRetry({8, false}, TimePoint(6s)));
  }
}

TEST_CASE("Instances that are cut off and the others share one budget",
          "[relay][history]") {
  constexpr std::size_t Size = 8;
  const std::size_t CutCount = GENERATE(2U, 4U, 6U, 7U);
  SheddingFleet Fleet(Size, 20);
  const auto Run = [&Fleet](int Steps) {
    double Most = 0;
    for (int I = 0; I != Steps; ++I) {
      Fleet.step();
      Most = std::max(Most, Fleet.excess());
    }
    return Most;
  };
  CHECK(Run(200) <= 0);
  Fleet.cut(CutCount);
  CHECK(Run(600) <= 0);
  Fleet.heal();
  CHECK(Run(300) <= 0);
}

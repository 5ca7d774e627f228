#include "gooseberrybeam/relay/RetryWindow.h"

#include <catch2/catch.hpp>

#include <deque>
#include <random>
#include <vector>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

constexpr RetryWindowLimits Limits = {0.2, 10s, 40};
constexpr TimePoint LongAgo = TimePoint(-60s);

int countRetries(RetryWindow &Window, std::size_t Instances, TimePoint Now) {
  int Count = 0;
  while (Window.tryRetry(Instances, Now))
    ++Count;
  return Count;
}

void addRequests(RetryWindow &Window, int Count, TimePoint Now) {
  for (int I = 0; I != Count; ++I)
    Window.onRequest(8, Now);
}

/// Instances in front of a service that rejects everything, so that each takes
/// all the retries that it may.
class SheddingFleet {
public:
  explicit SheddingFleet(std::size_t Size)
      : Size_(Size), Instances_(Size, {RetryWindow(Limits, LongAgo), LongAgo}) {
  }

  /// An instance knows itself only until it has read the store.
  void restart(std::size_t Index) {
    Instances_[Index] = {RetryWindow(Limits, Now_), Now_};
  }
  /// An instance ends for good and the others know it.
  void remove() {
    Instances_.pop_back();
    --Size_;
  }
  /// Lets time pass; each instance gets a request.
  void step() {
    Now_ += 100ms;
    Step Done;
    for (Instance &Each : Instances_) {
      const std::size_t Known = Now_ - Each.StartedAt_ < 500ms ? 1 : Size_;
      Each.Window_.onRequest(Known, Now_);
      ++Done.Requests_;
      Done.Retries_ += countRetries(Each.Window_, Known, Now_);
    }
    Done.At_ = Now_;
    Steps_.push_back(Done);
    while (Steps_.front().At_ <= Now_ - Limits.Window_)
      Steps_.pop_front();
  }
  /// \returns by how much the retries of the last window exceed the budget.
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
  };
  struct Step {
    TimePoint At_;
    int Requests_ = 0;
    int Retries_ = 0;
  };

  std::size_t Size_;
  std::vector<Instance> Instances_;
  std::deque<Step> Steps_;
  TimePoint Now_ = TimePoint(0s);
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
  Window.onRequest(8, TimePoint(5s));
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

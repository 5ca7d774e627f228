// Plays many instances that follow a table, in virtual time. Checks that every
// instance learns of every change in time, whatever happens to the home, and
// that the calls to the store do not grow with the number of instances.
#include "gooseberrybeam/relayd/SharedTable.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <random>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

constexpr Duration Step = 25ms;
constexpr Duration HeartbeatInterval = 150ms;
constexpr Duration HomePollTime = 800ms;
constexpr Duration PollTime = 5s;
/// Instances must stop using a leaving server within this time.
constexpr Duration MaxDelay = 2s;

/// The store: one row per change.
class FakeStore {
public:
  void change(TimePoint Now) {
    const StoreVersion Version(Rows_.size() + 1, Era_);
    Rows_.push_back({"servers", "s" + std::to_string(Version.Number_),
                     std::to_string(Now.time_since_epoch().count()), Version,
                     false});
    ChangedAt_.push_back(Now);
  }
  /// Comes back from a copy that misses the latest changes.
  void restore(std::size_t LostChanges, bool BeginsEra, TimePoint Now) {
    Era_ += BeginsEra ? 1 : 0;
    Rows_.resize(Rows_.size() - LostChanges);
    ChangedAt_.assign(Rows_.size(), Now);
    for (StoreRow &Each : Rows_)
      Each.Version_.Era_ = Era_;
  }
  /// Updates a copy as a client of the store does: by the changes after its
  /// version, or by the whole table if that is of an earlier era.
  void feed(SharedTable &Table, TimePoint Now) {
    ++Calls_;
    const StoreVersion Known = Table.cache().version();
    const bool IsWhole = Known.Era_ != Era_;
    StoreRows Answer;
    Answer.Version_ = version();
    for (std::size_t I = IsWhole ? 0 : Known.Number_; I < Rows_.size(); ++I)
      Answer.Rows_.push_back(Rows_[I]);
    if (IsWhole)
      Table.onStoreSnapshot(Answer, Now);
    else
      Table.onStoreChanges(Answer, Now);
  }
  StoreVersion version() const { return {Rows_.size(), Era_}; }
  const std::vector<StoreRow> &rows() const { return Rows_; }
  std::size_t calls() const { return Calls_; }
  /// \returns when the first change that a copy misses was made.
  TimePoint missedSince(const StoreVersion &Known) const {
    return Known.Era_ == Era_ ? ChangedAt_[Known.Number_] : ChangedAt_.front();
  }

private:
  std::uint64_t Era_ = 1;
  std::vector<StoreRow> Rows_;
  std::vector<TimePoint> ChangedAt_;
  std::size_t Calls_ = 0;
};

/// What goes wrong; all may depend on the time.
struct Faults {
  std::function<bool(TimePoint)> IsHomeFrozen_ = [](TimePoint) {
    return false;
  };
  std::function<bool(TimePoint)> IsHomeCutFromStore_ = [](TimePoint) {
    return false;
  };
  /// How many changes the store loses as it is restored at this time.
  std::function<std::size_t(TimePoint)> LostChanges_ = [](TimePoint) {
    return std::size_t{0};
  };
  bool AreErasUnstated_ = false;
  double PushLoss_ = 0;
  bool DoesHomeLie_ = false; ///< States that its copy is current.
};

class FeedFleet {
public:
  FeedFleet(std::size_t Count, Faults Scenario, std::uint64_t Seed)
      : Faults_(std::move(Scenario)), Random_(Seed) {
    Store_.change(TimePoint(0s));
    for (std::size_t I = 0; I != Count; ++I)
      Instances_.push_back(
          {SharedTable(SharedTableId::Servers, "servers"), TimePoint(0s)});
    for (Instance &Each : Instances_)
      Store_.feed(Each.Table_, TimePoint(0s));
    StartCalls_ = Store_.calls();
  }

  void run(Duration Period) {
    for (TimePoint Now(0s); Now < TimePoint(Period); Now += Step) {
      if (Now.time_since_epoch() % 1500ms == 0ms)
        Store_.change(Now);
      if (const std::size_t Lost = Faults_.LostChanges_(Now))
        Store_.restore(Lost, !Faults_.AreErasUnstated_, Now);
      pollHome(Now);
      for (std::size_t I = 1; I != Instances_.size(); ++I)
        playInstance(Instances_[I], Now);
      checkDelays(Now);
    }
  }

  Duration longestDelay() const { return LongestDelay_; }
  /// \returns whether all instances have the rows of the store and no others.
  bool haveSameRows() const {
    return std::all_of(
        Instances_.begin(), Instances_.end(), [this](const Instance &Each) {
          const auto &Rows = Each.Table_.cache().rows();
          return Rows.size() == Store_.rows().size() &&
                 std::all_of(Store_.rows().begin(), Store_.rows().end(),
                             [&Rows](const StoreRow &Row) {
                               const auto Found = Rows.find(Row.Key_);
                               return Found != Rows.end() &&
                                      Found->second.Value_ == Row.Value_;
                             });
        });
  }
  /// \returns the calls since all instances read the table first.
  std::size_t calls() const { return Store_.calls() - StartCalls_; }

private:
  struct Instance {
    SharedTable Table_;
    TimePoint PolledAt_;
  };

  Instance &home() { return Instances_.front(); }

  void pollHome(TimePoint Now) {
    if (Faults_.IsHomeFrozen_(Now) || Faults_.IsHomeCutFromStore_(Now))
      return;
    const StoreVersion Previous = home().Table_.cache().version();
    const bool IsDue = Now >= home().PolledAt_ + HomePollTime;
    if (!IsDue && Store_.version() == Previous)
      return;
    home().PolledAt_ = Now;
    Store_.feed(home().Table_, Now);
    if (home().Table_.cache().version() != Previous)
      push(home().Table_.cache().changesSince(Previous));
  }

  void push(const TableUpdate &Update) {
    std::bernoulli_distribution IsLost(Faults_.PushLoss_);
    for (std::size_t I = 1; I != Instances_.size(); ++I)
      if (!Faults_.DoesHomeLie_ && !IsLost(Random_))
        Instances_[I].Table_.onUpdate(Update);
  }

  void playInstance(Instance &Each, TimePoint Now) {
    const bool IsHeartbeatDue =
        Now.time_since_epoch() % HeartbeatInterval == 0ms;
    if (IsHeartbeatDue && !Faults_.IsHomeFrozen_(Now))
      receiveState(Each, Now);
    if (Each.Table_.isFedByHome(Now))
      return;
    const StoreVersion Known = Each.Table_.cache().version();
    if (Store_.version() == Known && Now < Each.PolledAt_ + PollTime)
      return;
    Each.PolledAt_ = Now;
    Store_.feed(Each.Table_, Now);
  }

  void receiveState(Instance &Each, TimePoint Now) {
    FeedState State = home().Table_.feedState(Now);
    if (Faults_.DoesHomeLie_)
      State = {Each.Table_.cache().version(), {1, 1}, 0ms, true};
    const auto Request = Each.Table_.onHomeState(State, Now);
    if (Request && !Faults_.DoesHomeLie_)
      Each.Table_.onUpdate(
          home().Table_.cache().changesSince(Request->Version_));
  }

  void checkDelays(TimePoint Now) {
    for (std::size_t I = 1; I != Instances_.size(); ++I) {
      const StoreVersion Known = Instances_[I].Table_.cache().version();
      if (Known < Store_.version())
        LongestDelay_ =
            std::max(LongestDelay_, Now - Store_.missedSince(Known));
    }
  }

  Faults Faults_;
  std::mt19937_64 Random_;
  FakeStore Store_;
  std::vector<Instance> Instances_;
  std::size_t StartCalls_ = 0;
  Duration LongestDelay_{0};
};

bool isBetween(TimePoint Now, Duration Begin, Duration End) {
  return Now >= TimePoint(Begin) && Now < TimePoint(End);
}

} // namespace

TEST_CASE("Changes of a table reach every instance in time", "[relay][feeds]") {
  constexpr Duration Period = 60s;

  SECTION("on a calm day, with few calls however many instances there are") {
    FeedFleet Small(30, {}, 1);
    FeedFleet Large(300, {}, 1);
    Small.run(Period);
    Large.run(Period);
    CHECK(Large.longestDelay() <= MaxDelay);
    // Until the home is relied on, each instance follows the store.
    CHECK(Small.calls() <= 30 * 2 + 200);
    CHECK(Large.calls() <= 300 * 2 + 200);
  }
  SECTION("when a part of the updates is lost") {
    Faults Scenario;
    Scenario.PushLoss_ = 0.3;
    for (std::uint64_t Seed = 1; Seed != 6; ++Seed) {
      FeedFleet Fleet(300, Scenario, Seed);
      Fleet.run(Period);
      CHECK(Fleet.longestDelay() <= MaxDelay);
    }
  }
  SECTION("when the home freezes and wakes again") {
    Faults Scenario;
    Scenario.IsHomeFrozen_ = [](TimePoint Now) {
      return isBetween(Now, 7s, 12s) || isBetween(Now, 20100ms, 21s);
    };
    FeedFleet Fleet(300, Scenario, 1);
    Fleet.run(Period);
    CHECK(Fleet.longestDelay() <= MaxDelay);
  }
  SECTION("when the home no longer hears from the store and does not notice") {
    Faults Scenario;
    Scenario.IsHomeCutFromStore_ = [](TimePoint Now) {
      return isBetween(Now, 7s, 27s);
    };
    FeedFleet Fleet(300, Scenario, 1);
    Fleet.run(Period);
    CHECK(Fleet.longestDelay() <= MaxDelay);
  }
  SECTION("when the store is restored from a copy, again and again") {
    Faults Scenario;
    Scenario.PushLoss_ = 0.2;
    Scenario.LostChanges_ = [](TimePoint Now) {
      const Duration Time = Now.time_since_epoch();
      return Time > 0s && Time % 10s == 0s ? std::size_t{4} : std::size_t{0};
    };
    SECTION("while the home hears of it") {}
    SECTION("while the home hears of it late") {
      Scenario.IsHomeCutFromStore_ = [](TimePoint Now) {
        return isBetween(Now, 19s, 24s) || isBetween(Now, 40s, 42s);
      };
    }
    SECTION("while the home is frozen") {
      Scenario.IsHomeFrozen_ = [](TimePoint Now) {
        return isBetween(Now, 29s, 33s);
      };
    }
    for (std::uint64_t Seed = 1; Seed != 4; ++Seed) {
      FeedFleet Fleet(300, Scenario, Seed);
      Fleet.run(Period);
      CHECK(Fleet.longestDelay() <= MaxDelay);
      CHECK(Fleet.haveSameRows());
    }
  }
  SECTION("and this check finds versions that are given out again unnoticed") {
    Faults Scenario;
    Scenario.AreErasUnstated_ = true;
    Scenario.LostChanges_ = [](TimePoint Now) {
      return Now == TimePoint(30s) ? std::size_t{4} : std::size_t{0};
    };
    FeedFleet Fleet(30, Scenario, 1);
    Fleet.run(Period);
    CHECK((Fleet.longestDelay() > MaxDelay || !Fleet.haveSameRows()));
  }
  SECTION("and this check finds a home that withholds changes") {
    Faults Scenario;
    Scenario.DoesHomeLie_ = true;
    FeedFleet Fleet(30, Scenario, 1);
    Fleet.run(Period);
    CHECK(Fleet.longestDelay() > MaxDelay);
  }
}

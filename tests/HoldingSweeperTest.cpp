#include "gooseberrybeam/leases/HoldingSweeper.h"

#include <catch2/catch.hpp>

#include <array>
#include <memory>
#include <random>
#include <set>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

const BackendId Engine{"127.0.0.1:9001"};

/// A view whose answers the test sets.
class FakeHoldingView : public HoldingView {
public:
  std::set<RequestId> Active_;
  std::map<Holder, HolderStatus> Status_;
  bool Sweeper_ = true;

private:
  bool onIsActive(const RequestId &Request) const override {
    return Active_.count(Request) != 0;
  }
  HolderStatus onStatusOf(const Holder &Value) const override {
    const auto Found = Status_.find(Value);
    return Found == Status_.end() ? HolderStatus::Uncertain : Found->second;
  }
  bool onIsSweeper(const BackendId & /*Engine*/) const override {
    return Sweeper_;
  }
};

KvHolding makeHolding(const std::string &Request, const Holder &Owner) {
  return KvHolding{"kv-" + Request, RequestId{Request}, Owner, 2};
}

template <typename T> int count(const std::vector<SweepAction> &Actions) {
  int Found = 0;
  for (const SweepAction &Action : Actions)
    Found += std::holds_alternative<T>(Action) ? 1 : 0;
  return Found;
}

} // namespace

TEST_CASE("A holder is parsed from and formatted to its text form",
          "[leases]") {
  Holder Parsed;
  REQUIRE(parseHolder("entry#2#17", Parsed));
  CHECK(Parsed == Holder{InstanceId{"entry#2"}, 17});
  CHECK(asText(Parsed) == "entry#2#17");
  for (const char *Bad : {"", "entry", "#4", "entry#", "entry#x", "entry#4x"})
    CHECK_FALSE(parseHolder(Bad, Parsed));
}

TEST_CASE("KV holdings of requests that no longer exist are found",
          "[leases]") {
  const Holder Self{InstanceId{"a"}, 1};
  const Holder Peer{InstanceId{"b"}, 1};
  const Holder Terminated{InstanceId{"c"}, 1};
  FakeHoldingView View;
  View.Status_ = {{Self, HolderStatus::Self},
                  {Peer, HolderStatus::Member},
                  {Terminated, HolderStatus::Gone}};
  View.Active_ = {RequestId{"mine"}};
  HoldingSweeper Sweeper(HoldingSweeperOptions{}, View);
  const std::vector<BackendId> Engines = {Engine};

  SECTION("lists are requested at intervals") {
    CHECK(count<ListHoldings>(Sweeper.tick(Engines, TimePoint(0s))) == 1);
    CHECK(Sweeper.tick(Engines, TimePoint(1s)).empty());
    CHECK(count<ListHoldings>(Sweeper.tick(Engines, TimePoint(2s))) == 1);
    SECTION("but only by the engine's sweeper") {
      View.Sweeper_ = false;
      CHECK(Sweeper.tick(Engines, TimePoint(9s)).empty());
    }
  }
  SECTION("holdings of an active request of this process are kept") {
    const std::vector List = {makeHolding("mine", Self)};
    CHECK(Sweeper.onHoldings(Engine, List, TimePoint(60s)).empty());
  }
  SECTION("holdings of a finished request of this process are freed") {
    const std::vector List = {makeHolding("old", Self)};
    CHECK(count<FreeHolding>(Sweeper.onHoldings(Engine, List, TimePoint(0s))) ==
          1);
  }
  SECTION("holdings of a holder that is gone are freed") {
    const std::vector List = {makeHolding("r", Terminated)};
    CHECK(count<FreeHolding>(Sweeper.onHoldings(Engine, List, TimePoint(0s))) ==
          1);
  }
  SECTION("holdings of an uncertain holder are kept") {
    const std::vector List = {makeHolding("r", {InstanceId{"d"}, 1})};
    CHECK(Sweeper.onHoldings(Engine, List, TimePoint(0s)).empty());
    CHECK(Sweeper.onHoldings(Engine, List, TimePoint(60s)).empty());
  }
  SECTION("a live peer is queried about old holdings") {
    const std::vector List = {makeHolding("r", Peer)};
    CHECK(Sweeper.onHoldings(Engine, List, TimePoint(0s)).empty());
    const auto Queried = Sweeper.onHoldings(Engine, List, TimePoint(2s));
    REQUIRE(count<QueryHolder>(Queried) == 1);
    SECTION("again with the next list if it does not answer") {
      const auto Requeried = Sweeper.onHoldings(Engine, List, TimePoint(4s));
      CHECK(count<QueryHolder>(Requeried) == 1);
    }
    SECTION("and later if it answers that the request is still active") {
      CHECK(Sweeper.onHolderAnswer(Peer, {}, TimePoint(3s)).empty());
      CHECK(Sweeper.onHoldings(Engine, List, TimePoint(6s)).empty());
      CHECK(count<QueryHolder>(
                Sweeper.onHoldings(Engine, List, TimePoint(8s))) == 1);
    }
    SECTION("and they are freed if it answers that the request is gone") {
      const std::vector GoneRequests = {RequestId{"r"}};
      CHECK(count<FreeHolding>(Sweeper.onHolderAnswer(Peer, GoneRequests,
                                                      TimePoint(3s))) == 1);
      CHECK(Sweeper.onHolderAnswer(Terminated, GoneRequests, TimePoint(3s))
                .empty());
    }
  }
  SECTION("a peer's query is answered from the active requests") {
    const std::vector Queried = {RequestId{"mine"}, RequestId{"old"}};
    CHECK(Sweeper.findInactive(Queried) == std::vector{RequestId{"old"}});
  }
}

namespace {

constexpr int InstanceCount = 3;
/// The bound that docs/design/kv-holdings.md states for two lost queries.
constexpr Duration MaxHoldTime = 15s;
constexpr Duration StepInterval = 100ms;

/// A request of the history and when its holding was abandoned.
struct TracedRequest {
  KvHolding Holding_;
  int Instance_ = 0;
  bool Held_ = false;   ///< The engine holds memory for it.
  bool Active_ = false; ///< Its instance still processes it.
  TimePoint AbandonedAt_;
};

class SweepHistory;

/// One instance's view of the history.
class InstanceView : public HoldingView {
public:
  InstanceView(const SweepHistory &History, int Self)
      : History_(History), Self_(Self) {}

private:
  bool onIsActive(const RequestId &Request) const override;
  HolderStatus onStatusOf(const Holder &Value) const override;
  bool onIsSweeper(const BackendId &EngineId) const override;

  const SweepHistory &History_;
  int Self_;
};

/// A seeded history of instances that share one engine, lose cancel messages
/// and fail.
class SweepHistory {
public:
  /// \param Seed the seed of the random choices.
  /// \param FreeUncertain whether to run a faulty variant that treats holders
  /// as gone without proof.
  SweepHistory(unsigned Seed, bool FreeUncertain)
      : Random_(Seed), FreeUncertain_(FreeUncertain) {
    for (int I = 0; I < InstanceCount; ++I) {
      Views_.push_back(std::make_unique<InstanceView>(*this, I));
      Sweepers_.emplace_back(HoldingSweeperOptions{}, *Views_.back());
    }
  }

  void run() {
    for (int Step = 0; Step < 600; ++Step) {
      Now_ += StepInterval;
      if (Step < 400)
        injectRandomEvents();
      for (int I = 0; I < InstanceCount; ++I)
        if (Alive_[I])
          sweep(I);
      check();
    }
  }

  bool hasFreedActiveHolding() const { return HasFreedActiveHolding_; }
  bool hasHeldTooLong() const { return HasHeldTooLong_; }

private:
  friend class InstanceView;

  void injectRandomEvents() {
    if (Random_() % 300 == 0)
      kill(static_cast<int>(Random_() % InstanceCount));
    if (Random_() % 4 == 0)
      startRequest(static_cast<int>(Random_() % InstanceCount));
    for (TracedRequest &Request : Requests_)
      if (Request.Active_ && Random_() % 50 == 0)
        finishRequest(Request);
  }

  void startRequest(int Instance) {
    if (!Alive_[Instance])
      return;
    const Holder Owner{InstanceId{std::to_string(Instance)}, 1};
    const std::string Name = "r" + std::to_string(Requests_.size());
    Requests_.push_back({makeHolding(Name, Owner), Instance, true, true, {}});
  }

  void finishRequest(TracedRequest &Request) {
    Request.Active_ = false;
    Request.AbandonedAt_ = Now_;
    const bool CancelLost = Random_() % 2 == 0;
    Request.Held_ = CancelLost;
  }

  void kill(int Instance) {
    const bool IsLastAlive = Alive_[0] + Alive_[1] + Alive_[2] == 1;
    if (IsLastAlive || !Alive_[Instance])
      return;
    Alive_[Instance] = false;
    ConfirmedGoneAt_[Instance] = Now_ + 4s;
    for (TracedRequest &Request : Requests_)
      if (Request.Instance_ == Instance && Request.Active_) {
        Request.Active_ = false;
        Request.AbandonedAt_ = Now_ + 4s;
      }
  }

  void sweep(int Instance) {
    const std::vector<BackendId> Engines = {Engine};
    carryOut(Instance, Sweepers_[Instance].tick(Engines, Now_));
  }

  void carryOut(int Instance, const std::vector<SweepAction> &Actions) {
    for (const SweepAction &Action : Actions)
      std::visit([&](const auto &Each) { carryOut(Instance, Each); }, Action);
  }

  void carryOut(int Instance, const ListHoldings & /*List*/) {
    std::vector<KvHolding> HeldHoldings;
    for (const TracedRequest &Request : Requests_)
      if (Request.Held_)
        HeldHoldings.push_back(Request.Holding_);
    carryOut(Instance,
             Sweepers_[Instance].onHoldings(Engine, HeldHoldings, Now_));
  }

  void carryOut(int /*Instance*/, const FreeHolding &Free) {
    for (TracedRequest &Request : Requests_) {
      if (Request.Holding_.Kv_ != Free.Holding_.Kv_)
        continue;
      HasFreedActiveHolding_ = HasFreedActiveHolding_ || Request.Active_;
      Request.Held_ = false;
    }
  }

  void carryOut(int Instance, const QueryHolder &Query) {
    const int Recipient = std::stoi(Query.Holder_.Name_.Value_);
    if (!Alive_[Recipient] || isLost(Query))
      return;
    const auto GoneRequests =
        Sweepers_[Recipient].findInactive(Query.Requests_);
    carryOut(Instance, Sweepers_[Instance].onHolderAnswer(Query.Holder_,
                                                          GoneRequests, Now_));
  }

  /// Decides whether a query is lost. At most two queries about the same
  /// request are lost.
  bool isLost(const QueryHolder &Query) {
    if (Random_() % 4 != 0)
      return false;
    for (const RequestId &Request : Query.Requests_)
      if (Losses_[Request] == 2)
        return false;
    for (const RequestId &Request : Query.Requests_)
      ++Losses_[Request];
    return true;
  }

  void check() {
    for (const TracedRequest &Request : Requests_) {
      const bool Abandoned = Request.Held_ && !Request.Active_;
      const bool Late = Now_ - Request.AbandonedAt_ > MaxHoldTime;
      HasHeldTooLong_ = HasHeldTooLong_ || (Abandoned && Late);
    }
  }

  std::mt19937 Random_;
  bool FreeUncertain_;
  std::vector<std::unique_ptr<InstanceView>> Views_;
  std::vector<HoldingSweeper> Sweepers_;
  std::vector<TracedRequest> Requests_;
  std::array<bool, InstanceCount> Alive_ = {true, true, true};
  std::array<TimePoint, InstanceCount> ConfirmedGoneAt_ = {};
  TimePoint Now_ = TimePoint(100s);
  std::map<RequestId, int> Losses_;
  bool HasFreedActiveHolding_ = false;
  bool HasHeldTooLong_ = false;
};

bool InstanceView::onIsActive(const RequestId &Request) const {
  for (const TracedRequest &Each : History_.Requests_)
    if (Each.Holding_.Request_ == Request)
      return Each.Active_ && Each.Instance_ == Self_;
  return false;
}

HolderStatus InstanceView::onStatusOf(const Holder &Value) const {
  const int Owner = std::stoi(Value.Name_.Value_);
  if (Owner == Self_)
    return HolderStatus::Self;
  if (History_.FreeUncertain_)
    return HolderStatus::Gone;
  if (History_.Alive_[Owner])
    return HolderStatus::Member;
  return History_.Now_ >= History_.ConfirmedGoneAt_[Owner]
             ? HolderStatus::Gone
             : HolderStatus::Uncertain;
}

bool InstanceView::onIsSweeper(const BackendId & /*EngineId*/) const {
  for (int I = 0; I < InstanceCount; ++I)
    if (History_.Alive_[I])
      return I == Self_;
  return false;
}

} // namespace

TEST_CASE("No holding outlives lost cancels and failed instances",
          "[leases][history]") {
  for (unsigned Seed = 1; Seed <= 200; ++Seed) {
    SweepHistory History(Seed, false);
    History.run();
    INFO("seed " << Seed);
    REQUIRE_FALSE(History.hasFreedActiveHolding());
    REQUIRE_FALSE(History.hasHeldTooLong());
  }
  SECTION("the checker detects a sweep that treats silent holders as gone") {
    SweepHistory History(1, true);
    History.run();
    CHECK(History.hasFreedActiveHolding());
  }
}

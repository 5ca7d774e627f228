#include "gooseberrybeam/routing/Dispatcher.h"

#include <catch2/catch.hpp>

#include <deque>

using namespace gooseberry;

namespace {

constexpr Duration Ms = std::chrono::milliseconds(1);

TimePoint at(int Millis) {
  return TimePoint(Millis * Ms + std::chrono::hours(1));
}

Work workOf(const std::string &Request, int ArrivalMs = 0) {
  Work Item;
  Item.Request_ = {Request};
  Item.Organisation_ = {"club"};
  Item.Model_ = {"draft"};
  Item.PromptTokens_ = 1000;
  Item.MaxOutputTokens_ = 100;
  Item.Arrival_ = at(ArrivalMs);
  Item.Deadline_ = at(ArrivalMs + 10000);
  return Item;
}

EngineInfo engineOf(const std::string &Name, EngineRole Role) {
  return {{Name}, Role, {"a"}, {{"draft"}}, 2, 100};
}

void addEngines(Dispatcher &To) {
  To.onEngineLive(engineOf("p1", EngineRole::Prefill));
  To.onEngineLive(engineOf("p2", EngineRole::Prefill));
  To.onEngineLive(engineOf("d1", EngineRole::Decode));
  To.onEngineLive(engineOf("d2", EngineRole::Decode));
}

template <typename T> std::vector<T> only(const DispatchActions &Actions) {
  std::vector<T> Found;
  for (const DispatchAction &Each : Actions)
    if (const T *Match = std::get_if<T>(&Each))
      Found.push_back(*Match);
  return Found;
}

/// Instances whose messages are delivered in order, unless they are cut off.
struct Cluster {
  std::vector<InstanceId> Names_{{"i1"}, {"i2"}, {"i3"}};
  std::map<InstanceId, Dispatcher> Instances_;
  std::map<InstanceId, DispatchActions> Done_;
  std::set<InstanceId> Silent_;

  Cluster() {
    for (const InstanceId &Name : Names_) {
      DispatchOptions Options;
      Options.Self_ = Name;
      auto &New = Instances_.try_emplace(Name, Options).first->second;
      addEngines(New);
    }
    setMembers(Names_, at(0));
  }

  void setMembers(const std::vector<InstanceId> &Members, TimePoint Now) {
    for (auto &[Name, Instance] : Instances_) {
      DispatchActions Out;
      Instance.onMembers(Members, Now, Out);
      carry(Name, Out, Now);
    }
  }

  void carry(const InstanceId &From, const DispatchActions &Out,
             TimePoint Now) {
    for (const DispatchAction &Each : Out) {
      const auto *Sent = std::get_if<SendPlacement>(&Each);
      if (Sent == nullptr) {
        Done_[From].push_back(Each);
        continue;
      }
      if (Silent_.contains(From) || Silent_.contains(Sent->To_))
        continue;
      DispatchActions Answers;
      Instances_.at(Sent->To_).onMessage(From, Sent->Message_, Now, Answers);
      carry(Sent->To_, Answers, Now);
    }
  }

  void submit(const InstanceId &To, Work Item, TimePoint Now) {
    DispatchActions Out;
    Instances_.at(To).submit(std::move(Item), Now, Out);
    carry(To, Out, Now);
  }

  void report(const InstanceId &To, const GenerationProgress &Step,
              TimePoint Now) {
    DispatchActions Out;
    Instances_.at(To).onProgress(Step, Now, Out);
    carry(To, Out, Now);
  }

  void tick(TimePoint Now) {
    for (auto &[Name, Instance] : Instances_) {
      DispatchActions Out;
      Instance.tick(Now, Out);
      carry(Name, Out, Now);
    }
  }

  std::size_t started() {
    std::size_t Total = 0;
    for (auto &[Name, Actions] : Done_)
      Total += only<StartGeneration>(Actions).size();
    return Total;
  }

  std::size_t known() {
    std::size_t Total = 0;
    for (auto &[Name, Instance] : Instances_)
      Total += Instance.size();
    return Total;
  }
};

} // namespace

TEST_CASE("A generation is placed on both engines at once", "[dispatch]") {
  DispatchOptions Options;
  Options.Self_ = {"i1"};
  Dispatcher Instance(Options);
  DispatchActions Out;

  SECTION("without engines it is refused, not run") {
    Instance.submit(workOf("r1"), at(0), Out);
    auto Refused = only<RefuseWork>(Out);
    REQUIRE(Refused.size() == 1);
    CHECK(Refused[0].Refusal_.Reason_ == RefusalReason::NoBackendServer);
    CHECK(Refused[0].Refusal_.Execution_ == Execution::NotRun);
    CHECK(Instance.size() == 0);
  }

  SECTION("with engines") {
    addEngines(Instance);
    Instance.submit(workOf("r1"), at(0), Out);
    Instance.submit(workOf("r2"), at(0), Out);
    REQUIRE(only<StartGeneration>(Out).size() == 2);
    auto First = only<StartGeneration>(Out)[0];
    auto Second = only<StartGeneration>(Out)[1];
    CHECK(First.Prefill_ != Second.Prefill_);

    SECTION("a third is held while the prefill engines are busy") {
      Instance.submit(workOf("r3"), at(0), Out);
      CHECK(Instance.queued() == 1);
      Instance.onProgress({{"r1"}, ProgressKind::PrefillDone, 1000, 100 * Ms},
                          at(100), Out);
      CHECK(Instance.queued() == 0);
    }

    SECTION("no prefill starts without a decode slot") {
      for (int I = 0; I < 2; ++I)
        Instance.onProgress(
            {{I == 0 ? "r1" : "r2"}, ProgressKind::PrefillDone, 1000, 100 * Ms},
            at(100), Out);
      for (const char *Name : {"d1", "d2"})
        Instance.onLoad({Name}, {0, 2, 4, 20 * Ms, {}}, at(100), Out);
      Out.clear();
      Instance.submit(workOf("r3", 100), at(100), Out);
      CHECK(Out.empty());
      for (const char *Name : {"d1", "d2"})
        Instance.onLoad({Name}, {0, 0, 0, 20 * Ms, {}}, at(200), Out);
      CHECK(only<StartGeneration>(Out).size() == 1);
    }

    SECTION("a stalled transfer is moved while its KV cache lives") {
      Instance.onProgress({{"r1"}, ProgressKind::PrefillDone, 1000, 100 * Ms},
                          at(100), Out);
      Out.clear();
      Instance.tick(at(200), Out);
      CHECK(only<MoveTransfer>(Out).empty());
      Instance.tick(at(400), Out);
      auto Moved = only<MoveTransfer>(Out);
      REQUIRE(Moved.size() == 1);
      CHECK(Moved[0].Decode_ != First.Decode_);
    }

    SECTION("a KV cache that died is computed again") {
      Instance.onProgress({{"r1"}, ProgressKind::PrefillDone, 1000, 100 * Ms},
                          at(100), Out);
      Out.clear();
      Instance.onProgress({{"r1"}, ProgressKind::KvGone, 0, {}}, at(300), Out);
      CHECK(only<StartGeneration>(Out).size() == 1);
    }

    SECTION("a broken stream resumes with what was generated") {
      Instance.onProgress({{"r1"}, ProgressKind::PrefillDone, 1000, 100 * Ms},
                          at(100), Out);
      Instance.onProgress({{"r1"}, ProgressKind::Imported, 0, 10 * Ms}, at(110),
                          Out);
      Out.clear();
      Instance.onProgress({{"r1"}, ProgressKind::DecodeFailed, 40, {}}, at(900),
                          Out);
      auto Redone = only<StartGeneration>(Out);
      REQUIRE(Redone.size() == 1);
      CHECK(Redone[0].Decode_ != First.Decode_);
    }

    SECTION("a cancelled one gives its slot back") {
      Instance.onProgress({{"r1"}, ProgressKind::Cancelled, 0, {}}, at(10),
                          Out);
      Instance.onProgress({{"r2"}, ProgressKind::Cancelled, 0, {}}, at(10),
                          Out);
      CHECK(Instance.size() == 0);
      for (EngineIndex I = 0; I < 4; ++I)
        CHECK(Instance.asFleet().at(I).bookings() == 0);
    }
  }
}

TEST_CASE("Work that cannot meet its deadline is refused", "[dispatch]") {
  DispatchOptions Options;
  Dispatcher Instance(Options);
  Instance.onEngineLive(engineOf("p1", EngineRole::Prefill));
  Instance.onEngineLive(engineOf("d1", EngineRole::Decode));
  DispatchActions Out;
  for (int I = 0; I < 3; ++I)
    Instance.submit(workOf(std::string("r").append(std::to_string(I))), at(0),
                    Out);
  REQUIRE(Instance.queued() == 2);
  Instance.tick(at(5000), Out);
  CHECK(only<RefuseWork>(Out).empty());
  Instance.tick(at(9990), Out);
  auto Refused = only<RefuseWork>(Out);
  REQUIRE(Refused.size() == 2);
  CHECK(Refused[0].Refusal_.Reason_ == RefusalReason::DeadlineUnreachable);
  CHECK(Refused[0].Refusal_.Execution_ == Execution::NotRun);
}

TEST_CASE("Instances place work together", "[dispatch]") {
  Cluster All;
  for (const InstanceId &Name : All.Names_)
    for (int I = 0; I < 2; ++I)
      All.submit(Name,
                 workOf(std::string(Name.Value_).append(std::to_string(I))),
                 at(0));

  SECTION("they never overfill the two prefill engines") {
    CHECK(All.started() == 2);
  }

  SECTION("everything runs in the end and nothing is kept") {
    std::set<RequestId> Ended;
    for (int Now = 100; Now < 5000; Now += 100) {
      All.tick(at(Now));
      for (const InstanceId &Name : All.Names_)
        for (const auto &Start : only<StartGeneration>(All.Done_[Name])) {
          if (!Ended.insert(Start.Request_).second)
            continue;
          All.report(
              Name, {Start.Request_, ProgressKind::PrefillDone, 1000, 100 * Ms},
              at(Now));
          All.report(Name, {Start.Request_, ProgressKind::Imported, 0, 10 * Ms},
                     at(Now));
          All.report(Name, {Start.Request_, ProgressKind::DecodeDone, 100, {}},
                     at(Now));
        }
    }
    CHECK(Ended.size() == 6);
    CHECK(All.known() == 0);
  }

  SECTION("a silent home is gone round") {
    Cluster Cut;
    for (const InstanceId &Home : Cut.Names_) {
      Cluster Fresh;
      Fresh.Silent_ = {Home};
      for (const InstanceId &Name : Fresh.Names_)
        Fresh.submit(Name, workOf(Name.Value_), at(0));
      for (int Now = 10; Now < 1000; Now += 10)
        Fresh.tick(at(Now));
      for (const InstanceId &Name : Fresh.Names_)
        CHECK(only<StartGeneration>(Fresh.Done_[Name]).size() == 1);
    }
  }

  SECTION("a removed home's work moves to the next, started work once only") {
    for (const InstanceId &Gone : All.Names_) {
      Cluster Fresh;
      for (const InstanceId &Name : Fresh.Names_)
        Fresh.submit(Name, workOf(Name.Value_), at(0));
      const std::size_t Before = Fresh.started();
      std::vector<InstanceId> Left = Fresh.Names_;
      std::erase(Left, Gone);
      Fresh.Silent_ = {Gone};
      Fresh.setMembers(Left, at(10));
      for (int Now = 20; Now < 200; Now += 10)
        Fresh.tick(at(Now));
      CHECK(Before == 2);
      for (const InstanceId &Name : Left)
        CHECK(only<StartGeneration>(Fresh.Done_[Name]).size() <= 1);
    }
  }

  SECTION("an unanswered question ends when this instance becomes the home") {
    for (const InstanceId &Name : All.Names_) {
      Cluster Fresh;
      Fresh.Silent_ = {Fresh.Names_.begin(), Fresh.Names_.end()};
      Fresh.submit(Name, workOf("r"), at(0));
      Fresh.setMembers({Name}, at(50));
      for (int Now = 60; Now < 1000; Now += 10)
        Fresh.tick(at(Now));
      CHECK(only<StartGeneration>(Fresh.Done_[Name]).size() == 1);
      CHECK(Fresh.Instances_.at(Name).queued() == 0);
    }
  }

  SECTION("a home that missed the end of a request asks and frees its slot") {
    Cluster Fresh;
    for (const InstanceId &Name : Fresh.Names_)
      Fresh.submit(Name, workOf(Name.Value_), at(0));
    Fresh.Silent_ = {Fresh.Names_.begin(), Fresh.Names_.end()};
    for (const InstanceId &Name : Fresh.Names_)
      Fresh.report(Name, {{Name.Value_}, ProgressKind::Cancelled, 0, {}},
                   at(10));
    CHECK(Fresh.known() > 0);
    Fresh.Silent_.clear();
    for (int Now = 100; Now < 3000; Now += 10)
      Fresh.tick(at(Now));
    CHECK(Fresh.known() == 0);
  }
}

#include "gooseberrybeam/routing/Dispatcher.h"

#include <catch2/catch.hpp>

#include <deque>

using namespace gooseberry;

namespace {

constexpr Duration Ms = std::chrono::milliseconds(1);

TimePoint timeAt(int Millis) {
  return TimePoint(Millis * Ms + std::chrono::hours(1));
}

GenerationSpec makeSpec(const std::string &Request, int ArrivalMs = 0) {
  GenerationSpec Spec;
  Spec.Request_ = {Request};
  Spec.Organisation_ = {"club"};
  Spec.Model_ = {"draft"};
  Spec.PromptTokens_ = 1000;
  Spec.MaxOutputTokens_ = 100;
  Spec.Arrival_ = timeAt(ArrivalMs);
  Spec.Deadline_ = timeAt(ArrivalMs + 10000);
  return Spec;
}

EngineInfo makeEngine(const std::string &Name, EngineRole Role) {
  return {{Name}, Role, {"a"}, {{"draft"}}, 2, 100};
}

void addEngines(Dispatcher &Instance) {
  Instance.onEngineAvailable(makeEngine("p1", EngineRole::Prefill));
  Instance.onEngineAvailable(makeEngine("p2", EngineRole::Prefill));
  Instance.onEngineAvailable(makeEngine("d1", EngineRole::Decode));
  Instance.onEngineAvailable(makeEngine("d2", EngineRole::Decode));
}

template <typename T>
std::vector<T> filterActions(const DispatchActions &Actions) {
  std::vector<T> Matches;
  for (const DispatchAction &Action : Actions)
    if (const T *Match = std::get_if<T>(&Action))
      Matches.push_back(*Match);
  return Matches;
}

/// Dispatchers whose messages are delivered in order, except to and from
/// unreachable instances.
struct Cluster {
  std::vector<InstanceId> Names_{{"i1"}, {"i2"}, {"i3"}};
  std::map<InstanceId, Dispatcher> Instances_;
  std::map<InstanceId, DispatchActions> Emitted_;
  std::set<InstanceId> Unreachable_;

  Cluster() {
    for (const InstanceId &Name : Names_) {
      DispatchOptions Options;
      Options.Self_ = Name;
      auto &New = Instances_.try_emplace(Name, Options).first->second;
      addEngines(New);
    }
    setMembers(Names_, timeAt(0));
  }

  void setMembers(const std::vector<InstanceId> &Members, TimePoint Now) {
    for (auto &[Name, Instance] : Instances_) {
      DispatchActions Actions;
      Instance.onMembers(Members, Now, Actions);
      deliver(Name, Actions, Now);
    }
  }

  void deliver(const InstanceId &Sender, const DispatchActions &Actions,
               TimePoint Now) {
    for (const DispatchAction &Action : Actions) {
      const auto *Sent = std::get_if<SendPlacement>(&Action);
      if (Sent == nullptr) {
        Emitted_[Sender].push_back(Action);
        continue;
      }
      if (Unreachable_.contains(Sender) ||
          Unreachable_.contains(Sent->Recipient_))
        continue;
      DispatchActions Answers;
      Instances_.at(Sent->Recipient_)
          .onMessage(Sender, Sent->Message_, Now, Answers);
      deliver(Sent->Recipient_, Answers, Now);
    }
  }

  void submit(const InstanceId &Recipient, GenerationSpec Spec, TimePoint Now) {
    DispatchActions Actions;
    Instances_.at(Recipient).submit(std::move(Spec), Now, Actions);
    deliver(Recipient, Actions, Now);
  }

  void report(const InstanceId &Recipient, const GenerationProgress &Progress,
              TimePoint Now) {
    DispatchActions Actions;
    Instances_.at(Recipient).onProgress(Progress, Now, Actions);
    deliver(Recipient, Actions, Now);
  }

  void tick(TimePoint Now) {
    for (auto &[Name, Instance] : Instances_) {
      DispatchActions Actions;
      Instance.tick(Now, Actions);
      deliver(Name, Actions, Now);
    }
  }

  std::size_t startCount() {
    std::size_t Total = 0;
    for (auto &[Name, Actions] : Emitted_)
      Total += filterActions<StartGeneration>(Actions).size();
    return Total;
  }

  std::size_t requestCount() {
    std::size_t Total = 0;
    for (auto &[Name, Instance] : Instances_)
      Total += Instance.size();
    return Total;
  }
};

} // namespace

TEST_CASE("A generation is placed on a prefill and a decode engine together",
          "[dispatch]") {
  DispatchOptions Options;
  Options.Self_ = {"i1"};
  Dispatcher Instance(Options);
  DispatchActions Actions;

  SECTION("without engines it is refused as not run") {
    Instance.submit(makeSpec("r1"), timeAt(0), Actions);
    auto Refused = filterActions<RefuseGeneration>(Actions);
    REQUIRE(Refused.size() == 1);
    CHECK(Refused[0].Refusal_.Reason_ == RefusalReason::NoBackendServer);
    CHECK(Refused[0].Refusal_.Execution_ == Execution::NotRun);
    CHECK(Instance.size() == 0);
  }

  SECTION("with engines") {
    addEngines(Instance);
    Instance.submit(makeSpec("r1"), timeAt(0), Actions);
    Instance.submit(makeSpec("r2"), timeAt(0), Actions);
    REQUIRE(filterActions<StartGeneration>(Actions).size() == 2);
    auto First = filterActions<StartGeneration>(Actions)[0];
    auto Second = filterActions<StartGeneration>(Actions)[1];
    CHECK(First.Prefill_ != Second.Prefill_);

    SECTION("a third is queued while the prefill engines are busy") {
      Instance.submit(makeSpec("r3"), timeAt(0), Actions);
      CHECK(Instance.queued() == 1);
      Instance.onProgress({{"r1"}, ProgressKind::PrefillDone, 1000, 100 * Ms},
                          timeAt(100), Actions);
      CHECK(Instance.queued() == 0);
    }

    SECTION("no prefill starts without a decode slot") {
      for (int I = 0; I < 2; ++I)
        Instance.onProgress(
            {{I == 0 ? "r1" : "r2"}, ProgressKind::PrefillDone, 1000, 100 * Ms},
            timeAt(100), Actions);
      for (const char *Name : {"d1", "d2"})
        Instance.onLoad({Name}, {0, 2, 4, 20 * Ms, {}}, timeAt(100), Actions);
      Actions.clear();
      Instance.submit(makeSpec("r3", 100), timeAt(100), Actions);
      CHECK(Actions.empty());
      for (const char *Name : {"d1", "d2"})
        Instance.onLoad({Name}, {0, 0, 0, 20 * Ms, {}}, timeAt(200), Actions);
      CHECK(filterActions<StartGeneration>(Actions).size() == 1);
    }

    SECTION("a stalled transfer is moved while its KV cache exists") {
      Instance.onProgress({{"r1"}, ProgressKind::PrefillDone, 1000, 100 * Ms},
                          timeAt(100), Actions);
      Actions.clear();
      Instance.tick(timeAt(200), Actions);
      CHECK(filterActions<MoveTransfer>(Actions).empty());
      Instance.tick(timeAt(400), Actions);
      auto Moved = filterActions<MoveTransfer>(Actions);
      REQUIRE(Moved.size() == 1);
      CHECK(Moved[0].Decode_ != First.Decode_);
    }

    SECTION("a lost KV cache is computed again") {
      Instance.onProgress({{"r1"}, ProgressKind::PrefillDone, 1000, 100 * Ms},
                          timeAt(100), Actions);
      Actions.clear();
      Instance.onProgress({{"r1"}, ProgressKind::KvGone, 0, {}}, timeAt(300),
                          Actions);
      CHECK(filterActions<StartGeneration>(Actions).size() == 1);
    }

    SECTION("a broken stream resumes from the generated tokens") {
      Instance.onProgress({{"r1"}, ProgressKind::PrefillDone, 1000, 100 * Ms},
                          timeAt(100), Actions);
      Instance.onProgress({{"r1"}, ProgressKind::Imported, 0, 10 * Ms},
                          timeAt(110), Actions);
      Actions.clear();
      Instance.onProgress({{"r1"}, ProgressKind::DecodeFailed, 40, {}},
                          timeAt(900), Actions);
      auto Redone = filterActions<StartGeneration>(Actions);
      REQUIRE(Redone.size() == 1);
      CHECK(Redone[0].Decode_ != First.Decode_);
    }

    SECTION("a cancelled generation frees its slot") {
      Instance.onProgress({{"r1"}, ProgressKind::Cancelled, 0, {}}, timeAt(10),
                          Actions);
      Instance.onProgress({{"r2"}, ProgressKind::Cancelled, 0, {}}, timeAt(10),
                          Actions);
      CHECK(Instance.size() == 0);
      for (EngineIndex I = 0; I < 4; ++I)
        CHECK(Instance.fleet().at(I).decodeReservations() == 0);
    }
  }
}

TEST_CASE("A request that cannot meet its deadline is refused", "[dispatch]") {
  DispatchOptions Options;
  Dispatcher Instance(Options);
  Instance.onEngineAvailable(makeEngine("p1", EngineRole::Prefill));
  Instance.onEngineAvailable(makeEngine("d1", EngineRole::Decode));
  DispatchActions Actions;
  for (int I = 0; I < 3; ++I)
    Instance.submit(makeSpec(std::string("r").append(std::to_string(I))),
                    timeAt(0), Actions);
  REQUIRE(Instance.queued() == 2);
  Instance.tick(timeAt(5000), Actions);
  CHECK(filterActions<RefuseGeneration>(Actions).empty());
  Instance.tick(timeAt(9990), Actions);
  auto Refused = filterActions<RefuseGeneration>(Actions);
  REQUIRE(Refused.size() == 2);
  CHECK(Refused[0].Refusal_.Reason_ == RefusalReason::DeadlineUnreachable);
  CHECK(Refused[0].Refusal_.Execution_ == Execution::NotRun);
}

TEST_CASE("Instances place requests through the home of the model",
          "[dispatch]") {
  Cluster Shared;
  for (const InstanceId &Name : Shared.Names_)
    for (int I = 0; I < 2; ++I)
      Shared.submit(
          Name, makeSpec(std::string(Name.Value_).append(std::to_string(I))),
          timeAt(0));

  SECTION("they never overcommit the two prefill engines") {
    CHECK(Shared.startCount() == 2);
  }

  SECTION("every request completes and no state remains") {
    std::set<RequestId> Ended;
    for (int Now = 100; Now < 5000; Now += 100) {
      Shared.tick(timeAt(Now));
      for (const InstanceId &Name : Shared.Names_)
        for (const auto &Start :
             filterActions<StartGeneration>(Shared.Emitted_[Name])) {
          if (!Ended.insert(Start.Request_).second)
            continue;
          Shared.report(
              Name, {Start.Request_, ProgressKind::PrefillDone, 1000, 100 * Ms},
              timeAt(Now));
          Shared.report(Name,
                        {Start.Request_, ProgressKind::Imported, 0, 10 * Ms},
                        timeAt(Now));
          Shared.report(Name,
                        {Start.Request_, ProgressKind::DecodeDone, 100, {}},
                        timeAt(Now));
        }
    }
    CHECK(Ended.size() == 6);
    CHECK(Shared.requestCount() == 0);
  }

  SECTION("requests are placed locally if the home does not answer") {
    Cluster Cut;
    for (const InstanceId &Home : Cut.Names_) {
      Cluster Fresh;
      Fresh.Unreachable_ = {Home};
      for (const InstanceId &Name : Fresh.Names_)
        Fresh.submit(Name, makeSpec(Name.Value_), timeAt(0));
      for (int Now = 10; Now < 1000; Now += 10)
        Fresh.tick(timeAt(Now));
      for (const InstanceId &Name : Fresh.Names_)
        CHECK(filterActions<StartGeneration>(Fresh.Emitted_[Name]).size() == 1);
    }
  }

  SECTION(
      "requests of a removed home move to the next and start at most once") {
    for (const InstanceId &Removed : Shared.Names_) {
      Cluster Fresh;
      for (const InstanceId &Name : Fresh.Names_)
        Fresh.submit(Name, makeSpec(Name.Value_), timeAt(0));
      const std::size_t StartsBefore = Fresh.startCount();
      std::vector<InstanceId> Survivors = Fresh.Names_;
      std::erase(Survivors, Removed);
      Fresh.Unreachable_ = {Removed};
      Fresh.setMembers(Survivors, timeAt(10));
      for (int Now = 20; Now < 200; Now += 10)
        Fresh.tick(timeAt(Now));
      CHECK(StartsBefore == 2);
      for (const InstanceId &Name : Survivors)
        CHECK(filterActions<StartGeneration>(Fresh.Emitted_[Name]).size() <= 1);
    }
  }

  SECTION(
      "an unanswered request is placed when its instance becomes the home") {
    for (const InstanceId &Name : Shared.Names_) {
      Cluster Fresh;
      Fresh.Unreachable_ = {Fresh.Names_.begin(), Fresh.Names_.end()};
      Fresh.submit(Name, makeSpec("r"), timeAt(0));
      Fresh.setMembers({Name}, timeAt(50));
      for (int Now = 60; Now < 1000; Now += 10)
        Fresh.tick(timeAt(Now));
      CHECK(filterActions<StartGeneration>(Fresh.Emitted_[Name]).size() == 1);
      CHECK(Fresh.Instances_.at(Name).queued() == 0);
    }
  }

  SECTION("a home that missed the end of a request asks for it and frees its "
          "slot") {
    Cluster Fresh;
    for (const InstanceId &Name : Fresh.Names_)
      Fresh.submit(Name, makeSpec(Name.Value_), timeAt(0));
    Fresh.Unreachable_ = {Fresh.Names_.begin(), Fresh.Names_.end()};
    for (const InstanceId &Name : Fresh.Names_)
      Fresh.report(Name, {{Name.Value_}, ProgressKind::Cancelled, 0, {}},
                   timeAt(10));
    CHECK(Fresh.requestCount() > 0);
    Fresh.Unreachable_.clear();
    for (int Now = 100; Now < 3000; Now += 10)
      Fresh.tick(timeAt(Now));
    CHECK(Fresh.requestCount() == 0);
  }
}

#include "support/ConfigCluster.h"

#include <catch2/catch.hpp>

#include <iostream>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

EntityChange rateOf(const std::string &Name, double Rate) {
  Organisation Value;
  Value.Name_.Value_ = Name;
  Value.RateTokensPerSecond_ = Rate;
  return {refOf(Value), Value};
}

ChangeCommand command(std::string Token, EntityChange Change,
                      std::optional<Revision> BaseRevision = std::nullopt) {
  return {
      std::move(Token), "operator", BaseRevision, false, {std::move(Change)}};
}

std::set<std::size_t> allInstances(const ConfigCluster &Cluster) {
  std::set<std::size_t> All;
  for (std::size_t I = 0; I < Cluster.size(); ++I)
    All.insert(I);
  return All;
}

template <typename T>
const T *outcomeAs(const ConfigCluster &Cluster, std::size_t Record) {
  const auto &Outcome = Cluster.commands()[Record].Outcome_;
  return Outcome ? std::get_if<T>(&*Outcome) : nullptr;
}

/// Runs commands from several operators under random faults.
class RandomRun {
public:
  explicit RandomRun(std::uint32_t Seed, ConfigFlaw Flaw = ConfigFlaw::None)
      : Random_(Seed), Cluster_(5, Seed, Flaw) {}

  std::vector<std::string> run() {
    Cluster_.run(3s);
    Cluster_.lossProbability() = randomBelow(3) == 0 ? 0.2 : 0.0;
    for (int I = 0; I < 25; ++I) {
      injectFault();
      submitCommands();
      Cluster_.run(std::chrono::milliseconds(100 + randomBelow(900)));
    }
    clearFaults();
    Cluster_.run(25s);
    return Cluster_.findFaults({});
  }

  std::vector<std::string> runToAgreement() {
    std::vector<std::string> Faults = run();
    const Revision Newest = Cluster_.node(0).revision();
    for (std::size_t I = 0; I < Cluster_.size(); ++I)
      if (Cluster_.node(I).revision() != Newest)
        Faults.push_back("revision differs on instance " + std::to_string(I));
    return Faults;
  }

private:
  std::size_t randomBelow(std::size_t Count) {
    return std::uniform_int_distribution<std::size_t>(0, Count - 1)(Random_);
  }

  void injectFault() {
    const std::size_t Instance = randomBelow(Cluster_.size());
    switch (randomBelow(9)) {
    case 0:
      Cluster_.table().faults().IsDown_ = !Cluster_.table().faults().IsDown_;
      break;
    case 1:
      Cluster_.linkFaults(Instance).LostReplies_ += 2;
      break;
    case 2:
      Cluster_.linkFaults(Instance).LateEffects_ += 1;
      break;
    case 3:
      Cluster_.setPaused(Instance, true);
      break;
    case 4:
      Cluster_.setPaused(Instance, false);
      break;
    case 5:
      Cluster_.replace(Instance);
      break;
    case 6:
      Cluster_.setIsolated(Instance, randomBelow(2) == 0);
      break;
    case 7:
      Cluster_.linkFaults(Instance).IsDown_ = randomBelow(2) == 0;
      break;
    default:
      Cluster_.linkFaults(Instance).Latency_ =
          std::chrono::milliseconds(2 + randomBelow(300));
    }
  }

  void submitCommands() {
    for (std::size_t Count = randomBelow(3); Count > 0; --Count) {
      const std::size_t Instance = randomBelow(Cluster_.size());
      const Revision Seen = Cluster_.node(Instance).revision();
      const std::string Token = "t" + std::to_string(NextNumber_++);
      ChangeCommand Command = command(
          Token, rateOf("org" + std::to_string(randomBelow(3)), NextNumber_),
          Seen);
      Command.IsStrict_ = randomBelow(2) == 0;
      Cluster_.submit(Instance, Token, std::move(Command));
    }
    if (Cluster_.commands().empty() || randomBelow(3) != 0)
      return;
    const std::size_t Record = randomBelow(Cluster_.commands().size());
    const CommandRecord &Old = Cluster_.commands()[Record];
    if (outcomeAs<ChangeUnknown>(Cluster_, Record))
      Cluster_.submit(randomBelow(Cluster_.size()), Old.IntentId_,
                      ChangeCommand(Old.Command_));
  }

  void clearFaults() {
    Cluster_.table().faults() = {};
    Cluster_.lossProbability() = 0;
    for (std::size_t I = 0; I < Cluster_.size(); ++I) {
      Cluster_.linkFaults(I) = {};
      Cluster_.setPaused(I, false);
      Cluster_.setIsolated(I, false);
    }
  }

  std::mt19937 Random_;
  ConfigCluster Cluster_;
  int NextNumber_ = 1;
};

std::string joinLines(const std::vector<std::string> &Faults) {
  std::string Text;
  for (const std::string &Fault : Faults)
    Text += Fault + "\n";
  return Text;
}

} // namespace

TEST_CASE("An accepted change reaches every instance", "[config][history]") {
  ConfigCluster Cluster(5, 1);
  Cluster.run(3s);
  const auto Record = Cluster.submit(0, "a", command("a", rateOf("club", 5)));
  Cluster.run(1s);
  REQUIRE(outcomeAs<ChangeAccepted>(Cluster, Record));

  SECTION("and becomes active on all of them") {
    Cluster.run(10s);
    CHECK(joinLines(Cluster.findFaults(allInstances(Cluster))).empty());
  }
  SECTION("even if the table fails right after the answer") {
    Cluster.table().faults().IsDown_ = true;
    Cluster.run(11s);
    CHECK(joinLines(Cluster.findFaults(allInstances(Cluster))).empty());

    SECTION("and a replaced instance loads it from its peers") {
      Cluster.replace(3);
      Cluster.run(3s);
      CHECK(Cluster.node(3).revision() == 1);
      CHECK(Cluster.node(3).follower().counters().SnapshotLoads_ == 1);
    }
    SECTION("and a new command is answered as not applied") {
      const auto Rejected =
          Cluster.submit(1, "b", command("b", rateOf("club", 6)));
      Cluster.run(1s);
      CHECK(outcomeAs<ChangeNotApplied>(Cluster, Rejected));
    }
  }
  SECTION("and a paused instance that missed changes catches up") {
    Cluster.setPaused(4, true);
    for (int I = 0; I < 20; ++I) {
      const std::string Token = "p" + std::to_string(I);
      Cluster.submit(0, Token, command(Token, rateOf("club", 10 + I)));
      Cluster.run(400ms);
    }
    Cluster.setPaused(4, false);
    Cluster.run(4s);
    CHECK(Cluster.node(4).revision() == Cluster.node(0).revision());
    CHECK(joinLines(Cluster.findFaults({})).empty());
  }
}

TEST_CASE("A change that too few members confirmed is not accepted",
          "[config][history]") {
  ConfigCluster Cluster(5, 2);
  Cluster.run(3s);
  for (std::size_t I = 1; I < 4; ++I)
    Cluster.setPaused(I, true);
  const auto Record = Cluster.submit(0, "a", command("a", rateOf("club", 5)));
  Cluster.run(5s);
  CHECK(outcomeAs<ChangeUnconfirmed>(Cluster, Record));

  SECTION("one unresponsive member is covered by its witnesses") {
    Cluster.setPaused(1, false);
    Cluster.setPaused(2, false);
    Cluster.run(3s);
    const auto Next = Cluster.submit(0, "b", command("b", rateOf("club", 6)));
    Cluster.run(2s);
    CHECK(outcomeAs<ChangeAccepted>(Cluster, Next));
  }
}

TEST_CASE("Concurrent commands do not overwrite each other",
          "[config][history]") {
  ConfigCluster Cluster(3, 3);
  Cluster.run(3s);
  Cluster.submit(0, "a", command("a", rateOf("club", 5)));
  Cluster.run(2s);

  SECTION("a conflict on the same entity reports the newer entries") {
    Cluster.submit(0, "b", command("b", rateOf("club", 6), 1));
    const auto Rejected =
        Cluster.submit(1, "c", command("c", rateOf("club", 7), 1));
    Cluster.run(3s);
    const auto *Conflict = outcomeAs<ChangeConflict>(Cluster, Rejected);
    REQUIRE(Conflict);
    REQUIRE(Conflict->NewerEntries_.size() == 1);
    CHECK(Conflict->NewerEntries_[0].Token_ == "b");
  }
  SECTION("changes of different entities are both accepted") {
    const auto Left = Cluster.submit(0, "b", command("b", rateOf("x", 6), 1));
    const auto Right = Cluster.submit(1, "c", command("c", rateOf("y", 7), 1));
    Cluster.run(3s);
    CHECK(outcomeAs<ChangeAccepted>(Cluster, Left));
    CHECK(outcomeAs<ChangeAccepted>(Cluster, Right));
  }
  SECTION("a strict command conflicts with any newer change") {
    ChangeCommand Strict = command("c", rateOf("y", 7), 1);
    Strict.IsStrict_ = true;
    Cluster.submit(0, "b", command("b", rateOf("x", 6), 1));
    Cluster.run(1s);
    const auto Rejected = Cluster.submit(1, "c", std::move(Strict));
    Cluster.run(3s);
    CHECK(outcomeAs<ChangeConflict>(Cluster, Rejected));
  }
}

TEST_CASE("A commit whose reply is lost takes effect exactly once",
          "[config][history]") {
  ConfigCluster Cluster(3, 4);
  Cluster.run(3s);
  SECTION("the outcome is resolved by reading the log") {
    Cluster.linkFaults(0).LostReplies_ = 1;
    const auto Record = Cluster.submit(0, "a", command("a", rateOf("club", 5)));
    Cluster.run(4s);
    CHECK(outcomeAs<ChangeAccepted>(Cluster, Record));
    CHECK(Cluster.node(2).revision() == 1);
  }
  SECTION("a commit that is applied late is not applied twice") {
    Cluster.linkFaults(0).LateEffects_ = 1;
    const auto Record = Cluster.submit(0, "a", command("a", rateOf("club", 5)));
    Cluster.run(6s);
    CHECK(outcomeAs<ChangeAccepted>(Cluster, Record));
    CHECK(Cluster.node(2).revision() == 1);
  }
  SECTION("the outcome is unknown while the table is down; a retry is safe") {
    Cluster.linkFaults(0).LostReplies_ = 1;
    const ChangeCommand Command = command("a", rateOf("club", 5), 0);
    const auto Record = Cluster.submit(0, "a", Command);
    Cluster.run(200ms);
    Cluster.table().faults().IsDown_ = true;
    Cluster.run(10s);
    REQUIRE(outcomeAs<ChangeUnknown>(Cluster, Record));
    Cluster.table().faults().IsDown_ = false;
    const auto Retry = Cluster.submit(1, "a", Command);
    Cluster.run(5s);
    CHECK(outcomeAs<ChangeAccepted>(Cluster, Retry));
    CHECK(Cluster.node(2).revision() == 1);
  }
  CHECK(joinLines(Cluster.findFaults({})).empty());
}

TEST_CASE("Histories under random faults satisfy the invariants",
          "[config][history]") {
  for (std::uint32_t Seed = 1; Seed <= 300; ++Seed) {
    const std::string Faults = joinLines(RandomRun(Seed).runToAgreement());
    INFO("seed " << Seed << ": " << Faults);
    REQUIRE(Faults.empty());
  }
}

TEST_CASE("The checks of configuration histories detect injected defects",
          "[config][history]") {
  const auto CountFaulty = [](ConfigFlaw Flaw) {
    int Faulty = 0;
    for (std::uint32_t Seed = 1; Seed <= 20; ++Seed)
      Faulty += RandomRun(Seed, Flaw).run().empty() ? 0 : 1;
    return Faulty;
  };
  SECTION("a revision that decreases") {
    CHECK(CountFaulty(ConfigFlaw::RepublishesOld) > 0);
  }
  SECTION("a command with unknown outcome that is retried as a new one") {
    ConfigCluster Cluster(3, 1, ConfigFlaw::RepeatsWithNewToken);
    Cluster.run(3s);
    Cluster.linkFaults(0).LostReplies_ = 1;
    Cluster.submit(0, "a", command("a", rateOf("club", 5), 0));
    Cluster.run(200ms);
    Cluster.linkFaults(0).IsDown_ = true;
    Cluster.submit(1, "b", command("b", rateOf("club", 6)));
    Cluster.run(7700ms);
    Cluster.linkFaults(0).IsDown_ = false;
    Cluster.run(5s);
    CHECK_FALSE(Cluster.findFaults({}).empty());
  }
  SECTION("a commit that is accepted before other members have it") {
    ConfigCluster Cluster(5, 1, ConfigFlaw::AcceptsAtCommit);
    Cluster.run(3s);
    const auto Record = Cluster.submit(0, "a", command("a", rateOf("club", 5)));
    for (int I = 0; I < 100 && !outcomeAs<ChangeAccepted>(Cluster, Record); ++I)
      Cluster.run(ConfigCluster::Step);
    REQUIRE(outcomeAs<ChangeAccepted>(Cluster, Record));
    Cluster.table().faults().IsDown_ = true;
    Cluster.run(12s);
    CHECK_FALSE(Cluster.findFaults(allInstances(Cluster)).empty());
  }
}

TEST_CASE("The read rate of the table is bounded", "[config][history]") {
  constexpr std::size_t Instances = 320;
  constexpr std::uint64_t ReadsPerSecond = 2000;
  ConfigCluster Cluster(Instances, 5);
  for (std::size_t I = 0; I < 2500; ++I)
    Cluster.table().put("config/org/o" + std::to_string(I),
                        R"({"rate_tokens_per_s":1,"burst_tokens":1})");
  Cluster.table().put("config/head", R"({"revision":1,"floor":2})");

  const auto HighestRate = [&](int Seconds) {
    std::uint64_t Highest = 0;
    for (int I = 0; I < Seconds; ++I) {
      const std::uint64_t Before = Cluster.table().reads();
      Cluster.run(1s);
      Highest = std::max(Highest, Cluster.table().reads() - Before);
    }
    return Highest;
  };
  SECTION("when all instances start at once") {
    CHECK(HighestRate(12) < ReadsPerSecond);
    CHECK(Cluster.node(7).revision() == 1);
  }
  SECTION("after an outage during which all instances fell behind") {
    Cluster.run(12s);
    Cluster.table().faults().IsDown_ = true;
    Cluster.run(20s);
    Cluster.table().put("config/head", R"({"revision":9000,"floor":9000})");
    Cluster.table().faults().IsDown_ = false;
    CHECK(HighestRate(8) < ReadsPerSecond);
    CHECK(Cluster.node(7).revision() == 9000);
  }
}

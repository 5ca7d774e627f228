#include "gooseberrybeam/relay/HomeCoordinator.h"

#include <catch2/catch.hpp>

#include <map>
#include <random>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

const OrganisationId Acme = {"acme"};
constexpr double Rate = 135'000;
constexpr double Burst = 135'000;
constexpr Duration Window = 8s;
/// Excess that operators tolerate while instances cannot reach each other.
constexpr double Tolerance = 0.1;
constexpr double Slack = 120'000;
constexpr std::uint32_t RequestTokens = 6'750;

std::shared_ptr<const RelayConfiguration>
makeConfiguration(std::uint32_t Slots = 1000) {
  RelayConfigurationParts Parts;
  Parts.Version_ = 1;
  RelayOrganisation Organisation;
  Organisation.Name_ = Acme;
  Organisation.Limit_ = TokenLimit{Rate, Burst};
  Parts.Organisations_ = {Organisation};
  EngineTraits Traits;
  Traits.Slots_ = Slots;
  Traits.KvTokens_ = 10'000'000'000;
  Parts.Services_ = {{{"writer"}, 100, Traits}};
  return std::make_shared<const RelayConfiguration>(std::move(Parts));
}

/// Instances that use one of several coordinators as home and switch at any
/// time.
class Deployment {
public:
  /// \param Seed determines which instances switch, lose their connection or
  /// are killed, and when.
  /// \param KillProcesses whether processes are killed and restarted.
  /// \param SlackTokens the tolerated excess that homes know of.
  Deployment(std::uint32_t Seed, bool KillProcesses, double SlackTokens = 0)
      : Random_(Seed), KillProcesses_(KillProcesses) {
    const RateLimitBounds Bounds = {Window, SlackTokens};
    BackendEntry Engine;
    Engine.Id_ = {"d"};
    Engine.Service_ = {"writer"};
    Engine.Role_ = EngineRole::Decode;
    Directory_.put(Engine);
    for (std::size_t I = 0; I != InstanceCount; ++I) {
      Coordinators_.push_back(
          std::make_unique<HomeCoordinator>(Directory_, Bounds));
      Coordinators_.back()->configure(makeConfiguration(), Now_);
      Coordinators_.back()->setInstanceCount(InstanceCount);
      Names_.push_back({"edge-" + std::to_string(I)});
      HomeIndices_.push_back(0);
      Usage_.emplace_back();
      StartedAt_.push_back(Now_ - 100s);
    }
  }

  /// Simulates 40 s with more demand than the limit and occasional changes of
  /// home.
  void run() {
    for (std::size_t I = 0; I != InstanceCount; ++I)
      heartbeat(I, true);
    for (int Step = 0; Step != 4000; ++Step, Now_ += 10ms) {
      const std::size_t Index = randomBelow(InstanceCount);
      finishHomeChanges();
      if (randomBelow(400) == 0)
        changeHome(Index, randomBelow(InstanceCount));
      restartKilled();
      if (KillProcesses_ && randomBelow(300) == 0)
        killInstance(Index);
      if (Step % 20 == 0)
        for (std::size_t I = 0; I != InstanceCount; ++I)
          if (isConnected(I))
            heartbeat(I, false);
      if (isConnected(Index))
        submit(Index, "r" + std::to_string(Step));
    }
  }

  /// \returns the maximum number of tokens granted in any window.
  double worstWindow() const {
    double Worst = 0;
    for (std::size_t First = 0; First != Granted_.size(); ++First) {
      double Sum = 0;
      for (std::size_t I = First;
           I != Granted_.size() &&
           Granted_[I].first < Granted_[First].first + Window;
           ++I)
        Sum += Granted_[I].second;
      Worst = std::max(Worst, Sum);
    }
    return Worst;
  }

  /// \returns the total number of tokens granted.
  double granted() const {
    double Sum = 0;
    for (const auto &Each : Granted_)
      Sum += Each.second;
    return Sum;
  }

private:
  static constexpr std::size_t InstanceCount = 5;
  static constexpr Duration SilenceLimit = 450ms;

  std::size_t randomBelow(std::size_t Limit) {
    return std::uniform_int_distribution<std::size_t>(0, Limit - 1)(Random_);
  }

  void heartbeat(std::size_t Index, bool IsFirst,
                 std::vector<LimitUtilisation> Utilisation = {}) {
    HomeHeartbeat Message;
    Message.Utilisation_ = std::move(Utilisation);
    Message.IsAttached_ = true;
    Message.Uptime_ = Now_ - StartedAt_[Index];
    Message.Attachment_ = IsFirst ? ++Attachments_[Index] : Attachments_[Index];
    if (IsFirst)
      for (const auto &[UsedAt, Tokens] : Usage_[Index])
        if (UsedAt + Window > Now_)
          Message.TokenUsage_.push_back({Acme, Tokens, Now_ - UsedAt});
    Coordinators_[HomeIndices_[Index]]->onHeartbeat(Names_[Index], Message,
                                                    Now_);
  }

  void changeHome(std::size_t Index, std::size_t Home) {
    if (HomeIndices_[Index] == Home || !isConnected(Index))
      return;
    // In half of the cases the instance loses the connection to its home and
    // switches to another one after the silence limit.
    if (randomBelow(2) == 0) {
      CutOffAt_[Index] = Now_;
      PendingHomeChanges_[Index] = {Now_ + SilenceLimit, Home};
      return;
    }
    Coordinators_[HomeIndices_[Index]]->onHeartbeat(Names_[Index],
                                                    HomeHeartbeat(), Now_);
    HomeIndices_[Index] = Home;
    heartbeat(Index, true);
  }

  bool isConnected(std::size_t Index) const {
    return !PendingHomeChanges_.contains(Index) && !DownUntil_.contains(Index);
  }

  // The successor process does not know the earlier usage and uses the same
  // home.
  void killInstance(std::size_t Index) {
    if (!isConnected(Index))
      return;
    Usage_[Index].clear();
    DownUntil_[Index] = Now_ + std::chrono::milliseconds(randomBelow(3000));
  }

  void restartKilled() {
    for (auto It = DownUntil_.begin(); It != DownUntil_.end();) {
      if (It->second > Now_) {
        ++It;
        continue;
      }
      StartedAt_[It->first] = Now_;
      heartbeat(It->first, true);
      It = DownUntil_.erase(It);
    }
  }

  void finishHomeChanges() {
    for (auto It = PendingHomeChanges_.begin();
         It != PendingHomeChanges_.end();) {
      if (It->second.first > Now_) {
        ++It;
        continue;
      }
      const auto Utilisation =
          Coordinators_[HomeIndices_[It->first]]->utilisation(
              CutOffAt_[It->first]);
      HomeIndices_[It->first] = It->second.second;
      heartbeat(It->first, true, Utilisation);
      It = PendingHomeChanges_.erase(It);
    }
  }

  void submit(std::size_t Index, std::string Request) {
    PlacementRequest Placement;
    Placement.Request_ = {std::move(Request)};
    Placement.Organisation_ = Acme;
    Placement.Service_ = {"writer"};
    Placement.PromptTokens_ = RequestTokens;
    Placement.NeedsPrefill_ = false;
    Placement.TargetLeft_ = 1s;
    Placement.TimeLeft_ = 10s;
    HomeCoordinator &Home = *Coordinators_[HomeIndices_[Index]];
    Home.onPlacementRequest(Names_[Index], Placement, Now_);
    for (const auto &Each : Home.decide(Now_)) {
      if (!std::holds_alternative<PlacementGrant>(Each.Answer_))
        continue;
      Granted_.emplace_back(Now_, RequestTokens);
      Usage_[Index].emplace_back(Now_, RequestTokens);
    }
  }

  std::mt19937 Random_;
  bool KillProcesses_;
  std::vector<TimePoint> StartedAt_;
  std::map<std::size_t, std::uint64_t> Attachments_;
  std::map<std::size_t, TimePoint> DownUntil_;
  BackendDirectory Directory_;
  std::vector<std::unique_ptr<HomeCoordinator>> Coordinators_;
  std::vector<InstanceId> Names_;
  std::vector<std::size_t> HomeIndices_;
  std::map<std::size_t, std::pair<TimePoint, std::size_t>> PendingHomeChanges_;
  std::map<std::size_t, TimePoint> CutOffAt_;
  std::vector<std::vector<std::pair<TimePoint, double>>> Usage_;
  std::vector<std::pair<TimePoint, double>> Granted_;
  TimePoint Now_{1000s};
};

} // namespace

TEST_CASE("Limits hold while instances change homes or are killed",
          "[relay][limits][history]") {
  const bool KillProcesses = GENERATE(false, true);
  CAPTURE(KillProcesses);
  const double SlackTokens = GENERATE(0.0, Slack);
  for (std::uint32_t Seed = 1; Seed != 40; ++Seed) {
    CAPTURE(Seed);
    Deployment Cluster(Seed, KillProcesses, SlackTokens);
    Cluster.run();
    CHECK(Cluster.worstWindow() <=
          (Rate * 8 + Burst) * (1 + Tolerance) + Slack);
    CHECK(Cluster.granted() > 0.5 * Rate * 40);
  }
}

TEST_CASE("A home detaches silent instances", "[relay]") {
  BackendDirectory Directory;
  HomeCoordinator Coordinator(Directory, {Window, 0});
  Coordinator.configure(makeConfiguration(), TimePoint(1s));
  HomeHeartbeat Message;
  Message.IsAttached_ = true;
  Coordinator.onHeartbeat({"one"}, Message, TimePoint(1s));
  CHECK(Coordinator.attachedCount() == 1);
  SECTION("after the timeout") {
    Coordinator.decide(TimePoint(1500ms));
    CHECK(Coordinator.attachedCount() == 1);
    Coordinator.decide(TimePoint(3s));
    CHECK(Coordinator.attachedCount() == 0);
  }
  SECTION("immediately when they detach") {
    Coordinator.onHeartbeat({"one"}, HomeHeartbeat(), TimePoint(1100ms));
    CHECK(Coordinator.attachedCount() == 0);
  }
}

TEST_CASE("A killed instance that is back before its silence is noticed does "
          "not leave its streams on the engines",
          "[relay]") {
  BackendDirectory Directory;
  BackendEntry Engine;
  Engine.Id_ = {"d"};
  Engine.Service_ = {"writer"};
  Engine.Role_ = EngineRole::Decode;
  Directory.put(Engine);
  HomeCoordinator Coordinator(Directory, {Window, 0});
  Coordinator.configure(makeConfiguration(2), TimePoint(100s));
  TimePoint Now(100s);
  const auto Attach = [&](const char *Instance, std::uint64_t Incarnation) {
    HomeHeartbeat Message;
    Message.IsAttached_ = true;
    Message.Attachment_ = 1;
    Coordinator.onProcess({Instance}, Incarnation);
    Coordinator.onHeartbeat({Instance}, Message, Now);
  };
  const auto IsGranted = [&](const char *Instance, const char *Request) {
    PlacementRequest Placement;
    Placement.Request_ = {Request};
    Placement.Service_ = {"writer"};
    Placement.PromptTokens_ = 100;
    Placement.TargetLeft_ = 1s;
    Placement.TimeLeft_ = 10s;
    Coordinator.onPlacementRequest({Instance}, Placement, Now);
    const auto Decisions = Coordinator.decide(Now);
    return Decisions.size() == 1 &&
           std::holds_alternative<PlacementGrant>(Decisions.front().Answer_);
  };
  Attach("one", 7);
  Attach("two", 1);
  REQUIRE(IsGranted("one", "first"));
  REQUIRE(IsGranted("two", "second"));
  REQUIRE_FALSE(IsGranted("one", "third"));
  Now += 500ms;

  SECTION("whose places other requests get at once") {
    Attach("one", 8);
    CHECK(IsGranted("one", "fourth"));
    CHECK(Coordinator.placer().bookedCount() == 2);
  }
  SECTION("unlike one that goes on") {
    Attach("one", 7);
    CHECK_FALSE(IsGranted("one", "fourth"));
  }
}

TEST_CASE("Usage beyond the limit is reported as exhausted",
          "[relay][limits]") {
  BackendDirectory Directory;
  HomeCoordinator Coordinator(Directory, {Window, 0});
  Coordinator.configure(makeConfiguration(), TimePoint(1000s));
  HomeHeartbeat Message;
  Message.IsAttached_ = true;
  Message.Uptime_ = 100s;
  Message.TokenUsage_ = {{Acme, 1000, {}}};
  CHECK(Coordinator.onHeartbeat({"one"}, Message, TimePoint(1000s)).empty());
  Message.TokenUsage_ = {{Acme, 2'000'000, {}}};
  CHECK(Coordinator.onHeartbeat({"one"}, Message, TimePoint(1001s)).size() ==
        1);
  SECTION("until the window has passed") {
    Message.TokenUsage_ = {{Acme, 0, {}}};
    CHECK(Coordinator.onHeartbeat({"one"}, Message, TimePoint(1011s)).empty());
  }
}

TEST_CASE("A home receives the same state twice", "[relay][limits]") {
  BackendDirectory Directory;
  HomeCoordinator Coordinator(Directory, {Window, 0});
  Coordinator.configure(makeConfiguration(), TimePoint(1000s));
  HomeHeartbeat Message;
  Message.IsAttached_ = true;
  Message.Uptime_ = 100s;
  Message.Attachment_ = 1;
  Message.TokenUsage_ = {{Acme, 800'000, 1s}};
  CHECK(Coordinator.onHeartbeat({"one"}, Message, TimePoint(1000s)).empty());
  SECTION("and counts it once") {
    Message.TokenUsage_ = {{Acme, 800'000, 1150ms}};
    CHECK(Coordinator.onHeartbeat({"one"}, Message, TimePoint(1000150ms))
              .empty());
  }
  SECTION("and counts what was used in between") {
    Message.TokenUsage_ = {{Acme, 800'000, 1150ms}, {Acme, 800'000, 50ms}};
    CHECK(Coordinator.onHeartbeat({"one"}, Message, TimePoint(1000150ms))
              .size() == 2);
  }
  SECTION("and charges a placement request once") {
    PlacementRequest Placement;
    Placement.Request_ = {"r"};
    Placement.Organisation_ = Acme;
    Placement.Service_ = {"writer"};
    Placement.PromptTokens_ = 400'000;
    Placement.TargetLeft_ = 1s;
    Placement.TimeLeft_ = 10s;
    Coordinator.onPlacementRequest({"one"}, Placement, TimePoint(1000s));
    Coordinator.onPlacementRequest({"one"}, Placement, TimePoint(1000s));
    Message.TokenUsage_ = {{Acme, 0, {}}};
    CHECK(Coordinator.onHeartbeat({"one"}, Message, TimePoint(1000150ms))
              .empty());
  }
}

TEST_CASE("Tokens of a generation that is not run are returned",
          "[relay][limits]") {
  BackendDirectory Directory; // Without engines, nothing is granted.
  HomeCoordinator Coordinator(Directory, {Window, 0});
  Coordinator.configure(makeConfiguration(), TimePoint(1000s));
  HomeHeartbeat Message;
  Message.IsAttached_ = true;
  Message.Uptime_ = 100s;
  Coordinator.onHeartbeat({"one"}, Message, TimePoint(1000s));
  PlacementRequest Placement;
  Placement.Request_ = {"first"};
  Placement.Organisation_ = Acme;
  Placement.Service_ = {"writer"};
  Placement.PromptTokens_ = 1'200'000; // Nearly the whole limit.
  Placement.TargetLeft_ = 1s;
  Placement.TimeLeft_ = 1000s;
  Placement.PatienceLeft_ = 1000s;

  const auto IsSecondLimited = [&](TimePoint Now) {
    Placement.Request_ = {"second"};
    Coordinator.onPlacementRequest({"one"}, Placement, Now);
    for (const PlacementDecision &Each : Coordinator.decide(Now)) {
      const auto *Denial = std::get_if<PlacementDenial>(&Each.Answer_);
      if (Denial && Denial->Reason_ == RefusalReason::RateExceeded)
        return true;
    }
    return false;
  };

  SECTION("not while it waits") {
    Coordinator.onPlacementRequest({"one"}, Placement, TimePoint(1000s));
    CHECK(Coordinator.decide(TimePoint(1000s)).empty());
    CHECK(IsSecondLimited(TimePoint(1000100ms)));
    SECTION("but when its caller leaves") {
      Coordinator.onReport({{"first"}, GenerationStep::Ended, {}, 0, {}, {}},
                           TimePoint(1000200ms));
      CHECK_FALSE(IsSecondLimited(TimePoint(1000200ms)));
    }
  }
  SECTION("when it is refused because it would wait too long") {
    Placement.PatienceLeft_ = 10ms;
    Coordinator.onPlacementRequest({"one"}, Placement, TimePoint(1000s));
    CHECK(Coordinator.decide(TimePoint(1000100ms)).size() == 1);
    CHECK_FALSE(IsSecondLimited(TimePoint(1000200ms)));
  }
}

TEST_CASE("A caller's token counts together exceed 32 bits", "[relay][odd]") {
  const BackendDirectory Directory;
  HomeCoordinator Home(Directory, {Window, 0});
  const TimePoint Now(100s);
  Home.configure(makeConfiguration(), Now);
  HomeHeartbeat Heartbeat;
  Heartbeat.IsAttached_ = true;
  Heartbeat.Uptime_ = 50s;
  Home.onHeartbeat({"edge"}, Heartbeat, Now);
  const auto Ask = [&](std::string Id, std::uint32_t Prompt,
                       std::uint32_t Output) {
    PlacementRequest Request;
    Request.Request_ = {std::move(Id)};
    Request.Organisation_ = Acme;
    Request.Service_ = {"writer"};
    Request.PromptTokens_ = Prompt;
    Request.MaxOutputTokens_ = Output;
    Request.TimeLeft_ = 10s;
    Request.PatienceLeft_ = 10s;
    Home.onPlacementRequest({"edge"}, Request, Now);
    const auto Decisions = Home.decide(Now);
    return Decisions.empty()
               ? std::optional<RefusalReason>()
               : std::get<PlacementDenial>(Decisions.front().Answer_).Reason_;
  };
  CHECK_FALSE(Ask("first", 10, 10));
  CHECK(Ask("huge", 4'294'967'295, 1) == RefusalReason::RateExceeded);
}

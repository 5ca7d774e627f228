#include "gooseberrybeam/relay/HomeDesk.h"

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
/// What operators tolerate while instances do not reach each other.
constexpr double Tolerance = 0.1;
constexpr double Slack = 120'000;
constexpr std::uint32_t RequestTokens = 6'750;

std::shared_ptr<const RelayConfiguration> makeConfiguration() {
  RelayConfigurationParts Parts;
  Parts.Version_ = 1;
  RelayOrganisation Organisation;
  Organisation.Name_ = Acme;
  Organisation.Limit_ = TokenLimit{Rate, Burst};
  Parts.Organisations_ = {Organisation};
  EngineTraits Traits;
  Traits.Slots_ = 1000;
  Traits.KvTokens_ = 10'000'000'000;
  Parts.Services_ = {{{"writer"}, 100, Traits}};
  return std::make_shared<const RelayConfiguration>(std::move(Parts));
}

/// Instances that ask one of several desks, and change it at any time.
class Deployment {
public:
  /// \param Seed decides who moves, is cut off or is killed, and when.
  /// \param Kills whether processes are killed and start again.
  Deployment(std::uint32_t Seed, bool Kills) : Random_(Seed), Kills_(Kills) {
    BackendEntry Engine;
    Engine.Id_ = {"d"};
    Engine.Service_ = {"writer"};
    Engine.Role_ = EngineRole::Decode;
    Directory_.put(Engine);
    for (std::size_t I = 0; I != InstanceCount; ++I) {
      Desks_.push_back(std::make_unique<HomeDesk>(Directory_, Window));
      Desks_.back()->configure(makeConfiguration(), Now_);
      Desks_.back()->setInstanceCount(InstanceCount);
      Names_.push_back({"edge-" + std::to_string(I)});
      HomeOf_.push_back(0);
      Uses_.emplace_back();
      StartedAt_.push_back(Now_ - 100s);
    }
  }

  /// Plays 40 s with more demand than the limit; homes change now and then.
  void play() {
    for (std::size_t I = 0; I != InstanceCount; ++I)
      heartbeat(I, true);
    for (int Step = 0; Step != 4000; ++Step, Now_ += 10ms) {
      const std::size_t Who = draw(InstanceCount);
      finishMoves();
      if (draw(400) == 0)
        move(Who, draw(InstanceCount));
      restartKilled();
      if (Kills_ && draw(300) == 0)
        kill(Who);
      if (Step % 20 == 0)
        for (std::size_t I = 0; I != InstanceCount; ++I)
          if (isUp(I))
            heartbeat(I, false);
      if (isUp(Who))
        ask(Who, "r" + std::to_string(Step));
    }
  }

  /// \returns the most tokens granted in any window.
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

  /// \returns all tokens granted.
  double granted() const {
    double Sum = 0;
    for (const auto &Each : Granted_)
      Sum += Each.second;
    return Sum;
  }

private:
  static constexpr std::size_t InstanceCount = 5;
  static constexpr Duration SilenceLimit = 450ms;

  std::size_t draw(std::size_t Below) {
    return std::uniform_int_distribution<std::size_t>(0, Below - 1)(Random_);
  }

  void heartbeat(std::size_t Who, bool IsFirst,
                 std::vector<LimitFill> Fills = {}) {
    HomeHeartbeat Message;
    Message.Fills_ = std::move(Fills);
    Message.IsAttached_ = true;
    Message.Uptime_ = Now_ - StartedAt_[Who];
    Message.Attachment_ = IsFirst ? ++Attachments_[Who] : Attachments_[Who];
    if (IsFirst)
      for (const auto &[At, Tokens] : Uses_[Who])
        if (At + Window > Now_)
          Message.Used_.push_back({Acme, Tokens, Now_ - At});
    Desks_[HomeOf_[Who]]->onHeartbeat(Names_[Who], Message, Now_);
  }

  void move(std::size_t Who, std::size_t To) {
    if (HomeOf_[Who] == To || !isUp(Who))
      return;
    // Half of the time the instance is cut off from its home, and takes another
    // one when it has not heard of it for a while.
    if (draw(2) == 0) {
      CutAt_[Who] = Now_;
      Cut_[Who] = {Now_ + SilenceLimit, To};
      return;
    }
    Desks_[HomeOf_[Who]]->onHeartbeat(Names_[Who], HomeHeartbeat(), Now_);
    HomeOf_[Who] = To;
    heartbeat(Who, true);
  }

  bool isUp(std::size_t Who) const {
    return !Cut_.contains(Who) && !DownUntil_.contains(Who);
  }

  // Its successor knows nothing of what was used, and asks the same home.
  void kill(std::size_t Who) {
    if (!isUp(Who))
      return;
    Uses_[Who].clear();
    DownUntil_[Who] = Now_ + std::chrono::milliseconds(draw(3000));
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

  void finishMoves() {
    for (auto It = Cut_.begin(); It != Cut_.end();) {
      if (It->second.first > Now_) {
        ++It;
        continue;
      }
      const auto Fills = Desks_[HomeOf_[It->first]]->fills(CutAt_[It->first]);
      HomeOf_[It->first] = It->second.second;
      heartbeat(It->first, true, Fills);
      It = Cut_.erase(It);
    }
  }

  void ask(std::size_t Who, std::string Request) {
    PlacementAsk Ask;
    Ask.Request_ = {std::move(Request)};
    Ask.Organisation_ = Acme;
    Ask.Service_ = {"writer"};
    Ask.PromptTokens_ = RequestTokens;
    Ask.NeedsPrefill_ = false;
    Ask.TargetLeft_ = 1s;
    Ask.TimeLeft_ = 10s;
    HomeDesk &Home = *Desks_[HomeOf_[Who]];
    Home.onAsk(Names_[Who], Ask, Now_);
    for (const auto &Each : Home.decide(Now_)) {
      if (!std::holds_alternative<PlacementGrant>(Each.Answer_))
        continue;
      Granted_.emplace_back(Now_, RequestTokens);
      Uses_[Who].emplace_back(Now_, RequestTokens);
    }
  }

  std::mt19937 Random_;
  bool Kills_;
  std::vector<TimePoint> StartedAt_;
  std::map<std::size_t, std::uint64_t> Attachments_;
  std::map<std::size_t, TimePoint> DownUntil_;
  BackendDirectory Directory_;
  std::vector<std::unique_ptr<HomeDesk>> Desks_;
  std::vector<InstanceId> Names_;
  std::vector<std::size_t> HomeOf_;
  std::map<std::size_t, std::pair<TimePoint, std::size_t>> Cut_;
  std::map<std::size_t, TimePoint> CutAt_;
  std::vector<std::vector<std::pair<TimePoint, double>>> Uses_;
  std::vector<std::pair<TimePoint, double>> Granted_;
  TimePoint Now_{1000s};
};

} // namespace

TEST_CASE("Limits hold while instances change homes or are killed",
          "[relay][limits][history]") {
  const bool Kills = GENERATE(false, true);
  CAPTURE(Kills);
  for (std::uint32_t Seed = 1; Seed != 40; ++Seed) {
    CAPTURE(Seed);
    Deployment World(Seed, Kills);
    World.play();
    CHECK(World.worstWindow() <= (Rate * 8 + Burst) * (1 + Tolerance) + Slack);
    CHECK(World.granted() > 0.5 * Rate * 40);
  }
}

TEST_CASE("A home forgets instances that fall silent", "[relay]") {
  BackendDirectory Directory;
  HomeDesk Desk(Directory, Window);
  Desk.configure(makeConfiguration(), TimePoint(1s));
  HomeHeartbeat Message;
  Message.IsAttached_ = true;
  Desk.onHeartbeat({"one"}, Message, TimePoint(1s));
  CHECK(Desk.attached() == 1);
  SECTION("after a while") {
    Desk.decide(TimePoint(1500ms));
    CHECK(Desk.attached() == 1);
    Desk.decide(TimePoint(3s));
    CHECK(Desk.attached() == 0);
  }
  SECTION("at once when they detach") {
    Desk.onHeartbeat({"one"}, HomeHeartbeat(), TimePoint(1100ms));
    CHECK(Desk.attached() == 0);
  }
}

TEST_CASE("Use beyond the limit is reported as exhausted", "[relay][limits]") {
  BackendDirectory Directory;
  HomeDesk Desk(Directory, Window);
  Desk.configure(makeConfiguration(), TimePoint(1000s));
  HomeHeartbeat Message;
  Message.IsAttached_ = true;
  Message.Uptime_ = 100s;
  Message.Used_ = {{Acme, 1000, {}}};
  CHECK(Desk.onHeartbeat({"one"}, Message, TimePoint(1000s)).empty());
  Message.Used_ = {{Acme, 2'000'000, {}}};
  CHECK(Desk.onHeartbeat({"one"}, Message, TimePoint(1001s)).size() == 1);
  SECTION("until the window has passed") {
    Message.Used_ = {{Acme, 0, {}}};
    CHECK(Desk.onHeartbeat({"one"}, Message, TimePoint(1011s)).empty());
  }
}

TEST_CASE("A home is told the same twice", "[relay][limits]") {
  BackendDirectory Directory;
  HomeDesk Desk(Directory, Window);
  Desk.configure(makeConfiguration(), TimePoint(1000s));
  HomeHeartbeat Message;
  Message.IsAttached_ = true;
  Message.Uptime_ = 100s;
  Message.Attachment_ = 1;
  Message.Used_ = {{Acme, 800'000, 1s}};
  CHECK(Desk.onHeartbeat({"one"}, Message, TimePoint(1000s)).empty());
  SECTION("and counts it once") {
    Message.Used_ = {{Acme, 800'000, 1150ms}};
    CHECK(Desk.onHeartbeat({"one"}, Message, TimePoint(1000150ms)).empty());
  }
  SECTION("and counts what was used meanwhile") {
    Message.Used_ = {{Acme, 800'000, 1150ms}, {Acme, 800'000, 50ms}};
    CHECK(Desk.onHeartbeat({"one"}, Message, TimePoint(1000150ms)).size() == 2);
  }
  SECTION("and takes the tokens of an ask once") {
    PlacementAsk Ask;
    Ask.Request_ = {"r"};
    Ask.Organisation_ = Acme;
    Ask.Service_ = {"writer"};
    Ask.PromptTokens_ = 400'000;
    Ask.TargetLeft_ = 1s;
    Ask.TimeLeft_ = 10s;
    Desk.onAsk({"one"}, Ask, TimePoint(1000s));
    Desk.onAsk({"one"}, Ask, TimePoint(1000s));
    Message.Used_ = {{Acme, 0, {}}};
    CHECK(Desk.onHeartbeat({"one"}, Message, TimePoint(1000150ms)).empty());
  }
}

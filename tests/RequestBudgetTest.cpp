#include "gooseberrybeam/relay/HomeCoordinator.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <random>
#include <utility>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t InstanceCount = 4;
constexpr std::size_t ServerCount = 8;
constexpr std::uint64_t SoundKinds = 12;
constexpr Duration Step = 10ms;
constexpr Duration DownTime = 3s;
constexpr Duration DeadlyTime = 50ms;
constexpr Duration SoundTime = 100ms;
constexpr RequestFingerprint Deadly = {1, 1};

/// Instances that send a deadly request and sound ones to the servers of a
/// plain service, while homes are killed and instances are restarted.
class BudgetPlay {
public:
  explicit BudgetPlay(std::uint32_t Seed) : Random_(Seed) {
    for (Instance &Each : Instances_)
      Each.Coordinator_ = makeCoordinator();
  }

  /// \param HasFaults whether processes are killed.
  void run(bool HasFaults) {
    const TimePoint Start = Now_;
    while (Now_ < Start + 30s) {
      if (HasFaults && (Now_ - Start) % 1700ms == 0ms)
        kill(draw(2) == 0 ? HomeIndex_ : draw(InstanceCount));
      if ((Now_ - Start) % 150ms == 0ms)
        exchangeHeartbeats();
      if ((Now_ - Start) % 100ms == 0ms)
        start(Deadly);
      if ((Now_ - Start) % 20ms == 0ms)
        start({2, draw(SoundKinds)});
      finish();
      Now_ += Step;
    }
  }

  int LateDeadly_ = 0; ///< Sent 3 s and more after the third crash.
  int SoundQuarantined_ = 0;
  int SoundServed_ = 0;
  std::vector<TimePoint> Crashes_;

private:
  /// A process of an instance and what its home has told it.
  struct Instance {
    std::unique_ptr<HomeCoordinator> Coordinator_;
    std::vector<RequestSuspect> Suspects_;
    /// Reported; told to the next home once more.
    std::vector<std::pair<TimePoint, TrialReport>> RecentCrashes_;
    std::size_t HomeIndex_ = 0;
    TimePoint ReattachesAt_{Duration::max()};
  };

  struct Attempt {
    RequestId Id_;
    RequestFingerprint Request_;
    std::size_t InstanceIndex_ = 0;
    std::size_t ServerIndex_ = 0;
    TimePoint EndsAt_;
  };

  std::size_t draw(std::size_t Count) {
    return std::uniform_int_distribution<std::size_t>(0, Count - 1)(Random_);
  }

  std::unique_ptr<HomeCoordinator> makeCoordinator() {
    auto Coordinator =
        std::make_unique<HomeCoordinator>(Directory_, RateLimitBounds());
    Coordinator->mergeRequestSuspects(Row_, Now_);
    return Coordinator;
  }

  static InstanceId nameOf(std::size_t Index) {
    return {"edge-" + std::to_string(Index)};
  }

  HomeCoordinator &homeOf(const Instance &Each) {
    return *Instances_[Each.HomeIndex_].Coordinator_;
  }

  /// Restarts a process. If it was the home, the next one follows, and the
  /// others notice it one by one.
  void kill(std::size_t Index) {
    Instances_[Index].Coordinator_ = makeCoordinator();
    Instances_[Index].Suspects_.clear();
    Instances_[Index].RecentCrashes_.clear();
    if (Index != HomeIndex_)
      return;
    HomeIndex_ = (HomeIndex_ + 1) % InstanceCount;
    for (Instance &Each : Instances_)
      Each.ReattachesAt_ = Now_ + std::chrono::milliseconds(draw(600));
  }

  void exchangeHeartbeats() {
    for (std::size_t I = 0; I != InstanceCount; ++I) {
      Instance &Each = Instances_[I];
      const bool Reattaches = Each.ReattachesAt_ <= Now_;
      if (!Reattaches && Each.ReattachesAt_ != TimePoint(Duration::max()))
        continue;
      HomeHeartbeat Message;
      Message.IsAttached_ = true;
      if (Reattaches) {
        Each.HomeIndex_ = HomeIndex_;
        Each.ReattachesAt_ = TimePoint(Duration::max());
        Message.RequestSuspects_ = Each.Suspects_;
      }
      homeOf(Each).onHeartbeat(nameOf(I), Message, Now_);
      for (const auto &[At, Report] : Each.RecentCrashes_)
        if (Reattaches && Now_ < At + 2s)
          homeOf(Each).onTrialReport(Report, Now_);
      Each.Suspects_ = homeOf(Each).requestQuarantine().suspects(Now_);
    }
    Row_.clear();
    const HomeCoordinator &Home = *Instances_[HomeIndex_].Coordinator_;
    for (const auto &Each : Home.requestQuarantine().suspects(Now_))
      if (Each.Crashes_ >= QuarantineCrashes)
        Row_.push_back(Each);
  }

  std::uint32_t knownCrashes(const Instance &Each,
                             const RequestFingerprint &Request) const {
    std::uint32_t Crashes =
        Each.Coordinator_->requestQuarantine().crashesOf(Request, Now_);
    for (const RequestSuspect &Suspect : Each.Suspects_)
      if (Suspect.Fingerprint_ == Request)
        Crashes = std::max(Crashes, Suspect.Crashes_);
    return Crashes;
  }

  /// Sends a new attempt if the home permits it.
  void start(const RequestFingerprint &Request) {
    const std::size_t Index = draw(InstanceCount);
    Instance &Sender = Instances_[Index];
    const RequestId Id = {"r" + std::to_string(++Count_)};
    const std::uint32_t Crashes = knownCrashes(Sender, Request);
    CrashAdmission Admission = CrashAdmission::Free;
    const bool IsHomeGone = Sender.ReattachesAt_ != TimePoint(Duration::max());
    if (Crashes >= SuspectCrashes && IsHomeGone)
      Admission = Crashes >= QuarantineCrashes ? CrashAdmission::Quarantined
                                               : CrashAdmission::Held;
    else if (Crashes >= SuspectCrashes)
      Admission = homeOf(Sender).admit({1, Id, Request}, Now_);
    if (Admission >= CrashAdmission::Held) {
      if (Request != Deadly && Admission == CrashAdmission::Quarantined)
        ++SoundQuarantined_;
      return;
    }
    const std::size_t Server = draw(ServerCount);
    const bool IsDeadly = Request == Deadly;
    if (Now_ < DownUntil_[Server]) {
      report({Id, Request, Index, Server, Now_}, TrialOutcome::Ended);
      return;
    }
    if (IsDeadly && Crashes_.size() >= 3 && Now_ > Crashes_[2] + DownTime)
      ++LateDeadly_;
    Running_.push_back({Id, Request, Index, Server,
                        Now_ + (IsDeadly ? DeadlyTime : SoundTime)});
  }

  void report(const Attempt &Each, TrialOutcome Outcome) {
    Instance &Sender = Instances_[Each.InstanceIndex_];
    const bool IsHomeGone = Sender.ReattachesAt_ != TimePoint(Duration::max());
    const bool IsDue = Outcome == TrialOutcome::Crashed ||
                       knownCrashes(Sender, Each.Request_) >= SuspectCrashes;
    if (!IsDue)
      return;
    // A server that is back has another id.
    const ServerId Server = {std::to_string(Each.ServerIndex_) + "/" +
                             std::to_string(Crashes_.size())};
    const TrialReport Report = {Each.Id_, Each.Request_, Outcome, Server};
    if (Outcome == TrialOutcome::Crashed)
      Sender.RecentCrashes_.emplace_back(Now_, Report);
    if (!IsHomeGone)
      homeOf(Sender).onTrialReport(Report, Now_);
  }

  void crash(std::size_t Server) {
    Crashes_.push_back(Now_);
    DownUntil_[Server] = Now_ + DownTime;
    std::erase_if(Running_, [this, Server](const Attempt &Each) {
      if (Each.ServerIndex_ != Server)
        return false;
      report(Each, TrialOutcome::Crashed);
      return true;
    });
  }

  void finish() {
    const std::vector<Attempt> Started = Running_;
    for (const Attempt &Each : Started) {
      const auto Found = std::find_if(
          Running_.begin(), Running_.end(),
          [&Each](const Attempt &Other) { return Other.Id_ == Each.Id_; });
      if (Found == Running_.end() || Now_ < Each.EndsAt_)
        continue;
      if (Each.Request_ == Deadly) {
        crash(Each.ServerIndex_);
        continue;
      }
      Running_.erase(Found);
      ++SoundServed_;
      report(Each, TrialOutcome::Answered);
    }
  }

  std::mt19937 Random_;
  BackendDirectory Directory_;
  TimePoint Now_{1000s};
  std::vector<RequestSuspect> Row_; ///< Of the store: what is quarantined.
  std::array<Instance, InstanceCount> Instances_;
  std::size_t HomeIndex_ = 0;
  std::array<TimePoint, ServerCount> DownUntil_{};
  std::vector<Attempt> Running_;
  int Count_ = 0;
};

} // namespace

TEST_CASE("A deadly request to a plain service stays within its budget",
          "[relay][budget]") {
  const auto Seed = GENERATE(range(1U, 41U));
  CAPTURE(Seed);
  BudgetPlay Play(Seed);
  SECTION("at several instances") {
    Play.run(false);
    CHECK(Play.LateDeadly_ <= 1);
    CHECK(Play.Crashes_.size() <= 5);
  }
  SECTION("also while homes are killed and instances are restarted") {
    Play.run(true);
    CHECK(Play.LateDeadly_ <= 3);
    CHECK(Play.Crashes_.size() <= 8);
  }
  CHECK(Play.SoundQuarantined_ == 0);
  CHECK(Play.SoundServed_ > 1000);
}

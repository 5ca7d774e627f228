#include "support/Deployment.h"

#include <algorithm>
#include <cmath>

namespace gooseberry::bench {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Spread of the prompts' lengths.
constexpr double PromptSigma = 0.6;
/// Longest prompt drawn, tokens.
constexpr double MaxPrompt = 30000;
/// Share of the prompts that begin with a document seen before.
constexpr double SharedShare = 0.3;
/// Documents of one organisation.
constexpr std::uint64_t Documents = 20;
/// Prefix steps of a shared document.
constexpr std::uint32_t SharedPrefixes = 8;

std::vector<ClassProfile> longWork(Duration FirstToken) {
  return {{"draft", {FirstToken, milliseconds(60), true}, seconds(60), 0.8},
          {"summary", {seconds(3), milliseconds(60), false}, seconds(20), 0.2}};
}

std::vector<ClassProfile> shortWork() {
  return {
      {"check", {milliseconds(770), milliseconds(40), false}, seconds(5), 1.0}};
}

} // namespace

Deployment makeQureshi() {
  return {"qureshi",
          4,
          8,
          {{{"drafting"}, 8, 4, 4000, 150, longWork(seconds(10))},
           {{"booking"}, 2, 2, 600, 60, shortWork()}}};
}

Deployment makeTesfaye() {
  return {"tesfaye",
          3,
          8,
          {{{"writing"}, 5, 3, 5000, 120, longWork(seconds(15))},
           {{"orders"}, 1, 2, 500, 50, shortWork()}}};
}

double ModelProfile::capacity(const EngineProfile &Profile) const {
  constexpr double Slots = 20;
  const double PrefillSeconds =
      asSeconds(Profile.PrefillBase_) +
      PromptTokens_ * asSeconds(Profile.PrefillPerToken_);
  const double Step =
      asSeconds(Profile.StepBase_) + Slots * asSeconds(Profile.StepPerRequest_);
  return std::min(Prefill_ / PrefillSeconds,
                  Decode_ * Slots / (OutputTokens_ * Step));
}

std::vector<EngineInfo> Deployment::engines() const {
  std::vector<EngineInfo> All;
  for (const ModelProfile &Model : Models_)
    for (std::uint32_t I = 0; I < Model.Prefill_ + Model.Decode_; ++I) {
      EngineInfo Info;
      Info.Engine_.Value_ = Model.Model_.Value_;
      Info.Engine_.Value_.append(":").append(std::to_string(I));
      Info.Role_ =
          I < Model.Prefill_ ? EngineRole::Prefill : EngineRole::Decode;
      Info.DataCentre_.Value_ = std::to_string(All.size() % DataCentres_);
      Info.Models_ = {Model.Model_};
      All.push_back(std::move(Info));
    }
  return All;
}

Arrival ArrivalSource::draw(std::uint32_t Model, std::uint32_t Organisation) {
  const ModelProfile &Profile = Of_.Models_[Model];
  std::lognormal_distribution<double> Prompt(std::log(Profile.PromptTokens_) -
                                                 PromptSigma * PromptSigma / 2,
                                             PromptSigma);
  std::uniform_real_distribution<double> Unit(0, 1);
  Arrival New;
  New.Organisation_ = Organisation;
  New.OutputTokens_ = static_cast<std::uint32_t>(
      std::max(1.0, Profile.OutputTokens_ * (0.5 + Unit(Random_))));
  GenerationSpec &Item = New.Work_;
  Item.Request_.Value_ = std::to_string(++Next_);
  Item.Organisation_.Value_ = std::to_string(Organisation);
  Item.Model_ = Profile.Model_;
  Item.PromptTokens_ =
      static_cast<std::uint32_t>(std::clamp(Prompt(Random_), 50.0, MaxPrompt));
  Item.MaxOutputTokens_ =
      static_cast<std::uint32_t>(Profile.OutputTokens_ * 1.5);
  const double Which = Unit(Random_);
  double Sum = 0;
  for (std::uint32_t I = 0; I < Model; ++I)
    New.Class_ += static_cast<std::uint32_t>(Of_.Models_[I].Classes_.size());
  for (const ClassProfile &Class : Profile.Classes_) {
    Item.Targets_ = Class.Targets_;
    Item.Deadline_ = TimePoint(Class.Deadline_);
    Sum += Class.Share_;
    if (Which < Sum)
      break;
    ++New.Class_;
  }
  const bool IsShared = Unit(Random_) < SharedShare;
  const std::uint64_t Document = Random_() % Documents;
  const std::uint32_t Steps = Item.PromptTokens_ / TokensPerPrefix;
  for (std::uint32_t I = 0; I < Steps; ++I)
    Item.PrefixHashes_.push_back(
        IsShared && I < SharedPrefixes
            ? (Organisation * Documents + Document) * 7919 * 1000003 + I * 31
            : Random_());
  return New;
}

Duration ArrivalSource::gap(double PerSecond) {
  std::exponential_distribution<double> Gap(PerSecond);
  return Duration(static_cast<Duration::rep>(Gap(Random_) * 1e6));
}

std::uint32_t ArrivalSource::instance(std::uint32_t Count) {
  // The balancer sends the first half of the instances twice as much.
  const std::uint64_t Drawn = Random_() % (3 * Count);
  const std::uint32_t Half = Count / 2;
  return static_cast<std::uint32_t>(Drawn < 2 * Count
                                        ? Drawn % std::max(Half, 1U)
                                        : Half + Drawn % (Count - Half));
}

} // namespace gooseberry::bench

#include "gbload/Profile.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace gooseberry {
namespace {

using std::chrono::milliseconds;

constexpr double SharedPromptBytes = 4096;
constexpr double ShortestOwnBytes = 1000;
constexpr double LongestOwnBytes = 16000;
constexpr std::uint64_t FewestTokens = 16;
constexpr std::uint64_t MostTokens = 64;
constexpr double StreamedPart = 0.8;
constexpr double RepeatedPart = 0.15;
constexpr int Places = 40;
constexpr double MicrosPerSecond = 1e6;

constexpr std::array<std::string_view, 12> Words = {
    "track ", "club ",  "rider ", "lamp ",  "brass ",  "session ",
    "slot ",  "glass ", "lap ",   "order ", "season ", "maker "};

std::string makeText(std::uint64_t Seed, double Bytes) {
  std::minstd_rand Random(static_cast<std::uint32_t>(Seed + 1));
  std::string Text;
  while (static_cast<double>(Text.size()) < Bytes)
    Text += Words[Random() % Words.size()];
  return Text;
}

const std::vector<WorkClass> &allClasses() {
  static const std::vector<WorkClass> All = {
      {"draft", WorkKind::Generate, "", 30, milliseconds(3000),
       milliseconds(100)},
      {"booking", WorkKind::Write, "booking", 12, milliseconds(2000), {}},
      {"deposit", WorkKind::Write, "deposit", 8, milliseconds(2000), {}},
      {"availability",
       WorkKind::Read,
       "availability",
       30,
       milliseconds(300),
       {}},
      {"stock", WorkKind::Read, "stock", 20, milliseconds(300), {}},
  };
  return All;
}

std::vector<double> sharesOf(const std::vector<WorkClass> &Classes) {
  std::vector<double> Shares;
  Shares.reserve(Classes.size());
  for (const auto &Class : Classes)
    Shares.push_back(Class.Share_);
  return Shares;
}

/// Organisations are uneven: the n-th has 1/n of the first one's share.
std::vector<double> sharesOf(const std::vector<CallerKey> &Keys,
                             double HeavyFactor) {
  std::vector<double> Shares;
  Shares.reserve(Keys.size());
  for (std::size_t I = 0; I < Keys.size(); ++I)
    Shares.push_back(1.0 / static_cast<double>(I + 1));
  Shares.front() *= HeavyFactor;
  return Shares;
}

template <typename T>
std::discrete_distribution<std::size_t> makeDraw(const T &Shares) {
  return {Shares.begin(), Shares.end()};
}

} // namespace

std::vector<WorkClass> makeClasses(const Cluster &Whole) {
  std::vector<WorkClass> Classes;
  for (const auto &Class : allClasses()) {
    const bool IsServed =
        Class.Kind_ == WorkKind::Generate ||
        std::ranges::any_of(Whole.Services_, [&](const auto &Service) {
          return Service.Kind_ == Class.ServiceKind_;
        });
    if (IsServed)
      Classes.push_back(Class);
  }
  return Classes;
}

Profile::Profile(const Cluster &Whole, const std::vector<WorkClass> &Classes,
                 std::uint64_t Seed, double HeavyFactor)
    : Cluster_(Whole), Classes_(Classes), Seed_(Seed), Random_(Seed),
      ClassDraw_(makeDraw(sharesOf(Classes))),
      OrganisationDraw_(makeDraw(sharesOf(Whole.Keys_, HeavyFactor))) {}

Work Profile::draw() {
  Work Made;
  ++Drawn_;
  Made.Class_ = ClassDraw_(Random_);
  Made.Organisation_ = OrganisationDraw_(Random_);
  Made.Instance_ = Random_() % Cluster_.Callers_.size();
  const auto &Class = Classes_[Made.Class_];
  if (Class.Kind_ == WorkKind::Generate)
    drawPrompt(Made);
  else
    drawService(Made, Class);
  return Made;
}

void Profile::drawPrompt(Work &Made) {
  std::uniform_real_distribution<double> Length(std::log(ShortestOwnBytes),
                                                std::log(LongestOwnBytes));
  std::uniform_int_distribution<std::uint64_t> Tokens(FewestTokens, MostTokens);
  Made.Target_ = "/v1/completions";
  Made.IsStreamed_ = std::bernoulli_distribution(StreamedPart)(Random_);
  Made.MaxTokens_ = Tokens(Random_);
  Made.Prompt_ = makeText(Made.Organisation_, SharedPromptBytes) +
                 std::to_string(Seed_) + "/" + std::to_string(Drawn_) + " " +
                 makeText(Random_(), std::exp(Length(Random_)));
}

void Profile::drawService(Work &Made, const WorkClass &Class) {
  std::vector<const RoutedService *> Fitting;
  for (const auto &Service : Cluster_.Services_) {
    if (Service.Kind_ == Class.ServiceKind_)
      Fitting.push_back(&Service);
  }
  const auto &Chosen = *Fitting[Random_() % Fitting.size()];
  Made.Target_ = Chosen.Prefix_;
  if (!Made.Target_.ends_with('/'))
    Made.Target_ += '/';
  Made.Target_ += std::to_string(Random_() % Places);
  if (Class.Kind_ != WorkKind::Write)
    return;
  Made.IsRepeated_ = std::bernoulli_distribution(RepeatedPart)(Random_);
  Made.IdempotencyKey_ =
      "load-" + std::to_string(Seed_) + "-" + std::to_string(Drawn_);
}

std::chrono::microseconds Profile::drawGap(double PerSecond) {
  std::exponential_distribution<double> Gap(PerSecond / MicrosPerSecond);
  return std::chrono::microseconds(static_cast<std::int64_t>(Gap(Random_)));
}

} // namespace gooseberry

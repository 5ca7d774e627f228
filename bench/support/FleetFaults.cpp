/// \file
/// Reports, faults and results of a run.
#include "support/FleetRun.h"

#include <algorithm>
#include <array>
#include <numeric>

namespace gooseberry::bench {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration TickInterval = milliseconds(10);
constexpr Duration ReportInterval = milliseconds(100);
constexpr Duration ReportLag = milliseconds(100);
constexpr Duration CacheInterval = milliseconds(200);
constexpr Duration FaultAt = seconds(20);
constexpr Duration WarmUp = seconds(5);
constexpr Duration DetectAfter = seconds(1);
constexpr Duration ReplaceAfter = seconds(5);
constexpr Duration EngineGoneAfter = seconds(3);
constexpr Duration SilentFor = seconds(2);
constexpr double StallingShare = 0.1;
/// One in so many cache reports is lost.
constexpr std::uint64_t CacheLoss = 10;

double worstOfMean(std::span<const double> Shares) {
  const double Sum = std::accumulate(Shares.begin(), Shares.end(), 0.0);
  const double Mean = Sum / static_cast<double>(Shares.size());
  return Mean > 0 ? *std::ranges::min_element(Shares) / Mean : 0;
}

} // namespace

std::string_view asName(Fault Which) {
  static constexpr std::array<std::string_view, FaultCount> Names = {
      "calm",       "engine_dies",       "transfer_stalls", "org_floods",
      "store_down", "instance_replaced", "silent",          "largest_gone"};
  return Names.at(static_cast<std::size_t>(Which));
}

void FleetRun::tick() {
  for (std::uint32_t I = 0; I < Instances_.size(); ++I) {
    DispatchActions Out;
    if (!Instances_[I].IsAlive_)
      continue;
    Instances_[I].Dispatcher_->tick(Loop_.now(), Out);
    perform(I, Out);
  }
  Loop_.after(TickInterval, [this] { tick(); });
}

void FleetRun::report() {
  const bool IsOracle = Options_.Policy_.IsOracle_;
  for (auto &[Name, Each] : Engines_) {
    if (Unlisted_.contains(Name))
      continue;
    LoadReport Seen = Each->report();
    Seen.Lag_ = IsOracle ? Duration::zero() : ReportLag;
    Loop_.after(Seen.Lag_, [this, Engine = Name, Seen] {
      for (std::uint32_t I = 0; I < Instances_.size(); ++I) {
        DispatchActions Out;
        if (!Instances_[I].IsAlive_)
          continue;
        Instances_[I].Dispatcher_->onLoad(Engine, Seen, Loop_.now(), Out);
        perform(I, Out);
      }
    });
  }
  Loop_.after(IsOracle ? TickInterval : ReportInterval, [this] { report(); });
}

void FleetRun::publishCaches() {
  std::uint64_t Turn =
      static_cast<std::uint64_t>((Loop_.now() - Begin_) / CacheInterval);
  for (auto &[Name, Each] : Engines_) {
    const std::vector<CacheEvent> Events = Each->takeCacheEvents();
    if (++Turn % CacheLoss == 0 || Unlisted_.contains(Name))
      continue;
    for (Instance &To : Instances_)
      if (To.IsAlive_)
        To.Dispatcher_->onCacheEvents(Name, Events);
  }
  Loop_.after(CacheInterval, [this] { publishCaches(); });
}

std::uint32_t FleetRun::homeIndex(const ModelId &Model) const {
  const Dispatcher &Any = *Instances_.front().Dispatcher_;
  return static_cast<std::uint32_t>(std::stoul(Any.homeOf(Model).Value_));
}

void FleetRun::scheduleFault() {
  const ModelProfile &Main = Options_.Deployment_.Models_.front();
  auto EngineName = [&](std::uint32_t Number) {
    BackendId Name{Main.Model_.Value_};
    Name.Value_.append(":").append(std::to_string(Number));
    return Name;
  };
  const BackendId Decode = EngineName(Main.Prefill_);
  const bool IsAlone = Options_.Deployment_.Instances_ == 1;
  switch (Options_.Fault_) {
  case Fault::EngineDies:
    Loop_.after(FaultAt, [this, Decode] {
      Unlisted_.insert(Decode);
      engine(Decode).die();
    });
    Loop_.after(FaultAt + EngineGoneAfter, [this, Decode] {
      for (Instance &Each : Instances_)
        Each.Dispatcher_->onEngineRemoved(Decode);
    });
    return;
  case Fault::TransferStalls:
    Loop_.after(FaultAt,
                [this, Decode] { engine(Decode).setStalling(StallingShare); });
    Loop_.after(2 * FaultAt, [this, Decode] { engine(Decode).setStalling(0); });
    return;
  case Fault::InstanceReplaced:
    if (!IsAlone)
      Loop_.after(FaultAt,
                  [this, &Main] { killInstance(homeIndex(Main.Model_)); });
    return;
  case Fault::SilentConnections:
    if (IsAlone)
      return;
    Loop_.after(FaultAt, [this, &Main] {
      const std::uint32_t Home = homeIndex(Main.Model_);
      for (std::uint32_t I = 0; I < Instances_.size(); I += 2)
        Silent_.insert({I, Home});
    });
    Loop_.after(FaultAt + SilentFor, [this] { Silent_.clear(); });
    return;
  default:
    // Callers' faults are in `rateOf`; nothing here uses the store.
    return;
  }
}

void FleetRun::killInstance(std::uint32_t Index) {
  Instances_[Index].IsAlive_ = false;
  for (auto &[Id, Of] : Requests_)
    if (Of.Instance_ == Index)
      end(Of, Outcome::Lost);
  Loop_.after(DetectAfter, [this, Index] {
    for (auto &[Id, Of] : Requests_)
      if (Of.Instance_ == Index)
        cancelOnEngines(Of);
    setMembers();
  });
  Loop_.after(ReplaceAfter, [this, Index] {
    addInstance(Index);
    setMembers();
  });
}

bool FleetRun::isMet(const Request &Of) const {
  const GenerationSpec &Item = Of.Arrival_.Work_;
  if (Of.Outcome_ != Outcome::Done)
    return false;
  const Duration First =
      std::chrono::duration_cast<Duration>(Of.FirstTokenAt_ - Item.Arrival_);
  const std::uint32_t Gaps = std::max(Of.Arrival_.OutputTokens_, 2U) - 1;
  const Duration Between =
      std::chrono::duration_cast<Duration>(Of.EndedAt_ - Of.FirstTokenAt_) /
      Gaps;
  return First <= Item.Targets_.FirstToken_ &&
         Between <= Item.Targets_.BetweenTokens_;
}

RunResult FleetRun::collect() const {
  RunResult Sum;
  const std::size_t Organisations = RefusedByRate_.size();
  std::vector<double> Offered(RefusedByRate_.begin(), RefusedByRate_.end());
  std::vector<double> Met(Organisations);
  for (const std::uint64_t Each : RefusedByRate_) {
    Sum.Offered_ += Each;
    Sum.Refused_ += Each;
  }
  for (const auto &[Id, Of] : Requests_) {
    if (Of.Arrival_.Work_.Arrival_ - Begin_ < WarmUp)
      continue;
    const bool IsMet = isMet(Of);
    ++Sum.Offered_;
    Sum.Met_ += IsMet ? 1 : 0;
    Sum.Refused_ += Of.Outcome_ == Outcome::Refused ? 1 : 0;
    Sum.Lost_ += Of.Outcome_ == Outcome::Lost ? 1 : 0;
    Sum.Late_ += Of.Outcome_ == Outcome::Done && !IsMet ? 1 : 0;
    Offered[Of.Arrival_.Organisation_] += 1;
    Met[Of.Arrival_.Organisation_] += IsMet ? 1 : 0;
  }
  std::vector<double> Shares;
  for (std::size_t I = 0; I < Organisations; ++I)
    Shares.push_back(Offered[I] > 0 ? Met[I] / Offered[I] : 1);
  Sum.WorstServed_ = worstOfMean(Shares);
  if (Options_.Fault_ == Fault::OrganisationFloods)
    Shares.erase(Shares.begin() + Flooding);
  Sum.WorstOther_ = worstOfMean(Shares);
  Sum.Goodput_ =
      static_cast<double>(Sum.Met_) / asSeconds(Options_.Length_ - WarmUp);
  double Computed = 0;
  double Wasted = 0;
  for (const auto &[Name, Each] : Engines_) {
    Computed += static_cast<double>(Each->computed());
    Wasted += static_cast<double>(Each->wasted());
  }
  Sum.WastedPrefill_ = Computed > 0 ? Wasted / Computed : 0;
  Sum.Messages_ = Messages_;
  Sum.WarmEngines_ = WarmEngines_;
  return Sum;
}

} // namespace gooseberry::bench

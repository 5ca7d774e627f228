/// \file
/// Time of a reservation, and bytes between ledgers against organisations and
/// instances, in virtual time.
#include "gooseberrybeam/limits/LimitLedger.h"
#include "gooseberrybeam/peers/PeerMessage.h"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <random>

namespace gooseberry {
namespace {

constexpr std::size_t Shards = 512;
/// Length prefix and HTTP/2 frame header of one message.
constexpr std::size_t FramingBytes = 13;
constexpr Limit Typical{1'000'000, 20'000'000};
constexpr Duration Step = std::chrono::milliseconds(1);
constexpr int StepsPerTick = 100;
constexpr int StepsPerSecond = 1000;
constexpr double RequestsPerInstance = 18;
constexpr std::int64_t TokensPerRequest = 500;

MemberId idOf(std::size_t At) {
  return {InstanceId{"instance-" + std::to_string(At)}, 1};
}

EpochDocument makeDocument(std::size_t Instances) {
  EpochDocument Document;
  Document.Epoch_ = 1;
  for (std::size_t I = 0; I < Instances; ++I)
    Document.Members_.push_back({idOf(I), "", {}, 1});
  for (std::size_t I = 0; I < Shards; ++I)
    Document.Shards_.push_back({idOf(I % Instances), 1});
  return Document;
}

/// \returns a part, in percent, of what an organisation asks for in all.
Limit makeLimit(std::size_t Instances, std::size_t Organisations,
                std::int64_t Percent) {
  const double Used = static_cast<double>(Instances) * RequestsPerInstance *
                      TokensPerRequest / static_cast<double>(Organisations);
  const auto Rate = static_cast<MilliTokens>(
      Used * MilliPerToken * static_cast<double>(Percent) / 100);
  constexpr MilliTokens BurstSeconds = 20;
  return {Rate, std::max(Typical.Burst_, BurstSeconds * Rate)};
}

/// Ledgers whose messages arrive one step after they were sent.
class Fleet {
public:
  Fleet(std::size_t Instances, std::size_t Organisations, std::int64_t Percent)
      : Organisations_(Organisations) {
    const EpochDocument Document = makeDocument(Instances);
    const Limit Total = makeLimit(Instances, Organisations, Percent);
    for (std::size_t I = 0; I < Instances; ++I) {
      Index_[idOf(I)] = I;
      Ledgers_.push_back(std::make_unique<LimitLedger>(idOf(I)));
      Ledgers_[I]->setLease(TimePoint::max());
      for (std::size_t O = 0; O < Organisations; ++O)
        Ledgers_[I]->setLimit(name(O), Total, 1, Now_);
      Ledgers_[I]->adoptEpoch(Document, Now_);
    }
  }

  void runSecond() {
    for (int I = 0; I < StepsPerSecond; ++I)
      step(I);
  }

  std::uint64_t Bytes_ = 0;
  std::uint64_t Messages_ = 0;
  std::uint64_t Requests_ = 0;

private:
  struct Sent {
    std::size_t From_;
    std::size_t To_;
    LimitMessage Message_;
  };

  static OrganisationId name(std::size_t At) {
    return {"organisation-" + std::to_string(At)};
  }

  void step(int Number) {
    Now_ += Step;
    std::deque<Sent> Arriving;
    Arriving.swap(OnTheWay_);
    for (const Sent &Each : Arriving) {
      Ledgers_[Each.To_]->receive(idOf(Each.From_), Each.Message_, Now_);
      carryOut(Each.To_);
    }
    for (std::size_t I = 0; I < Ledgers_.size(); ++I) {
      const bool IsTick =
          Number % StepsPerTick == static_cast<int>(I % StepsPerTick);
      if (IsTick) {
        Ledgers_[I]->tick(Now_);
        carryOut(I);
      }
      if (Chance_(Random_) < RequestsPerInstance / StepsPerSecond)
        request(I);
    }
  }

  void request(std::size_t At) {
    ++Requests_;
    const OrganisationId Id = name(Random_() % Organisations_);
    const ReserveOutcome Outcome = Ledgers_[At]->reserve(
        Id, TokensPerRequest, Now_, Now_ + std::chrono::milliseconds(500));
    if (const auto *Taken = std::get_if<LimitReserved>(&Outcome))
      Ledgers_[At]->settle(Taken->Id_, TokensPerRequest, Now_);
    carryOut(At);
  }

  void carryOut(std::size_t At) {
    for (LimitAction &Action : Ledgers_[At]->takeActions(Now_)) {
      if (const auto *Granted = std::get_if<ReservationGranted>(&Action))
        Ledgers_[At]->settle(Granted->Id_, TokensPerRequest, Now_);
      auto *Send = std::get_if<SendLimitMessage>(&Action);
      if (Send == nullptr)
        continue;
      ++Messages_;
      Bytes_ += encodePeerMessage(Send->Message_).size() + FramingBytes;
      OnTheWay_.push_back(
          {At, Index_.at(Send->Recipient_), std::move(Send->Message_)});
    }
  }

  TimePoint Now_ = TimePoint(std::chrono::hours(1));
  std::mt19937_64 Random_{1};
  std::uniform_real_distribution<double> Chance_{0, 1};
  std::size_t Organisations_;
  std::unordered_map<MemberId, std::size_t> Index_;
  std::vector<std::unique_ptr<LimitLedger>> Ledgers_;
  std::deque<Sent> OnTheWay_;
};

/// Arguments: instances, organisations, limit in percent of what is asked for.
void bytesPerInstance(benchmark::State &State) {
  const auto Instances = static_cast<std::size_t>(State.range(0));
  Fleet Ledgers(Instances, static_cast<std::size_t>(State.range(1)),
                State.range(2));
  double Seconds = 0;
  for (auto _ : State) {
    Ledgers.runSecond();
    Seconds += 1;
  }
  const double InstanceSeconds = Seconds * static_cast<double>(Instances);
  State.counters["bytes_per_instance_s"] =
      static_cast<double>(Ledgers.Bytes_) / InstanceSeconds;
  State.counters["messages_per_instance_s"] =
      static_cast<double>(Ledgers.Messages_) / InstanceSeconds;
  State.counters["requests_per_instance_s"] =
      static_cast<double>(Ledgers.Requests_) / InstanceSeconds;
}
BENCHMARK(bytesPerInstance)
    ->Iterations(10)
    ->Unit(benchmark::kMillisecond)
    ->Args({8, 10, 200})
    ->Args({8, 10, 14})
    ->Args({8, 2700, 200})
    ->Args({32, 2700, 200})
    ->Args({128, 270, 200})
    ->Args({128, 2700, 200})
    ->Args({320, 2700, 200});

/// Argument: organisations. One instance that is home of all.
void reserveAndSettle(benchmark::State &State) {
  const auto Organisations = static_cast<std::size_t>(State.range(0));
  LimitLedger Ledger(idOf(0));
  TimePoint Now(std::chrono::hours(1));
  Ledger.setLease(TimePoint::max());
  std::vector<OrganisationId> Names;
  Names.reserve(Organisations);
  for (std::size_t I = 0; I < Organisations; ++I) {
    Names.push_back({"organisation-" + std::to_string(I)});
    Ledger.setLimit(Names.back(), Typical, 1, Now);
  }
  Ledger.adoptEpoch(makeDocument(1), Now);
  std::size_t Next = 0;
  for (auto _ : State) {
    Now += std::chrono::milliseconds(1);
    Next = (Next + 7919) % Organisations;
    const ReserveOutcome Outcome = Ledger.reserve(Names[Next], 1, Now, Now);
    if (const auto *Taken = std::get_if<LimitReserved>(&Outcome))
      Ledger.settle(Taken->Id_, 1, Now);
    benchmark::DoNotOptimize(Outcome);
  }
}
BENCHMARK(reserveAndSettle)->Arg(270)->Arg(2700)->Arg(27000);

} // namespace
} // namespace gooseberry

BENCHMARK_MAIN();

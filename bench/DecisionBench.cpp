/// \file
/// Time and allocations of one choice, by the number of engines; throughput of
/// several threads, each with a dispatcher of its own.
#include "gooseberrybeam/routing/CostPairStrategy.h"
#include "gooseberrybeam/routing/Dispatcher.h"
#include "support/AllocationCounter.h"

#include <benchmark/benchmark.h>

using namespace gooseberry;

namespace {

constexpr Duration Millisecond = std::chrono::milliseconds(1);
/// Prefix steps of the measured prompt, 4,000 tokens long.
constexpr std::uint64_t Prefixes = 16;
/// Decodes booked on each decode engine before.
constexpr std::uint64_t Booked = 10;

EngineInfo engineOf(std::int64_t Index) {
  EngineInfo Info;
  Info.Engine_.Value_ = std::to_string(Index);
  Info.Role_ = Index % 3 == 0 ? EngineRole::Decode : EngineRole::Prefill;
  Info.DataCentre_.Value_ = std::to_string(Index % 14);
  Info.Models_ = {{"model"}};
  return Info;
}

GenerationSpec workOf(std::uint64_t Number, TimePoint Now) {
  GenerationSpec Item;
  Item.Request_.Value_ = std::to_string(Number);
  Item.Organisation_ = {"organisation"};
  Item.Model_ = {"model"};
  Item.PromptTokens_ = 4000;
  Item.MaxOutputTokens_ = 200;
  Item.Arrival_ = Now;
  Item.Deadline_ = Now + 10000 * Millisecond;
  for (std::uint64_t I = 0; I < Prefixes; ++I)
    Item.PrefixHashes_.push_back(Number % 100 * 1000003 + I * 7919);
  return Item;
}

void choosePair(benchmark::State &State) {
  const TimePoint Now(std::chrono::hours(1));
  EngineFleet Fleet;
  PrefixIndex Index;
  for (std::int64_t I = 0; I < State.range(0); ++I) {
    EngineView &Engine = Fleet.at(Fleet.put(engineOf(I)));
    const bool IsDecode = Engine.info().Role_ == EngineRole::Decode;
    for (std::uint64_t B = 0; IsDecode && B < Booked; ++B)
      Engine.reserveDecode({B, 3, Now + 1000 * Millisecond, true});
  }
  const GenerationSpec Item = workOf(1, Now);
  for (const std::uint64_t Prefix : Item.PrefixHashes_)
    Index.store(Prefix, 1);
  CostPairStrategy Strategy({});
  const EnginePool &Pool = Fleet.poolOf({"model"});
  const std::uint64_t Before = bench::allocations();
  for (auto _ : State)
    benchmark::DoNotOptimize(Strategy.choose({Item, Fleet, Pool, Index, Now}));
  State.counters["allocations"] =
      benchmark::Counter(static_cast<double>(bench::allocations() - Before),
                         benchmark::Counter::kAvgIterations);
}
BENCHMARK(choosePair)->Arg(20)->Arg(200)->Arg(2200);

/// One request from its submission to its end, all events included.
void wholeRequest(benchmark::State &State) {
  DispatchOptions Options;
  Options.Self_ = {"i"};
  Options.Mode_ = PlacementMode::Local;
  Dispatcher Instance(Options);
  for (std::int64_t I = 0; I < State.range(0); ++I)
    Instance.onEngineAvailable(engineOf(I));
  TimePoint Now(std::chrono::hours(1));
  std::uint64_t Number = 0;
  DispatchActions Out;
  const std::uint64_t Before = bench::allocations();
  for (auto _ : State) {
    Now += Millisecond;
    GenerationSpec Item = workOf(++Number, Now);
    const RequestId Request = Item.Request_;
    Out.clear();
    Instance.submit(std::move(Item), Now, Out);
    for (const ProgressKind Kind :
         {ProgressKind::PrefillDone, ProgressKind::Imported,
          ProgressKind::DecodeDone})
      Instance.onProgress({Request, Kind, 200, Millisecond}, Now, Out);
    benchmark::DoNotOptimize(Out.data());
  }
  State.SetItemsProcessed(State.iterations());
  State.counters["allocations"] =
      benchmark::Counter(static_cast<double>(bench::allocations() - Before),
                         benchmark::Counter::kAvgIterations);
}
BENCHMARK(wholeRequest)->Arg(20)->Arg(200)->Arg(2200);
BENCHMARK(wholeRequest)
    ->Arg(200)
    ->Threads(1)
    ->Threads(2)
    ->Threads(4)
    ->Threads(8)
    ->UseRealTime();

} // namespace

BENCHMARK_MAIN();

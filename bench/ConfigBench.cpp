// Costs of configuration snapshots against the number of organisations.
#include "gooseberrybeam/config/Configuration.h"
#include "gooseberrybeam/config/SnapshotCell.h"

#include <benchmark/benchmark.h>

using namespace gooseberry;

namespace {

std::string nameOf(int Index) {
  return "organisation-" + std::to_string(Index);
}

Configuration makeConfiguration(int Organisations) {
  ConfigDelta Delta;
  for (int I = 0; I < Organisations; ++I) {
    Organisation Value;
    Value.Name_.Value_ = nameOf(I);
    const KeyGrant Grant{hashKey(nameOf(I)), Value.Name_};
    Delta.push_back({refOf(Value), Value});
    Delta.push_back({refOf(Grant), Grant});
  }
  return Configuration().withChanges(Delta, 1);
}

void deriveSnapshot(benchmark::State &State) {
  const auto Count = static_cast<int>(State.range(0));
  Configuration Config = makeConfiguration(Count);
  int Next = 0;
  for (auto _ : State) {
    Organisation Value;
    Value.Name_.Value_ = nameOf(Next++ % Count);
    const ConfigDelta Delta = {{refOf(Value), Value}};
    Config = Config.withChanges(Delta, Config.revision() + 1);
  }
}
BENCHMARK(deriveSnapshot)->Arg(1000)->Arg(9000)->Arg(27000);

void buildWhole(benchmark::State &State) {
  for (auto _ : State)
    benchmark::DoNotOptimize(
        makeConfiguration(static_cast<int>(State.range(0))));
}
BENCHMARK(buildWhole)
    ->Arg(1000)
    ->Arg(9000)
    ->Arg(27000)
    ->Unit(benchmark::kMillisecond);

void lookUpKey(benchmark::State &State) {
  const auto Count = static_cast<int>(State.range(0));
  const Configuration Config = makeConfiguration(Count);
  std::vector<KeyHash> Hashes;
  Hashes.reserve(static_cast<std::size_t>(Count));
  for (int I = 0; I < Count; ++I)
    Hashes.push_back(hashKey(nameOf(I)));
  std::size_t Next = 0;
  for (auto _ : State)
    benchmark::DoNotOptimize(
        Config.findOrganisationOfKey(Hashes[Next++ * 7919 % Hashes.size()]));
}
BENCHMARK(lookUpKey)->Arg(1000)->Arg(9000)->Arg(27000);

void hashPresentedKey(benchmark::State &State) {
  const std::string Key(40, 'k');
  for (auto _ : State)
    benchmark::DoNotOptimize(hashKey(Key));
}
BENCHMARK(hashPresentedKey);

SnapshotCell<Configuration> SharedCell{std::make_shared<const Configuration>()};

void readCell(benchmark::State &State) {
  for (auto _ : State)
    benchmark::DoNotOptimize(SharedCell.read());
}
BENCHMARK(readCell)->Threads(1)->Threads(2)->Threads(4);

void publishCell(benchmark::State &State) {
  for (auto _ : State)
    SharedCell.publish(std::make_shared<const Configuration>());
}
BENCHMARK(publishCell);

} // namespace

BENCHMARK_MAIN();

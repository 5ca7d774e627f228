/// \file
/// Measures what one instance adds and uses.
#ifndef TOOLS_GBLOAD_INSTANCEBENCH_H
#define TOOLS_GBLOAD_INSTANCEBENCH_H

#include "gbload/CallerPool.h"
#include "gbload/Cluster.h"
#include "gbload/ProcessUsage.h"
#include "gbload/Tally.h"

namespace gooseberry {

/// Measures the first instance of a cluster: added latency, requests and
/// tokens for a second of processor time, memory for an open stream.
class InstanceBench {
public:
  /// \param Context where it runs.
  /// \param Whole a cluster with an availability service; outlives the bench.
  /// \param Pid process of the first instance.
  InstanceBench(asio::io_context &Context, const Cluster &Whole,
                std::int64_t Pid)
      : Context_(Context), Cluster_(Whole), Pid_(Pid) {}

  /// Runs all measurements and prints a line for each figure.
  asio::awaitable<void> run();

private:
  using Clock = std::chrono::steady_clock;
  using Stopped = Clock::time_point;

  asio::awaitable<void> measureLatency();
  asio::awaitable<void> measureRequests();
  asio::awaitable<void> measureStreams();
  asio::awaitable<void> measureMemory();
  asio::awaitable<void> check(std::string Address, std::string Target);
  asio::awaitable<void> checkUntil(Stopped End);
  asio::awaitable<void> streamUntil(std::size_t Caller, Stopped End);
  asio::awaitable<void> stream(std::string Prompt);
  asio::awaitable<void> awaitOpen();
  void spawn(asio::awaitable<void> Part);
  ProcessUsage usage() const;

  asio::io_context &Context_;
  const Cluster &Cluster_;
  std::int64_t Pid_;
  CallerPool Pool_;
  std::uint64_t Open_ = 0;
  std::uint64_t Requests_ = 0;
  std::uint64_t Tokens_ = 0;
  std::uint64_t Failures_ = 0;
};

} // namespace gooseberry

#endif // TOOLS_GBLOAD_INSTANCEBENCH_H

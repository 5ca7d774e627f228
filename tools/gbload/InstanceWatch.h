/// \file
/// The balancer's view of the instances.
#ifndef TOOLS_GBLOAD_INSTANCEWATCH_H
#define TOOLS_GBLOAD_INSTANCEWATCH_H

#include "common/Net.h"
#include "gbload/Cluster.h"

#include <vector>

namespace gooseberry {

/// Polls `/readyz` of every instance, as a balancer does.
class InstanceWatch {
public:
  /// \param Context where it polls.
  /// \param Whole the cluster; outlives the watch.
  InstanceWatch(asio::io_context &Context, const Cluster &Whole)
      : Context_(Context), Cluster_(Whole),
        IsReady_(Whole.Callers_.size(), true) {}

  /// Starts to poll.
  void start();

  /// Ends polling.
  void stop() { IsStopped_ = true; }

  /// \param Wanted index of an instance.
  /// \returns \p Wanted if it is ready, else the next one that is; \p Wanted
  ///   if none is.
  std::size_t choose(std::size_t Wanted) const;

private:
  asio::awaitable<void> poll(std::size_t Index);
  asio::awaitable<bool> isReady(std::size_t Index);

  asio::io_context &Context_;
  const Cluster &Cluster_;
  std::vector<bool> IsReady_;
  bool IsStopped_ = false;
};

} // namespace gooseberry

#endif // TOOLS_GBLOAD_INSTANCEWATCH_H

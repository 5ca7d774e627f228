/// \file
/// Runs the prefills of a stand-in engine, one after another.
#ifndef TOOLS_STANDIN_ENGINE_PREFILLWORKER_H
#define TOOLS_STANDIN_ENGINE_PREFILLWORKER_H

#include "standin_engine/KvStore.h"
#include "standin_engine/PrefillQueue.h"
#include "standin_engine/PrefixCache.h"

namespace gooseberry {

/// Takes prefills from a queue, holds memory for each and computes it.
class PrefillWorker {
public:
  /// \param Context where it runs.
  /// \param Memory where KV is held.
  /// \param Cache prefix cache.
  /// \param UsPerToken microseconds for each token that is not cached.
  PrefillWorker(asio::io_context &Context, KvStore &Memory, PrefixCache &Cache,
                double UsPerToken)
      : Context_(Context), Memory_(Memory), Cache_(Cache),
        UsPerToken_(UsPerToken) {}

  /// Runs a job in its turn.
  /// \param Job the job; its end says how it went.
  asio::awaitable<void> perform(std::shared_ptr<PrefillJob> Job);

  /// Cancels a request's jobs, also the running one.
  /// \param Request the request.
  void cancel(std::string_view Request);

  /// \param Request a request.
  /// \returns whether it waits for its turn.
  bool isWaiting(std::string_view Request) const {
    return Queue_.isWaiting(Request);
  }

  /// \returns tokens waiting or running.
  std::uint64_t queuedTokens() const { return Queue_.tokens() + Running_; }

  std::uint64_t computedTokens() const { return Computed_; }
  std::uint64_t cachedTokens() const { return Cached_; }

  /// \param Factor by which prefills take longer from now on.
  void setSlowdown(double Factor) { Slowdown_ = Factor; }

private:
  asio::awaitable<void> run();
  asio::awaitable<void> compute(PrefillJob &Job);
  bool reserve(PrefillJob &Job);

  asio::io_context &Context_;
  KvStore &Memory_;
  PrefixCache &Cache_;
  double UsPerToken_;
  double Slowdown_ = 1;
  PrefillQueue Queue_;
  std::shared_ptr<PrefillJob> Current_;
  bool IsRunning_ = false;
  std::uint64_t Running_ = 0;
  std::uint64_t Computed_ = 0;
  std::uint64_t Cached_ = 0;
};

} // namespace gooseberry

#endif // TOOLS_STANDIN_ENGINE_PREFILLWORKER_H

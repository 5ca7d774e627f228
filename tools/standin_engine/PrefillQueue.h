/// \file
/// Prefill queue of a stand-in engine.
#ifndef TOOLS_STANDIN_ENGINE_PREFILLQUEUE_H
#define TOOLS_STANDIN_ENGINE_PREFILLQUEUE_H

#include "common/Net.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace gooseberry {

/// How a prefill ended.
enum class PrefillEnd : std::uint8_t { Waiting, Done, Cancelled, NoMemory };

/// One prefill, waiting or running.
struct PrefillJob {
  explicit PrefillJob(const asio::any_io_executor &Executor)
      : Wake_(Executor) {}

  std::string Request_;
  std::string Holder_;
  std::string Model_;
  std::string Prompt_;
  std::uint64_t Generated_ = 0; ///< Tokens of an earlier decode to redo.
  std::uint64_t Cached_ = 0;    ///< Tokens found in the prefix cache.
  std::string Kv_;              ///< Set when it runs.
  double Priority_ = 0;         ///< Smaller runs sooner.
  std::chrono::steady_clock::time_point Deadline_ =
      std::chrono::steady_clock::time_point::max();
  PrefillEnd End_ = PrefillEnd::Waiting;
  asio::steady_timer Wake_;
};

/// Orders prefills by priority, then by arrival.
class PrefillQueue {
public:
  /// Adds a job.
  /// \param Job the job.
  void push(std::shared_ptr<PrefillJob> Job);

  /// \returns the next job, or null.
  std::shared_ptr<PrefillJob> pop();

  /// \param Request a request.
  /// \returns whether it waits here.
  bool isWaiting(std::string_view Request) const;

  /// Cancels a request's jobs.
  /// \param Request the request.
  void cancel(std::string_view Request);

  /// \returns tokens of all prompts that wait.
  std::uint64_t tokens() const;

  /// \returns whether nothing waits.
  bool isEmpty() const { return Jobs_.empty(); }

private:
  std::vector<std::shared_ptr<PrefillJob>> Jobs_;
};

} // namespace gooseberry

#endif // TOOLS_STANDIN_ENGINE_PREFILLQUEUE_H

/// \file
/// Sends requests and checks their answers.
#ifndef TOOLS_GBLOAD_WORKRUNNER_H
#define TOOLS_GBLOAD_WORKRUNNER_H

#include "gbload/Answer.h"
#include "gbload/CallerPool.h"
#include "gbload/Cluster.h"
#include "gbload/Work.h"

namespace gooseberry {

/// Sends one request at a time for each coroutine that calls it.
class WorkRunner {
public:
  /// \param Whole the cluster; outlives the runner.
  /// \param Limit time after which a request is given up.
  WorkRunner(const Cluster &Whole, std::chrono::milliseconds Limit)
      : Cluster_(Whole), Limit_(Limit) {}

  /// Sends a request and reads its answer to the end.
  /// \param Sent the request; outlives the call.
  /// \param Kind what it does.
  /// \returns what came of it.
  asio::awaitable<Answer> run(const Work &Sent, WorkKind Kind);

private:
  using Clock = std::chrono::steady_clock;

  LineClient::Request makeCall(const Work &Sent, WorkKind Kind) const;
  asio::awaitable<void> readAnswer(LineClient &Client, const Work &Sent,
                                   WorkKind Kind, unsigned Status,
                                   Answer &Result);
  asio::awaitable<void> readStream(LineClient &Client, const Work &Sent,
                                   Clock::time_point Start, Answer &Result);

  const Cluster &Cluster_;
  std::chrono::milliseconds Limit_;
  CallerPool Pool_;
};

} // namespace gooseberry

#endif // TOOLS_GBLOAD_WORKRUNNER_H

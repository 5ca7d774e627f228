/// \file
/// A plain service that books and answers stock checks.
#ifndef TOOLS_STANDIN_SERVICE_SERVICEHANDLER_H
#define TOOLS_STANDIN_SERVICE_SERVICEHANDLER_H

#include "common/StandinServer.h"

#include <map>
#include <string>

namespace gooseberry {

/// Carries out every request that is no GET, and records each execution.
class ServiceHandler : public StandinHandler {
public:
  /// \param WorkTime time that one request takes.
  explicit ServiceHandler(std::chrono::milliseconds WorkTime)
      : WorkTime_(WorkTime) {}

private:
  using Counts = std::map<std::string, std::uint64_t, std::less<>>;

  asio::awaitable<void> onRequest(Exchange &Call) override;
  boost::json::object onState() const override;
  boost::json::value execute(const Exchange &Call);

  std::chrono::milliseconds WorkTime_;
  std::uint64_t Executions_ = 0;
  std::uint64_t Reads_ = 0;
  Counts ByIdempotencyKey_;
  Counts ByRequest_;
};

} // namespace gooseberry

#endif // TOOLS_STANDIN_SERVICE_SERVICEHANDLER_H

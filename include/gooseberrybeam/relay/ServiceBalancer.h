/// \file
/// Balances the requests of one instance over the backend servers of a service.
#ifndef GOOSEBERRYBEAM_RELAY_SERVICEBALANCER_H
#define GOOSEBERRYBEAM_RELAY_SERVICEBALANCER_H

#include "gooseberrybeam/base/Time.h"
#include "gooseberrybeam/relay/BackendEntry.h"
#include "gooseberrybeam/relay/LeastCostChoice.h"
#include "gooseberrybeam/relay/LoadEstimates.h"

#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace gooseberry {

/// The outcome of an attempt on a backend server.
enum class AttemptOutcome : std::uint8_t {
  Answered,    ///< A complete answer that is not a server error.
  ServerError, ///< A complete answer that is a server error.
  Rejected,    ///< The server stated that it did not run the request.
  Broken,      ///< No complete answer.
  Abandoned,   ///< The caller disconnected; no evidence about the server.
};

/// \param Outcome an outcome.
/// \returns its `snake_case` code, used in logs and metric labels.
constexpr std::string_view asCode(AttemptOutcome Outcome) {
  constexpr std::string_view Codes[] = {"answered", "server_error", "rejected",
                                        "broken", "abandoned"};
  return Codes[static_cast<std::size_t>(Outcome)];
}

/// Chooses the server with the least expected wait. Servers are scored by their
/// answers and by the age of the oldest unanswered request, so that a slow,
/// silent or failing server loses its share of requests even if its health
/// check succeeds. This handles servers of plain services that degrade without
/// notice.
/// With load estimates of the home, the attempts of other instances count too.
class ServiceBalancer {
public:
  ServiceBalancer();
  /// \param EstimateChoice chooses while there are estimates; not null.
  /// \param MaxEstimateAge the time after which estimates are not used.
  ServiceBalancer(std::unique_ptr<ServerChoice> EstimateChoice,
                  Duration MaxEstimateAge);

  /// \param Candidates the servers that may be used; not empty.
  /// \param LocalDataCentre the data centre of this instance.
  /// \param Now the current time.
  /// \returns a candidate. Without estimates that are recent and include one of
  /// the candidates, it is one with the least expected wait, and candidates
  /// with similar costs take turns.
  const BackendEntry &choose(std::span<const BackendEntry *const> Candidates,
                             const DataCentreId &LocalDataCentre,
                             TimePoint Now);

  /// Records the start of an attempt.
  /// \param Server the server of the attempt.
  /// \param Now the current time.
  void onStart(const ServerId &Server, TimePoint Now);
  /// Records the end of an attempt.
  /// \param Server the server of the attempt.
  /// \param StartTime the time that was passed to `onStart`.
  /// \param Now the current time.
  void onEnd(const ServerId &Server, TimePoint StartTime,
             AttemptOutcome Outcome, TimePoint Now);
  /// \returns the load of the servers with attempts in flight now or since the
  /// last call. Answers and failures are counted anew afterwards.
  std::vector<ServerLoadReport> takeReports();
  /// \param Estimates the latest estimates of the home; null for none.
  void setEstimates(std::shared_ptr<const LoadEstimates> Estimates) {
    Estimates_ = std::move(Estimates);
  }
  /// Removes the state of servers that are gone and have no attempt in flight.
  /// \param IsRegistered returns whether a server id is still registered.
  template <typename Predicate> void retainIf(Predicate IsRegistered) {
    std::erase_if(Loads_, [&](const auto &Each) {
      return Each.second.StartTimes_.empty() && !IsRegistered(Each.first);
    });
  }

private:
  struct ServerLoad {
    std::multiset<TimePoint> StartTimes_; ///< Attempts in flight.
    double MeanAnswerMs_ = 0; ///< Smoothed answer time; 0 before any sample.
    double FailureRate_ = 0;  ///< Smoothed share of failed attempts, in [0, 1].
    TimePoint UpdatedAt_{Duration::zero()};
    TimePoint AvoidUntil_{Duration::zero()};
    std::uint32_t ReportedInFlight_ = 0; ///< In the last report.
    /// Since the last report.
    std::uint32_t Answers_ = 0;
    double AnswerMsSum_ = 0;
    std::uint32_t Failures_ = 0;
    bool WasUsed_ = false; ///< An attempt has started since the last report.
  };

  double bestAnswerMs(std::span<const BackendEntry *const> Candidates) const;
  ServerCandidate describe(const BackendEntry &Server, double BestMs,
                           const DataCentreId &LocalDataCentre,
                           TimePoint Now) const;
  void addEstimate(const ServerId &Server, ServerCandidate &Candidate,
                   TimePoint Now) const;
  void countForReport(ServerLoad &Load, AttemptOutcome Outcome,
                      double ElapsedMs);

  std::unordered_map<ServerId, ServerLoad> Loads_;
  LeastCostChoice LeastCost_;
  std::unique_ptr<ServerChoice> EstimateChoice_;
  Duration MaxEstimateAge_;
  std::shared_ptr<const LoadEstimates> Estimates_;
};

/// Estimates that were received longer ago are not used.
inline constexpr Duration MaxLoadEstimateAge = std::chrono::seconds(1);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_SERVICEBALANCER_H

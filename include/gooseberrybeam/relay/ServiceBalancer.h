/// \file
/// Spreads the requests of one instance over the backend servers of a service.
#ifndef GOOSEBERRYBEAM_RELAY_SERVICEBALANCER_H
#define GOOSEBERRYBEAM_RELAY_SERVICEBALANCER_H

#include "gooseberrybeam/base/Time.h"
#include "gooseberrybeam/relay/BackendEntry.h"

#include <optional>
#include <set>
#include <span>
#include <unordered_map>

namespace gooseberry {

/// How an attempt at a backend server ended.
enum class AttemptOutcome : std::uint8_t {
  Answered,    ///< A whole answer that is no server error.
  ServerError, ///< A whole answer that is a server error.
  Rejected,    ///< The server said that it did not run the request.
  Broken,      ///< No whole answer.
  Abandoned,   ///< The caller left; says nothing of the server.
};

/// Chooses by expected wait. Servers are judged by their answers and by how
/// long the oldest unanswered request has waited, so that one that is slow,
/// silent or failing loses its share whatever its health check says. Answers
/// the load of plain services whose servers degrade unannounced.
class ServiceBalancer {
public:
  /// \param Candidates servers that may be used; not empty.
  /// \param LocalDataCentre the data centre of this instance.
  /// \param Now the clock.
  /// \returns the candidate with the least expected wait.
  const BackendEntry &choose(std::span<const BackendEntry *const> Candidates,
                             const DataCentreId &LocalDataCentre,
                             TimePoint Now);

  /// Notes an attempt.
  /// \param Server where it was sent.
  /// \param Now the clock.
  void onStart(const ServerId &Server, TimePoint Now);
  /// Notes the end of an attempt.
  /// \param Server where it was sent.
  /// \param StartTime when.
  /// \param Outcome how it ended.
  /// \param Now the clock.
  void onEnd(const ServerId &Server, TimePoint StartTime,
             AttemptOutcome Outcome, TimePoint Now);
  /// Forgets servers that are gone.
  /// \param IsRegistered tells whether a server is still registered.
  template <typename Predicate> void retainIf(Predicate IsRegistered) {
    std::erase_if(Loads_, [&](const auto &Each) {
      return Each.second.StartTimes_.empty() && !IsRegistered(Each.first);
    });
  }

private:
  struct ServerLoad {
    std::multiset<TimePoint> StartTimes_; ///< Attempts without an end.
    double MeanAnswerMs_ = 0; ///< Smoothed time to an answer; 0 before any.
    double FailureRate_ = 0;  ///< Smoothed share of failed attempts.
    TimePoint UpdatedAt_{Duration::zero()};
    TimePoint AvoidUntil_{Duration::zero()};
  };

  double bestAnswerMs(std::span<const BackendEntry *const> Candidates) const;
  double costOf(const BackendEntry &Server, double BestMs,
                const DataCentreId &LocalDataCentre, TimePoint Now) const;

  std::unordered_map<ServerId, ServerLoad> Loads_;
  std::uint64_t RoundRobinIndex_ = 0;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_SERVICEBALANCER_H

/// \file
/// Keeps backend servers within their limits, at a home.
#ifndef GOOSEBERRYBEAM_RELAY_SERVERLIMITLEDGER_H
#define GOOSEBERRYBEAM_RELAY_SERVERLIMITLEDGER_H

#include "gooseberrybeam/base/Time.h"
#include "gooseberrybeam/relay/ServerLimit.h"

#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace gooseberry {

/// One token bucket for each server that states a limit or is cold; the smaller
/// rate holds. All requests to such a server take a token from the home, so
/// that the instances together stay within the limit however unevenly callers
/// are spread over them. A home that some instances have not attached to grants
/// only the others' part, so that two homes at a time grant no more than one.
class ServerLimitLedger {
public:
  /// \param Attached the number of instances whose home this is.
  /// \param All the number of all instances; at least 1.
  void setInstanceCounts(std::size_t Attached, std::size_t All);

  /// Records the limit that a server states.
  /// \param Server the server.
  /// \param RequestsPerSecond its limit; none if it states none any more.
  /// \param Now the current time.
  void onLimit(const ServerId &Server, std::optional<double> RequestsPerSecond,
               TimePoint Now);
  /// Records the limit of a server that is cold.
  /// \param Server the server.
  /// \param RequestsPerSecond its limit; none if it is warm or not limited.
  /// \param Now the current time.
  /// \returns whether the limit begins, with no tokens.
  bool onCold(const ServerId &Server, std::optional<double> RequestsPerSecond,
              TimePoint Now);
  /// Adds limits that instances heard of earlier; known ones stay.
  /// \param Limits the limits.
  /// \param Now the current time.
  void merge(std::span<const ServerLimit> Limits, TimePoint Now);

  /// \param Server a server.
  /// \param Now the current time.
  /// \returns the time until it may be sent a request; zero if now.
  Duration timeUntilAvailable(const ServerId &Server, TimePoint Now) const;
  /// Takes a token for a request that is about to be sent, or was sent without
  /// asking.
  /// \param Server the server.
  /// \param Now the current time.
  /// \param Tokens how many tokens to take.
  void take(const ServerId &Server, TimePoint Now, double Tokens = 1);

  /// \returns the limits of all servers that state one.
  std::vector<ServerLimit> limits() const;
  /// \returns the servers that are limited because they are cold.
  std::vector<ServerId> coldServers() const;
  /// Forgets servers that are gone.
  /// \param IsRegistered returns whether a server id is still registered.
  template <typename Predicate> void retainIf(Predicate IsRegistered) {
    std::erase_if(Buckets_,
                  [&](const auto &Each) { return !IsRegistered(Each.first); });
  }

private:
  struct Bucket {
    std::optional<double> Stated_; ///< Requests per second.
    std::optional<double> Cold_;   ///< Likewise; set while it is cold.
    double Tokens_ = 0; ///< At `UpdatedAt_`; negative if taken in advance.
    TimePoint UpdatedAt_;
  };

  void update(const ServerId &Server, std::optional<double> Bucket::*Reason,
              std::optional<double> RequestsPerSecond, TimePoint Now);
  static double limitOf(const Bucket &Each);
  double rateOf(const Bucket &Each) const;
  double burstOf(const Bucket &Each) const;
  double tokensOf(const Bucket &Each, TimePoint Now) const;

  std::unordered_map<ServerId, Bucket> Buckets_;
  double AttachedFraction_ = 1;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_SERVERLIMITLEDGER_H

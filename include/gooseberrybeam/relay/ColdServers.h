/// \file
/// Backend servers that are cold after their start.
#ifndef GOOSEBERRYBEAM_RELAY_COLDSERVERS_H
#define GOOSEBERRYBEAM_RELAY_COLDSERVERS_H

#include "gooseberrybeam/base/Time.h"
#include "gooseberrybeam/relay/BackendEntry.h"

#include <unordered_map>
#include <vector>

namespace gooseberry {

/// Until when each server is assumed to be cold, from its registrations and
/// from the ends of evacuations. The latest registration holds. It is counted
/// from its receipt, so a delayed one makes a server cold for longer, never
/// shorter, than the server said.
class ColdServers {
public:
  /// Records how long a server stays cold according to its registration. What
  /// was known of a former process of the server is dropped.
  /// \param Entry the registration.
  /// \param Now when it was received.
  /// \returns whether the server becomes cold, rather than staying so.
  bool onRegistration(const BackendEntry &Entry, TimePoint Now);
  /// Records that the evacuation of a server's data centre has ended. The
  /// server may have become cold without having said so yet, so it is assumed
  /// to be until its next registration.
  /// \param Entry the server.
  /// \param ColdStartTime how long servers of its service stay cold.
  /// \param Now the current time.
  /// \returns whether the server becomes cold, rather than staying so.
  bool onEvacuationEnded(const BackendEntry &Entry, Duration ColdStartTime,
                         TimePoint Now);

  /// \param Server the server.
  /// \returns until when it is assumed to be cold; in the past if it is warm.
  TimePoint coldUntil(const ServerId &Server) const;
  /// \param Server the server.
  /// \param Now the current time.
  /// \returns whether it is assumed to be cold.
  bool isCold(const ServerId &Server, TimePoint Now) const {
    return Now < coldUntil(Server);
  }
  /// \param Now the current time.
  /// \returns all servers that are assumed to be cold.
  std::vector<ServerId> all(TimePoint Now) const;

  /// Forgets the servers that are warm again.
  /// \param Now the current time.
  /// \returns those servers.
  std::vector<ServerId> takeWarm(TimePoint Now);
  /// Forgets servers that are gone.
  /// \param IsRegistered returns whether a server id is still registered.
  template <typename Predicate> void retainIf(Predicate IsRegistered) {
    std::erase_if(Servers_,
                  [&](const auto &Each) { return !IsRegistered(Each.first); });
  }

private:
  struct ColdServer {
    TimePoint Until_;
    std::int64_t StartTimeMs_ = 0; ///< Of the server's process.
  };

  std::unordered_map<ServerId, ColdServer> Servers_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_COLDSERVERS_H

/// \file
/// Connections to the instances, kept alive between requests.
#ifndef TOOLS_GBLOAD_CALLERPOOL_H
#define TOOLS_GBLOAD_CALLERPOOL_H

#include "common/LineClient.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace gooseberry {

/// Idle connections by address.
class CallerPool {
public:
  /// \param Address `ip:port`.
  /// \param Limit time for the connect and the request that follows.
  /// \returns a connection, or null if none can be made.
  asio::awaitable<std::unique_ptr<LineClient>>
  take(const std::string &Address, std::chrono::milliseconds Limit);

  /// Keeps a connection for the next request, if it can carry one.
  /// \param Address `ip:port`.
  /// \param Client the connection.
  void give(const std::string &Address, std::unique_ptr<LineClient> Client);

private:
  std::map<std::string, std::vector<std::unique_ptr<LineClient>>> Idle_;
};

} // namespace gooseberry

#endif // TOOLS_GBLOAD_CALLERPOOL_H

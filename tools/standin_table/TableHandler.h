/// \file
/// HTTP face of the stand-in table service.
#ifndef TOOLS_STANDIN_TABLE_TABLEHANDLER_H
#define TOOLS_STANDIN_TABLE_TABLEHANDLER_H

#include "common/StandinServer.h"
#include "standin_table/TableStore.h"

#include <chrono>
#include <deque>

namespace gooseberry {

/// Answers reads and transactions, and a list of instances that lags.
class TableHandler : public StandinHandler {
public:
  /// \param ListLag age of the instance list that callers see.
  explicit TableHandler(std::chrono::milliseconds ListLag)
      : ListLag_(ListLag) {}

private:
  using Clock = std::chrono::steady_clock;

  struct DatedList {
    Clock::time_point At_;
    boost::json::object List_;
  };

  asio::awaitable<void> onRequest(Exchange &Call) override;
  boost::json::object onState() const override;
  asio::awaitable<void> read(Exchange &Call);
  asio::awaitable<void> transact(Exchange &Call);
  asio::awaitable<void> setInstances(Exchange &Call);
  const boost::json::object &visibleList();

  TableStore Store_;
  std::chrono::milliseconds ListLag_;
  std::deque<DatedList> Lists_;
  std::uint64_t Reads_ = 0;
  std::uint64_t Writes_ = 0;
  std::uint64_t Conflicts_ = 0;
  std::uint64_t ListReads_ = 0;
};

} // namespace gooseberry

#endif // TOOLS_STANDIN_TABLE_TABLEHANDLER_H

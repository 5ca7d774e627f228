/// \file
/// Copies of the shared tables that are always up to date.
#ifndef GOOSEBERRYBEAM_TESTS_SUPPORT_FAKETABLES_H
#define GOOSEBERRYBEAM_TESTS_SUPPORT_FAKETABLES_H

#include "gooseberrybeam/relayd/TableExchange.h"

namespace gooseberry {

/// An instance's copies of the shared tables, which are always up to date.
class FakeTables : public TableExchange {
public:
  FeedState feedState(SharedTableId) const override { return {}; }
  std::optional<TableRequest> onHomeState(SharedTableId,
                                          const FeedState &) override {
    return std::nullopt;
  }
  std::optional<TableRequest> onPeerVersion(SharedTableId,
                                            const StoreVersion &) override {
    return std::nullopt;
  }
  void onHomeChanged() override {}
  std::optional<TableUpdate> answer(const TableRequest &) const override {
    return std::nullopt;
  }
  void onUpdate(const TableUpdate &) override {}
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_TESTS_SUPPORT_FAKETABLES_H

/// \file
/// The table service in virtual time, with faults.
#ifndef GOOSEBERRYBEAM_TESTS_SUPPORT_FAKETABLE_H
#define GOOSEBERRYBEAM_TESTS_SUPPORT_FAKETABLE_H

#include "gooseberrybeam/base/Time.h"
#include "gooseberrybeam/table/TableClient.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace gooseberry {

/// What is wrong with the table service, or with one client's way to it.
struct FakeTableFaults {
  bool IsDown_ = false;
  Duration Latency_ = std::chrono::milliseconds(2);
  /// After which a client without a reply reports its outcome unknown.
  Duration ReplyTimeout_ = std::chrono::milliseconds(500);
  int LostReplies_ = 0; ///< Next transactions that commit without a reply.
  int LateEffects_ = 0; ///< Next ones that commit after the reply timeout.
};

/// Rows and a queue of what is on its way. Handlers run inside `advanceTo`.
class FakeTable final : public TableClient {
public:
  /// Runs all that is due.
  /// \param Now the time to advance to; never falls.
  void advanceTo(TimePoint Now);

  /// \returns when something is next due, or nothing.
  std::optional<TimePoint> nextDue() const;

  /// \returns the service's faults, to be changed at will.
  FakeTableFaults &faults() { return Faults_; }

  /// \param Key a row's key.
  /// \returns the row, or nothing.
  std::optional<TableRow> row(std::string_view Key) const;

  /// Writes a row at once.
  /// \param Key its key.
  /// \param Value its value, or nothing to delete it.
  void put(std::string Key, std::optional<std::string> Value);

  /// \returns all rows by key.
  const std::map<std::string, TableRow, std::less<>> &rows() const {
    return Rows_;
  }

  /// \returns reads that were answered.
  std::uint64_t reads() const { return Reads_; }
  /// \returns transactions that were decided.
  std::uint64_t transactions() const { return Transactions_; }

  /// Carries a client's transaction under the faults of its way.
  void transactVia(FakeTableFaults &Way, TableTransaction Transaction,
                   TransactHandler Handler);
  /// Carries a client's read under the faults of its way.
  void readVia(FakeTableFaults &Way, TableQuery Query, ReadHandler Handler);

private:
  void onTransact(TableTransaction Transaction,
                  TransactHandler Handler) override;
  void onRead(TableQuery Query, ReadHandler Handler) override;

  TransactOutcome decide(const TableTransaction &Transaction);
  TableRows find(const TableQuery &Query) const;
  void findRange(const TableRange &Range, TableRows &Found) const;
  void schedule(Duration Delay, std::function<void()> Step);

  TimePoint Now_{};
  std::uint64_t NextStep_ = 0;
  std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> Steps_;
  std::map<std::string, TableRow, std::less<>> Rows_;
  TableVersion Version_ = AbsentVersion;
  FakeTableFaults Faults_;
  std::uint64_t Reads_ = 0;
  std::uint64_t Transactions_ = 0;
};

/// One instance's way to the table, with faults of its own.
class FakeTableLink final : public TableClient {
public:
  /// \param Table the service, which outlives the link.
  explicit FakeTableLink(FakeTable &Table) : Table_(Table) {}

  /// \returns the way's faults, to be changed at will.
  FakeTableFaults &faults() { return Faults_; }

private:
  void onTransact(TableTransaction Transaction,
                  TransactHandler Handler) override {
    Table_.transactVia(Faults_, std::move(Transaction), std::move(Handler));
  }
  void onRead(TableQuery Query, ReadHandler Handler) override {
    Table_.readVia(Faults_, std::move(Query), std::move(Handler));
  }

  FakeTable &Table_;
  FakeTableFaults Faults_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_TESTS_SUPPORT_FAKETABLE_H

/// \file
/// A row store in memory.
#ifndef GOOSEBERRYBEAM_TESTS_SUPPORT_FAKEROWSTORE_H
#define GOOSEBERRYBEAM_TESTS_SUPPORT_FAKEROWSTORE_H

#include "gooseberrybeam/relayd/RowStore.h"

#include <map>
#include <string>
#include <utility>

namespace gooseberry {

/// Answers at once; outlives the instances that use it.
class FakeRowStore : public RowStore {
public:
  Task<ReadResult> read(std::string Table, CancelScope &) override {
    ++Reads_;
    if (IsDown_)
      co_return StoreFailure::Unreachable;
    StoreRows Found;
    for (const auto &[Name, Row] : Rows_)
      if (Name.first == Table)
        Found.Rows_.push_back(Row);
    co_return Found;
  }
  Task<ReadResult> watch(std::string, StoreVersion, Duration,
                         CancelScope &) override {
    co_return StoreFailure::Unreachable;
  }
  Task<WriteResult> write(RowWrite Write, CancelScope &) override {
    if (IsDown_)
      co_return StoreFailure::Unreachable;
    ++Writes_;
    Rows_[{Write.Row_.Table_, Write.Row_.Key_}] = Write.Row_;
    co_return StoreVersion(Writes_, 0);
  }

  bool IsDown_ = false;
  std::uint64_t Reads_ = 0;
  std::uint64_t Writes_ = 0;

private:
  std::map<std::pair<std::string, std::string>, StoreRow> Rows_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_TESTS_SUPPORT_FAKEROWSTORE_H

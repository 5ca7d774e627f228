#include "standin_platform/RowTable.h"

#include <algorithm>

namespace gooseberry {

void RowTable::put(const std::string &Table, const std::string &Key,
                   std::string Value) {
  Rows_[{Table, Key}] = {Table, Key, std::move(Value), ++Version_, false};
}

void RowTable::remove(const std::string &Table, const std::string &Key) {
  if (versionOf(Table, Key) > 0)
    Rows_[{Table, Key}] = {Table, Key, "", ++Version_, true};
}

void RowTable::restore(const RowTable &Copy) {
  const std::uint64_t NextEra = Era_ + 1;
  *this = Copy;
  Era_ = NextEra;
}

std::uint64_t RowTable::versionOf(const std::string &Table,
                                  const std::string &Key) const {
  const auto Found = Rows_.find({Table, Key});
  if (Found == Rows_.end() || Found->second.IsRemoved_)
    return 0;
  return Found->second.Version_;
}

std::vector<PlatformRow> RowTable::read(const std::string &Table) const {
  std::vector<PlatformRow> Out;
  for (const auto &[Name, Row] : Rows_)
    if (Name.first == Table && !Row.IsRemoved_)
      Out.push_back(Row);
  return Out;
}

std::optional<std::vector<PlatformRow>>
RowTable::changes(const std::string &Table, std::uint64_t After) const {
  if (After < HistoryStart_ || After > Version_)
    return std::nullopt;
  std::vector<PlatformRow> Out;
  for (const auto &[Name, Row] : Rows_)
    if (Name.first == Table && Row.Version_ > After)
      Out.push_back(Row);
  std::sort(Out.begin(), Out.end(), [](const auto &A, const auto &B) {
    return A.Version_ < B.Version_;
  });
  return Out;
}

} // namespace gooseberry

/// \file
/// Rows of the stand-in for the platform's store.
#ifndef TOOLS_STANDIN_PLATFORM_ROWTABLE_H
#define TOOLS_STANDIN_PLATFORM_ROWTABLE_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace gooseberry {

/// One row; removed rows are remembered for those who follow a table.
struct PlatformRow {
  std::string Table_;
  std::string Key_;
  std::string Value_;
  std::uint64_t Version_ = 0;
  bool IsRemoved_ = false;
};

/// Linearizable rows with one counter of versions.
class RowTable {
public:
  /// Writes a row without a condition.
  void put(const std::string &Table, const std::string &Key, std::string Value);
  /// Removes a row.
  void remove(const std::string &Table, const std::string &Key);
  /// \returns the row's version, 0 if there is none.
  std::uint64_t versionOf(const std::string &Table,
                          const std::string &Key) const;
  /// \returns the rows of a table by key.
  std::vector<PlatformRow> read(const std::string &Table) const;
  /// \returns rows of a table changed after a version, in order, or none if
  /// that history was dropped.
  std::optional<std::vector<PlatformRow>> changes(const std::string &Table,
                                                  std::uint64_t After) const;
  /// Forgets all changes so far.
  void compact() { HistoryStart_ = Version_; }
  /// Lets versions grow as by changes of other tables.
  void skipVersions(std::uint64_t Count) { Version_ += Count; }
  /// Comes back from a copy, in a new era: later changes are lost, and their
  /// versions are given out again.
  /// \param Copy the table as it was some time ago.
  void restore(const RowTable &Copy);
  /// \returns how often the table was restored, plus one.
  std::uint64_t era() const { return Era_; }
  /// \returns the newest version.
  std::uint64_t version() const { return Version_; }

private:
  std::map<std::pair<std::string, std::string>, PlatformRow> Rows_;
  std::uint64_t Version_ = 0;
  std::uint64_t HistoryStart_ = 0;
  std::uint64_t Era_ = 1;
};

} // namespace gooseberry

#endif // TOOLS_STANDIN_PLATFORM_ROWTABLE_H

/// \file
/// Assembles a configuration snapshot from table pages or peer parts.
#ifndef GOOSEBERRYBEAM_CONFIG_SNAPSHOTLOAD_H
#define GOOSEBERRYBEAM_CONFIG_SNAPSHOTLOAD_H

#include "gooseberrybeam/config/ConfigMessage.h"
#include "gooseberrybeam/config/Configuration.h"
#include "gooseberrybeam/table/TableTypes.h"

#include <bitset>
#include <cstdint>
#include <optional>
#include <string>

namespace gooseberry {

/// Most rows per page of a load from the table.
inline constexpr std::uint32_t TablePageRows = 2000;
/// Number of parts of a load from peers.
inline constexpr std::uint32_t PeerLoadParts = 64;

/// Collects the pages or parts of a snapshot, which may be of different
/// revisions. The result becomes consistent once the log entries after the
/// lowest of these revisions have been applied up to the highest, because every
/// change sets or removes a complete entity.
class SnapshotLoad {
public:
  /// \returns the query for the next page of a load from the table; the first
  ///   one includes the head.
  TableQuery nextPageQuery() const;

  /// \param Rows the result of the last `nextPageQuery`.
  void addPage(const TableRows &Rows);

  /// \returns the request for the next part of a load from peers, or nothing if
  ///   all missing parts have been requested.
  std::optional<ConfigPartRequest> nextPartRequest();

  /// Makes `nextPartRequest` start over with the first missing part.
  void restartPartRequests() { NextPart_ = 0; }

  /// \returns whether \p Part was missing and has been added.
  bool addPart(const ConfigPart &Part);

  /// \returns whether all pages or all parts have been added.
  bool isComplete() const;

  /// \returns the lowest revision of the pages or parts.
  Revision lowestRevision() const {
    return LowestRevision_.value_or(NoRevision);
  }

  /// \returns the highest known revision of the pages or parts. Pages of a load
  ///   from the table may be newer; the next read of the head gives the bound.
  Revision highestRevision() const { return HighestRevision_; }

  /// \returns the number of rows that were skipped as malformed.
  std::size_t malformedRows() const { return MalformedRows_; }

  /// \returns the collected configuration, at the lowest revision.
  Configuration makeConfiguration() const {
    return Configuration().withChanges(Delta_, lowestRevision());
  }

private:
  void recordRevision(Revision Number);

  std::size_t NextKind_ = 0;
  std::string LastKey_;
  std::uint32_t NextPart_ = 0;
  std::bitset<PeerLoadParts> ReceivedParts_;
  std::optional<Revision> LowestRevision_;
  Revision HighestRevision_ = NoRevision;
  std::size_t MalformedRows_ = 0;
  ConfigDelta Delta_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_CONFIG_SNAPSHOTLOAD_H

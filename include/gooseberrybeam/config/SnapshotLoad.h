/// \file
/// Collects a whole configuration in pieces.
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

/// Rows of one page of a load from the table.
inline constexpr std::uint32_t TablePageRows = 2000;
/// Pieces of a load from peers.
inline constexpr std::uint32_t PeerLoadParts = 64;

/// Pieces may be of different revisions. The collected configuration becomes
/// consistent when the changes that follow the lowest of these are applied up
/// to the highest: each change sets or removes whole entities.
class SnapshotLoad {
public:
  /// \returns the next page to read from the table; the first has the head.
  TableQuery nextPageQuery() const;

  /// \param Rows the page that `nextPageQuery` asked for.
  void addPage(const TableRows &Rows);

  /// \returns the next part to ask a peer for, or nothing if all have been
  ///   asked for.
  std::optional<ConfigPartRequest> nextPartRequest();

  /// Makes `nextPartRequest` begin anew with what is missing.
  void restartPartRequests() { NextPart_ = 0; }

  /// \param Part a part.
  /// \returns whether it was missing and has been added.
  bool addPart(const ConfigPart &Part);

  /// \returns whether every piece has been added.
  bool isComplete() const;

  /// \returns the lowest revision of the pieces.
  Revision lowestRevision() const {
    return LowestRevision_.value_or(NoRevision);
  }

  /// \returns the highest revision of the pieces; of a load from the table
  /// only the next reading of the head tells it.
  Revision highestRevision() const { return HighestRevision_; }

  /// \returns rows that could not be read and were left out.
  std::size_t malformedRows() const { return MalformedRows_; }

  /// \returns what was collected, at the lowest revision.
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

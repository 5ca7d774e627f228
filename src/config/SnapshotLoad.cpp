#include "gooseberrybeam/config/SnapshotLoad.h"

#include "gooseberrybeam/config/ConfigRows.h"

#include <algorithm>

namespace gooseberry {

TableQuery SnapshotLoad::nextPageQuery() const {
  TableQuery Query;
  if (!LowestRevision_)
    Query.Keys_.emplace_back(ConfigHeadKey);
  if (NextKind_ < EntityKinds.size())
    Query.Ranges_.push_back(
        {rowPrefixOf(EntityKinds[NextKind_]), LastKey_, TablePageRows});
  return Query;
}

void SnapshotLoad::addPage(const TableRows &Rows) {
  if (!LowestRevision_)
    recordRevision(parseHead(Rows.Rows_).Revision_);
  for (const TableRow &Row : Rows.Rows_) {
    if (Row.Key_ == ConfigHeadKey)
      continue;
    LastKey_ = Row.Key_;
    std::optional<EntityChange> Change = parseEntityRow(Row);
    if (Change)
      Delta_.push_back(std::move(*Change));
    else
      ++MalformedRows_;
  }
  if (Rows.HasMore_)
    return;
  ++NextKind_;
  LastKey_.clear();
}

std::optional<ConfigPartRequest> SnapshotLoad::nextPartRequest() {
  while (NextPart_ < PeerLoadParts && ReceivedParts_[NextPart_])
    ++NextPart_;
  if (NextPart_ == PeerLoadParts)
    return std::nullopt;
  return ConfigPartRequest{NextPart_++, PeerLoadParts};
}

bool SnapshotLoad::addPart(const ConfigPart &Part) {
  if (Part.PartCount_ != PeerLoadParts || ReceivedParts_[Part.PartIndex_])
    return false;
  recordRevision(Part.Revision_);
  for (const Entity &Value : Part.Entities_)
    Delta_.push_back({refOf(Value), Value});
  ReceivedParts_.set(Part.PartIndex_);
  return true;
}

bool SnapshotLoad::isComplete() const {
  return NextKind_ == EntityKinds.size() || ReceivedParts_.all();
}

void SnapshotLoad::recordRevision(Revision Number) {
  LowestRevision_ = std::min(LowestRevision_.value_or(Number), Number);
  HighestRevision_ = std::max(HighestRevision_, Number);
}

} // namespace gooseberry

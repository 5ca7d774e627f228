#include "gooseberrybeam/config/SnapshotLoad.h"

#include "gooseberrybeam/config/ConfigRows.h"

#include <algorithm>

namespace gooseberry {

TableQuery SnapshotLoad::nextPage() const {
  TableQuery Query;
  if (!Lowest_)
    Query.Keys_.emplace_back(ConfigHeadKey);
  if (NextKind_ < EntityKinds.size())
    Query.Ranges_.push_back(
        {rowPrefixOf(EntityKinds[NextKind_]), After_, TablePageRows});
  return Query;
}

void SnapshotLoad::addPage(const TableRows &Rows) {
  if (!Lowest_)
    noteRevision(parseHead(Rows.Rows_).Number_);
  for (const TableRow &Row : Rows.Rows_) {
    if (Row.Key_ == ConfigHeadKey)
      continue;
    After_ = Row.Key_;
    std::optional<EntityChange> Change = parseEntityRow(Row);
    if (Change)
      Delta_.push_back(std::move(*Change));
    else
      ++Malformed_;
  }
  if (Rows.HasMore_)
    return;
  ++NextKind_;
  After_.clear();
}

std::optional<ConfigPartAsk> SnapshotLoad::nextPart() {
  while (NextPart_ < PeerLoadParts && Received_[NextPart_])
    ++NextPart_;
  if (NextPart_ == PeerLoadParts)
    return std::nullopt;
  return ConfigPartAsk{NextPart_++, PeerLoadParts};
}

bool SnapshotLoad::addPart(const ConfigPart &Part) {
  if (Part.Parts_ != PeerLoadParts || Received_[Part.Part_])
    return false;
  noteRevision(Part.Number_);
  for (const Entity &Value : Part.Entities_)
    Delta_.push_back({refOf(Value), Value});
  Received_.set(Part.Part_);
  return true;
}

bool SnapshotLoad::isDone() const {
  return NextKind_ == EntityKinds.size() || Received_.all();
}

void SnapshotLoad::noteRevision(Revision Number) {
  Lowest_ = std::min(Lowest_.value_or(Number), Number);
  Highest_ = std::max(Highest_, Number);
}

} // namespace gooseberry

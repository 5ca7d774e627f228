#include "gooseberrybeam/relayd/SharedTable.h"

#include <utility>

namespace gooseberry {

namespace {

/// How long newer rows are awaited from a readable store. After all instances
/// have restarted, most are a little behind their home, and a copy of thousands
/// of rows for each of them would fill the home's link.
constexpr Duration StoreFeedTime = std::chrono::seconds(5);

} // namespace

SharedTable::SharedTable(SharedTableId Id, std::string Name)
    : Id_(Id), Name_(std::move(Name)), Cache_(Id, Name_),
      Requests_(StoreFeedTime) {}

std::vector<StoreRow> SharedTable::onStoreSnapshot(const StoreRows &Rows,
                                                   TimePoint Now) {
  ConfirmedAt_ = Now;
  return Cache_.applySnapshot(Rows);
}

std::vector<StoreRow> SharedTable::onStoreChanges(const StoreRows &Rows,
                                                  TimePoint Now) {
  ConfirmedAt_ = Now;
  return Cache_.applyChanges(Rows);
}

std::optional<TableRequest> SharedTable::onHomeState(const FeedState &State,
                                                     TimePoint Now) {
  const bool IsComplete = Cache_.version().isKnown() &&
                          Cache_.version() >= State.LastChange_ &&
                          Cache_.version().Era_ == State.Version_.Era_;
  if (IsComplete)
    Cache_.advance(State.Version_);
  Source_.onHomeState(State, Cache_.version(), Now);
  return onPeerVersion(State.LastChange_, Now);
}

std::optional<TableRequest>
SharedTable::onPeerVersion(const StoreVersion &LastChange, TimePoint Now) {
  // A copy of a large configuration is requested in another way, and later.
  if (Id_ == SharedTableId::Configuration)
    return std::nullopt;
  const bool IsFedByStore = IsStoreAvailable_ && !isFedByHome(Now);
  if (!Requests_.tryRequest(LastChange, Cache_.version(), IsFedByStore, Now))
    return std::nullopt;
  return TableRequest{Id_, Cache_.version()};
}

std::vector<StoreRow> SharedTable::onUpdate(const TableUpdate &Update) {
  return Cache_.applyUpdate(Update);
}

FeedState SharedTable::feedState(TimePoint Now) const {
  return {Cache_.version(), Cache_.lastChange(), Now - ConfirmedAt_,
          IsStoreAvailable_};
}

} // namespace gooseberry

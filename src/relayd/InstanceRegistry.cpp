#include "gooseberrybeam/relayd/InstanceRegistry.h"

#include "gooseberrybeam/relayd/InstanceRows.h"

#include <utility>

namespace gooseberry {
namespace {

/// Instances register again as soon as they have read the restored rows.
constexpr Duration RenewalTime = std::chrono::seconds(2);

} // namespace

void InstanceRegistry::onRestored(const StoreVersion &Version, TimePoint Now) {
  RestoredVersion_ = Version;
  SettledAt_ = Now + RenewalTime;
  IsSettling_ = true;
}

void InstanceRegistry::update(const std::map<std::string, StoreRow> &Rows,
                              TimePoint Now) {
  std::map<InstanceId, Registration> Updated;
  for (const auto &[Key, Row] : Rows)
    if (const auto Member = parseInstanceRow(Row))
      Updated[Member->Peer_.Id_.Name_] = {*Member, Row.Version_};
  if (Now < SettledAt_)
    for (const auto &[Name, Known] : Registrations_) {
      const auto Found = Updated.find(Name);
      const bool IsWrittenAgain =
          Found != Updated.end() && Found->second.Version_ > RestoredVersion_;
      if (!IsWrittenAgain)
        Updated[Name] = Known;
    }
  Registrations_ = std::move(Updated);
}

bool InstanceRegistry::hasJustSettled(TimePoint Now) {
  return Now >= SettledAt_ && std::exchange(IsSettling_, false);
}

std::vector<RelayMember> InstanceRegistry::members() const {
  std::vector<RelayMember> Members;
  for (const auto &[Name, Each] : Registrations_)
    Members.push_back(Each.Member_);
  return Members;
}

} // namespace gooseberry

#include "gooseberrybeam/config/ConfigMembers.h"

#include <algorithm>

namespace gooseberry {
namespace {

bool hasRevision(const InstanceId &Name, const InstanceRevisions &Revisions,
                 Revision Number) {
  const auto Found = Revisions.find(Name);
  return Found != Revisions.end() && Found->second >= Number;
}

bool isMajority(std::size_t Count, std::size_t Total) {
  return 2 * Count > Total;
}

bool isMemberConfirmed(const ConfigMember &Member,
                       const InstanceRevisions &Revisions, Revision Number) {
  if (hasRevision(Member.Name_, Revisions, Number))
    return true;
  const auto Count =
      std::count_if(Member.Witnesses_.begin(), Member.Witnesses_.end(),
                    [&](const InstanceId &Name) {
                      return hasRevision(Name, Revisions, Number);
                    });
  return isMajority(static_cast<std::size_t>(Count), Member.Witnesses_.size());
}

} // namespace

bool isConfirmed(const ConfigMembers &Members,
                 const InstanceRevisions &Revisions, Revision Number) {
  const auto Count = std::count_if(
      Members.begin(), Members.end(), [&](const ConfigMember &Member) {
        return hasRevision(Member.Name_, Revisions, Number);
      });
  return isMajority(static_cast<std::size_t>(Count), Members.size()) &&
         std::all_of(Members.begin(), Members.end(),
                     [&](const ConfigMember &Member) {
                       return isMemberConfirmed(Member, Revisions, Number);
                     });
}

} // namespace gooseberry

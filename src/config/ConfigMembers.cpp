#include "gooseberrybeam/config/ConfigMembers.h"

#include <algorithm>

namespace gooseberry {
namespace {

bool isHeldBy(const InstanceId &Name, const HeldRevisions &Held,
              Revision Number) {
  const auto Found = Held.find(Name);
  return Found != Held.end() && Found->second >= Number;
}

bool isMajority(std::size_t Count, std::size_t Whole) {
  return 2 * Count > Whole;
}

bool isBound(const ConfigMember &Member, const HeldRevisions &Held,
             Revision Number) {
  if (isHeldBy(Member.Name_, Held, Number))
    return true;
  const auto Count = std::count_if(
      Member.Witnesses_.begin(), Member.Witnesses_.end(),
      [&](const InstanceId &Name) { return isHeldBy(Name, Held, Number); });
  return isMajority(static_cast<std::size_t>(Count), Member.Witnesses_.size());
}

} // namespace

bool isBinding(const ConfigMembers &Members, const HeldRevisions &Held,
               Revision Number) {
  const auto Count = std::count_if(
      Members.begin(), Members.end(), [&](const ConfigMember &Member) {
        return isHeldBy(Member.Name_, Held, Number);
      });
  return isMajority(static_cast<std::size_t>(Count), Members.size()) &&
         std::all_of(Members.begin(), Members.end(),
                     [&](const ConfigMember &Member) {
                       return isBound(Member, Held, Number);
                     });
}

} // namespace gooseberry

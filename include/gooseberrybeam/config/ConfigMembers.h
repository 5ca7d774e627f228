/// \file
/// The instances that have to confirm a configuration change.
#ifndef GOOSEBERRYBEAM_CONFIG_CONFIGMEMBERS_H
#define GOOSEBERRYBEAM_CONFIG_CONFIGMEMBERS_H

#include "gooseberrybeam/base/Ids.h"
#include "gooseberrybeam/config/Revision.h"

#include <map>
#include <vector>

namespace gooseberry {

/// A member of the epoch and its witnesses, the members whose acknowledgements
/// extend its lease.
struct ConfigMember {
  InstanceId Name_;
  std::vector<InstanceId> Witnesses_;
};

/// The members of the epoch, this instance included.
using ConfigMembers = std::vector<ConfigMember>;

/// The newest revision that each instance is known to have.
using InstanceRevisions = std::map<InstanceId, Revision>;

/// Checks whether a revision is confirmed: a majority of all members have it,
/// and each member either has it or a majority of its witnesses do. The lease
/// of a member without the revision can then no longer be extended through
/// peers, because any majority of its witnesses includes one that reports the
/// newer revision.
/// \param Members the members of the current epoch.
/// \param Revisions the newest revision that each instance reported.
/// \param Number the revision to check.
/// \returns whether the revision is confirmed; false if \p Members is empty.
bool isConfirmed(const ConfigMembers &Members,
                 const InstanceRevisions &Revisions, Revision Number);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_CONFIG_CONFIGMEMBERS_H

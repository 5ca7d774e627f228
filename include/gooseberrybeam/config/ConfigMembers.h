/// \file
/// The instances that a configuration has to reach.
#ifndef GOOSEBERRYBEAM_CONFIG_CONFIGMEMBERS_H
#define GOOSEBERRYBEAM_CONFIG_CONFIGMEMBERS_H

#include "gooseberrybeam/base/Ids.h"
#include "gooseberrybeam/config/Revision.h"

#include <map>
#include <vector>

namespace gooseberry {

/// One member of the epoch, and those whose acknowledgements extend its lease.
struct ConfigMember {
  InstanceId Name_;
  std::vector<InstanceId> Witnesses_;
};

/// The members of the epoch, this instance included.
using ConfigMembers = std::vector<ConfigMember>;

/// The newest revision that each instance is known to hold.
using InstanceRevisions = std::map<InstanceId, Revision>;

/// Whether a revision binds every member: a majority of all hold it, and each
/// member holds it itself or a majority of its witnesses do. The lease of a
/// member without it is then not extended through peers, since any majority of
/// its witnesses includes one that names the newer revision.
/// \param Members the members of the epoch.
/// \param Revisions what each is known to hold.
/// \param Number the revision.
/// \returns whether it binds them all; false if \p Members is empty.
bool isConfirmed(const ConfigMembers &Members,
                 const InstanceRevisions &Revisions, Revision Number);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_CONFIG_CONFIGMEMBERS_H

/// \file
/// The table row that orders all configuration changes.
#ifndef GOOSEBERRYBEAM_CONFIG_CONFIGHEAD_H
#define GOOSEBERRYBEAM_CONFIG_CONFIGHEAD_H

#include "gooseberrybeam/config/Revision.h"
#include "gooseberrybeam/table/TableTypes.h"

namespace gooseberry {

/// The newest revision and the oldest revision whose log row is kept. Every
/// commit is conditioned on the version of this row.
struct ConfigHead {
  Revision Revision_ = NoRevision;
  Revision OldestRevision_ = 1;
  TableVersion Version_ = AbsentVersion;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_CONFIG_CONFIGHEAD_H

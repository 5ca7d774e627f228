/// \file
/// The row that orders all changes of the configuration.
#ifndef GOOSEBERRYBEAM_CONFIG_CONFIGHEAD_H
#define GOOSEBERRYBEAM_CONFIG_CONFIGHEAD_H

#include "gooseberrybeam/config/Revision.h"
#include "gooseberrybeam/table/TableTypes.h"

namespace gooseberry {

/// The newest revision and the oldest one whose log row is kept. Every change
/// is conditioned on this row's version.
struct ConfigHead {
  Revision Revision_ = NoRevision;
  Revision OldestRevision_ = 1;
  TableVersion Version_ = AbsentVersion;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_CONFIG_CONFIGHEAD_H

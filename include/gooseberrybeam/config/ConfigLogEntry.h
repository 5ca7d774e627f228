/// \file
/// One accepted change of the configuration.
#ifndef GOOSEBERRYBEAM_CONFIG_CONFIGLOGENTRY_H
#define GOOSEBERRYBEAM_CONFIG_CONFIGLOGENTRY_H

#include "gooseberrybeam/config/Entity.h"
#include "gooseberrybeam/config/Revision.h"

#include <string>

namespace gooseberry {

/// The changes of one revision, their author and the command that made them.
struct ConfigLogEntry {
  Revision Revision_ = NoRevision;
  std::string Token_;  ///< Idempotency token of the operator's command.
  std::string Author_; ///< As stated in the command.
  ConfigDelta Delta_;

  friend bool operator==(const ConfigLogEntry &,
                         const ConfigLogEntry &) = default;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_CONFIG_CONFIGLOGENTRY_H

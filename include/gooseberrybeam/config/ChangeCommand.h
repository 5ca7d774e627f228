/// \file
/// An operator's command to change the configuration.
#ifndef GOOSEBERRYBEAM_CONFIG_CHANGECOMMAND_H
#define GOOSEBERRYBEAM_CONFIG_CHANGECOMMAND_H

#include "gooseberrybeam/config/Entity.h"
#include "gooseberrybeam/config/Revision.h"

#include <optional>
#include <string>

namespace gooseberry {

/// A requested change and the revision on which the operator based it.
struct ChangeCommand {
  std::string Token_;  ///< Idempotency token; a retry carries the same token.
  std::string Author_; ///< Recorded in the log entry.
  /// The revision that the operator saw. Later changes to the same entities are
  /// a conflict. Without a base revision no conflict is detected.
  std::optional<Revision> BaseRevision_;
  /// Any change after the base revision is a conflict, not only one to the same
  /// entities.
  bool IsStrict_ = false;
  ConfigDelta Delta_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_CONFIG_CHANGECOMMAND_H

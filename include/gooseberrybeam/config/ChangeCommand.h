/// \file
/// An operator's command to change the configuration.
#ifndef GOOSEBERRYBEAM_CONFIG_CHANGECOMMAND_H
#define GOOSEBERRYBEAM_CONFIG_CHANGECOMMAND_H

#include "gooseberrybeam/config/Entity.h"
#include "gooseberrybeam/config/Revision.h"

#include <optional>
#include <string>

namespace gooseberry {

/// A change and what it was based on.
struct ChangeCommand {
  std::string Token_;  ///< Idempotency token; a repeat carries the same one.
  std::string Author_; ///< Kept in the log.
  /// The revision that the operator saw. Changes made since then to the same
  /// entities are a conflict.
  std::optional<Revision> BaseRevision_;
  bool IsStrict_ = false; ///< Any change since then is a conflict.
  ConfigDelta Delta_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_CONFIG_CHANGECOMMAND_H

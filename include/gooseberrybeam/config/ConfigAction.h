/// \file
/// What the configuration's core wants done.
#ifndef GOOSEBERRYBEAM_CONFIG_CONFIGACTION_H
#define GOOSEBERRYBEAM_CONFIG_CONFIGACTION_H

#include "gooseberrybeam/config/ChangeOutcome.h"
#include "gooseberrybeam/config/ConfigMessage.h"
#include "gooseberrybeam/config/Configuration.h"
#include "gooseberrybeam/table/TableTypes.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace gooseberry {

/// Tells to whom a reply of the table service belongs.
using ConfigOperationId = std::uint64_t;

/// The ticket of the follower's reads; others are operators' commands.
inline constexpr ConfigOperationId FollowerOperationId = 0;

/// Read the table and hand the outcome back under the ticket.
struct ReadTable {
  ConfigOperationId OperationId_ = FollowerOperationId;
  TableQuery Query_;
};

/// Commit to the table and hand the outcome back under the ticket.
struct TransactTable {
  ConfigOperationId OperationId_ = FollowerOperationId;
  TableTransaction Transaction_;
};

/// Send a message to an instance; it may be lost.
struct SendConfigMessage {
  InstanceId Recipient_;
  ConfigMessage Message_;
};

/// Put a newer configuration in force on this instance.
struct PublishConfiguration {
  ConfigurationPtr Configuration_;
};

/// Answer an operator's command.
struct AnswerCommand {
  ConfigOperationId OperationId_ = FollowerOperationId;
  ChangeOutcome Outcome_;
};

using ConfigAction = std::variant<ReadTable, TransactTable, SendConfigMessage,
                                  PublishConfiguration, AnswerCommand>;
using ConfigActions = std::vector<ConfigAction>;

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_CONFIG_CONFIGACTION_H

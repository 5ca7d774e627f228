/// \file
/// Actions that the configuration classes request from their caller.
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

/// Correlates an outcome of the table service or an answer with the operation
/// that requested it.
using ConfigOperationId = std::uint64_t;

/// The ID of the follower's reads; all other IDs belong to operators' commands.
inline constexpr ConfigOperationId FollowerOperationId = 0;

/// Read the table and report the outcome under the same operation ID.
struct ReadTable {
  ConfigOperationId OperationId_ = FollowerOperationId;
  TableQuery Query_;
};

/// Commit to the table and report the outcome under the same operation ID.
struct TransactTable {
  ConfigOperationId OperationId_ = FollowerOperationId;
  TableTransaction Transaction_;
};

/// Send a message to an instance. Delivery is not guaranteed.
struct SendConfigMessage {
  InstanceId Recipient_;
  ConfigMessage Message_;
};

/// Activate a newer configuration on this instance.
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

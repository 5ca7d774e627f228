/// \file
/// Tables and row formats of the store.
#ifndef GOOSEBERRYBEAM_RELAYD_STORESCHEMA_H
#define GOOSEBERRYBEAM_RELAYD_STORESCHEMA_H

#include "gooseberrybeam/relay/BackendEntry.h"
#include "gooseberrybeam/relay/RelayConfiguration.h"
#include "gooseberrybeam/relayd/RowStore.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace gooseberry {

/// Names the tables that operators and backend servers write, and decodes their
/// rows. Each platform adapter has one.
class StoreSchema {
public:
  virtual ~StoreSchema() = default;

  /// \returns the table with the configuration.
  virtual std::string configurationTable() const = 0;
  /// \returns the key of the configuration's row.
  virtual std::string configurationKey() const = 0;
  /// \returns the table with the backend servers.
  virtual std::string serversTable() const = 0;
  /// \param Source the value of the configuration row.
  /// \returns the configuration, or null if it is malformed.
  virtual std::shared_ptr<const RelayConfiguration>
  parseConfiguration(std::string_view Source) const = 0;
  /// \param Row a row of the configuration's table.
  /// \returns the data centre that the row evacuates; none if it does not.
  virtual std::optional<DataCentreId>
  parseEvacuation(const StoreRow &Row) const = 0;
  /// \param Row a row of the servers' table.
  /// \returns the backend server, or none if the row registers no usable one.
  virtual std::optional<BackendEntry>
  parseServer(const StoreRow &Row) const = 0;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAYD_STORESCHEMA_H

/// \file
/// The configuration's rows in the table service.
///
/// `config/head` holds the newest revision, `config/<kind>/<name>` an entity
/// and `config/log/<revision>` a change, its revision padded with zeros.
#ifndef GOOSEBERRYBEAM_CONFIG_CONFIGROWS_H
#define GOOSEBERRYBEAM_CONFIG_CONFIGROWS_H

#include "gooseberrybeam/config/ConfigFault.h"
#include "gooseberrybeam/config/ConfigHead.h"
#include "gooseberrybeam/config/ConfigLogEntry.h"

#include <boost/json/fwd.hpp>

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberry {

/// Key of the head's row.
inline constexpr std::string_view ConfigHeadKey = "config/head";
/// Prefix of the log's rows.
inline constexpr std::string_view ConfigLogPrefix = "config/log/";
/// Log rows that are kept; a follower further behind loads everything.
inline constexpr Revision ConfigMaxLogRows = 4096;

/// \returns the key of a revision's log row.
std::string logKeyOf(Revision Number);
/// \returns the prefix of the keys of one kind's rows.
std::string rowPrefixOf(EntityKind Kind);

/// \param Row a row of an entity.
/// \returns the change that sets the entity, or nothing if it is malformed.
std::optional<EntityChange> parseEntityRow(const TableRow &Row);

/// \param Rows rows read in one snapshot.
/// \returns the head among them; revision 0 if there is none.
ConfigHead parseHead(std::span<const TableRow> Rows);

/// \param Rows rows read in one snapshot.
/// \returns the log entries among them, by growing revision.
std::vector<ConfigLogEntry> parseLogRows(std::span<const TableRow> Rows);

/// \param Entry a log entry.
/// \returns its JSON.
boost::json::value encodeLogEntry(const ConfigLogEntry &Entry);
/// \param Value JSON.
/// \returns the log entry, or nothing if it is malformed.
std::optional<ConfigLogEntry> parseLogEntry(const boost::json::value &Value);

/// \param Changes changes.
/// \returns their JSON, a list of `{kind, name, value}`.
boost::json::value encodeDelta(std::span<const EntityChange> Changes);
/// \param Value JSON, a list of `{kind, name, value}`; null removes.
/// \param Faults takes every fault found.
/// \returns the changes without faults.
ConfigDelta parseDelta(const boost::json::value &Value, ConfigFaults &Faults);

/// Builds the transaction that commits a change, conditioned on the head.
/// \param Head the head that the change follows.
/// \param Entry the change; its revision follows the head's.
/// \returns the transaction.
TableTransaction makeCommit(const ConfigHead &Head,
                            const ConfigLogEntry &Entry);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_CONFIG_CONFIGROWS_H

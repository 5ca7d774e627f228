/// \file
/// Encoding of the configuration as rows of the table service.
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

/// Key of the head row.
inline constexpr std::string_view ConfigHeadKey = "config/head";
/// Key prefix of the log rows.
inline constexpr std::string_view ConfigLogPrefix = "config/log/";
/// Most log rows kept in the table. A follower that is further behind loads a
/// snapshot.
inline constexpr Revision ConfigMaxLogRows = 4096;

/// \returns the key of the log row of revision \p Number.
std::string logKeyOf(Revision Number);
/// \returns the key prefix of the entity rows of \p Kind.
std::string rowPrefixOf(EntityKind Kind);

/// \param Row an entity row.
/// \returns the change that sets the entity, or nothing if \p Row is malformed.
std::optional<EntityChange> parseEntityRow(const TableRow &Row);

/// \param Rows rows read in one snapshot.
/// \returns the head among \p Rows; at `NoRevision` if there is none.
ConfigHead parseHead(std::span<const TableRow> Rows);

/// \param Rows rows read in one snapshot.
/// \returns the log entries among \p Rows, by ascending revision; malformed
///   ones are skipped.
std::vector<ConfigLogEntry> parseLogRows(std::span<const TableRow> Rows);

/// \returns \p Entry as JSON.
boost::json::value encodeLogEntry(const ConfigLogEntry &Entry);
/// \param Value the JSON of a log entry.
/// \returns the log entry, or nothing if \p Value is malformed.
std::optional<ConfigLogEntry> parseLogEntry(const boost::json::value &Value);

/// \returns \p Changes as a JSON list of `{kind, name, value}`.
boost::json::value encodeDelta(std::span<const EntityChange> Changes);
/// \param Value a JSON list of `{kind, name, value}`; a null or missing value
///   removes the entity.
/// \param Faults receives every fault found.
/// \returns the valid changes.
ConfigDelta parseDelta(const boost::json::value &Value, ConfigFaults &Faults);

/// Builds the transaction that commits a change. It is conditioned on the
/// version of the head and, once the log is full, removes the oldest log row.
/// \param Head the head on which the change is based.
/// \param Entry the change; its revision is the one after the head's.
TableTransaction makeCommit(const ConfigHead &Head,
                            const ConfigLogEntry &Entry);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_CONFIG_CONFIGROWS_H

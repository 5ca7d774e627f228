/// \file
/// Messages about the configuration between instances.
#ifndef GOOSEBERRYBEAM_CONFIG_CONFIGMESSAGE_H
#define GOOSEBERRYBEAM_CONFIG_CONFIGMESSAGE_H

#include "gooseberrybeam/config/ConfigLogEntry.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace gooseberry {

/// Reports the newest revision that the sender has.
struct ConfigRevisionNotice {
  Revision Revision_ = NoRevision;
};

/// Committed log entries, by ascending revision without gaps.
struct ConfigEntries {
  std::vector<ConfigLogEntry> Entries_;
};

/// Requests the log entries that follow a revision.
struct ConfigEntriesRequest {
  Revision AfterRevision_ = NoRevision;
};

/// The requested log entries have been dropped; the receiver has to request a
/// snapshot instead.
struct ConfigEntriesUnavailable {
  Revision Revision_ = NoRevision; ///< The newest revision of the sender.
};

/// Requests one part of a snapshot of the configuration.
struct ConfigPartRequest {
  std::uint32_t PartIndex_ = 0;
  std::uint32_t PartCount_ = 1;
};

/// One part of a snapshot of the configuration.
struct ConfigPart {
  Revision Revision_ = NoRevision; ///< The revision of the snapshot.
  std::uint32_t PartIndex_ = 0;
  std::uint32_t PartCount_ = 1;
  std::vector<Entity> Entities_;
};

/// A message between instances about the configuration. Messages may be lost,
/// duplicated, delayed or reordered.
using ConfigMessage =
    std::variant<ConfigRevisionNotice, ConfigEntries, ConfigEntriesRequest,
                 ConfigEntriesUnavailable, ConfigPartRequest, ConfigPart>;

/// \returns \p Message as JSON text.
std::string encodeConfigMessage(const ConfigMessage &Message);

/// Encodes a message for a transport that limits the size of messages. Log
/// entries that do not fit are dropped from the end. If none fits, a
/// `ConfigRevisionNotice` is encoded instead, and the receiver reads the
/// entries from the table.
/// \param Message the message.
/// \param MaxBytes the limit in bytes.
/// \param SenderRevision the newest revision of the sender.
/// \returns the JSON text, or nothing if a part of a snapshot does not fit.
std::optional<std::string> encodeConfigMessageBounded(ConfigMessage Message,
                                                      std::size_t MaxBytes,
                                                      Revision SenderRevision);

/// \param Bytes the output of `encodeConfigMessage`.
/// \returns the message, or nothing if \p Bytes is malformed.
std::optional<ConfigMessage> parseConfigMessage(std::string_view Bytes);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_CONFIG_CONFIGMESSAGE_H

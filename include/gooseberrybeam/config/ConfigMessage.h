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

/// The sender holds this revision.
struct ConfigRevisionNotice {
  Revision Revision_ = NoRevision;
};

/// Accepted changes, by growing revision without gaps.
struct ConfigEntries {
  std::vector<ConfigLogEntry> Entries_;
};

/// Asks for the changes that follow a revision.
struct ConfigEntriesRequest {
  Revision AfterRevision_ = NoRevision;
};

/// The asked-for changes are no longer kept; a snapshot has to be asked for.
struct ConfigEntriesUnavailable {
  Revision Revision_ = NoRevision; ///< What the sender holds.
};

/// Asks for one part of the whole configuration.
struct ConfigPartRequest {
  std::uint32_t PartIndex_ = 0;
  std::uint32_t PartCount_ = 1;
};

/// One part of the whole configuration.
struct ConfigPart {
  Revision Revision_ = NoRevision; ///< The revision it was taken from.
  std::uint32_t PartIndex_ = 0;
  std::uint32_t PartCount_ = 1;
  std::vector<Entity> Entities_;
};

/// Any message about the configuration. All may be lost, repeated, delayed or
/// reordered.
using ConfigMessage =
    std::variant<ConfigRevisionNotice, ConfigEntries, ConfigEntriesRequest,
                 ConfigEntriesUnavailable, ConfigPartRequest, ConfigPart>;

/// \param Message a message.
/// \returns its bytes, JSON.
std::string encodeConfigMessage(const ConfigMessage &Message);

/// Encodes a message for a transport that bounds messages. Entries that do not
/// fit are left out from the end; if none fits, the sender's revision is told
/// instead, and the receiver reads the table.
/// \param Message a message.
/// \param MaxBytes the bound.
/// \param SenderRevision the revision that the sender holds.
/// \returns its bytes, or nothing if a part of a snapshot does not fit.
std::optional<std::string> encodeConfigMessageBounded(ConfigMessage Message,
                                                      std::size_t MaxBytes,
                                                      Revision SenderRevision);

/// \param Bytes what `encodeConfigMessage` gave.
/// \returns the message, or nothing if it is malformed.
std::optional<ConfigMessage> parseConfigMessage(std::string_view Bytes);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_CONFIG_CONFIGMESSAGE_H

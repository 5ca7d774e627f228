#include "gooseberrybeam/config/ConfigMessage.h"

#include "gooseberrybeam/base/Result.h"
#include "gooseberrybeam/config/ConfigRows.h"

#include <boost/json.hpp>

namespace gooseberry {
namespace json = boost::json;
namespace {

/// Most parts of a snapshot that a peer message may state. The nesting of
/// messages is limited by the JSON parser, as for configuration documents.
constexpr std::uint32_t MaxParts = 4096;

json::object encode(const ConfigRevisionNotice &Message) {
  return {{"type", "held"}, {"revision", Message.Revision_}};
}

json::object encode(const ConfigEntries &Message) {
  json::array Entries;
  for (const ConfigLogEntry &Entry : Message.Entries_)
    Entries.push_back(encodeLogEntry(Entry));
  return {{"type", "entries"}, {"entries", std::move(Entries)}};
}

json::object encode(const ConfigEntriesRequest &Message) {
  return {{"type", "ask"}, {"revision", Message.AfterRevision_}};
}

json::object encode(const ConfigEntriesUnavailable &Message) {
  return {{"type", "too_old"}, {"revision", Message.Revision_}};
}

json::object encode(const ConfigPartRequest &Message) {
  return {{"type", "part_ask"},
          {"part", Message.PartIndex_},
          {"parts", Message.PartCount_}};
}

json::object encode(const ConfigPart &Message) {
  ConfigDelta Delta;
  for (const Entity &Value : Message.Entities_)
    Delta.push_back({refOf(Value), Value});
  return {{"type", "part"},
          {"revision", Message.Revision_},
          {"part", Message.PartIndex_},
          {"parts", Message.PartCount_},
          {"changes", encodeDelta(Delta)}};
}

/// Reads integer fields of a message and records whether one was missing or
/// invalid.
class NumberReader {
public:
  explicit NumberReader(const json::object &Object) : Object_(Object) {}

  std::uint64_t read(std::string_view Name) {
    const json::value *Value = Object_.if_contains(Name);
    json::error_code Error;
    const std::uint64_t Number =
        Value ? Value->to_number<std::uint64_t>(Error) : 0;
    HasFault_ = HasFault_ || !Value || Error;
    return Number;
  }

  bool hasFault() const { return HasFault_; }

private:
  const json::object &Object_;
  bool HasFault_ = false;
};

std::optional<ConfigMessage> parseEntries(const json::object &Object) {
  const json::value *Items = Object.if_contains("entries");
  if (!Items || !Items->is_array())
    return std::nullopt;
  ConfigEntries Message;
  for (const json::value &Item : Items->get_array()) {
    std::optional<ConfigLogEntry> Entry = parseLogEntry(Item);
    if (!Entry)
      return std::nullopt;
    Message.Entries_.push_back(std::move(*Entry));
  }
  return Message;
}

std::optional<ConfigMessage> parsePart(const json::object &Object,
                                       ConfigPart Message) {
  const json::value *Changes = Object.if_contains("changes");
  ConfigFaults Faults;
  if (!Changes)
    return std::nullopt;
  for (EntityChange &Change : parseDelta(*Changes, Faults))
    if (Change.Value_)
      Message.Entities_.push_back(std::move(*Change.Value_));
  if (!Faults.empty())
    return std::nullopt;
  return Message;
}

std::optional<ConfigMessage> parsePartMessage(const json::object &Object,
                                              bool IsRequest) {
  NumberReader Numbers(Object);
  const std::uint64_t Part = Numbers.read("part");
  const std::uint64_t Parts = Numbers.read("parts");
  const Revision Number = IsRequest ? NoRevision : Numbers.read("revision");
  if (Numbers.hasFault() || Parts > MaxParts || Part >= Parts)
    return std::nullopt;
  const auto PartIndex = static_cast<std::uint32_t>(Part);
  const auto PartCount = static_cast<std::uint32_t>(Parts);
  if (IsRequest)
    return ConfigPartRequest{PartIndex, PartCount};
  return parsePart(Object, {Number, PartIndex, PartCount, {}});
}

std::optional<ConfigMessage> parseRevisionMessage(const json::object &Object,
                                                  std::string_view Type) {
  NumberReader Numbers(Object);
  const Revision Number = Numbers.read("revision");
  if (Numbers.hasFault())
    return std::nullopt;
  if (Type == "held")
    return ConfigRevisionNotice{Number};
  if (Type == "ask")
    return ConfigEntriesRequest{Number};
  if (Type == "too_old")
    return ConfigEntriesUnavailable{Number};
  return std::nullopt;
}

} // namespace

std::string encodeConfigMessage(const ConfigMessage &Message) {
  return std::visit(
      [](const auto &Alternative) {
        return json::serialize(encode(Alternative));
      },
      Message);
}

std::optional<std::string> encodeConfigMessageBounded(ConfigMessage Message,
                                                      std::size_t MaxBytes,
                                                      Revision SenderRevision) {
  std::string Bytes = encodeConfigMessage(Message);
  auto *Push = std::get_if<ConfigEntries>(&Message);
  while (Push && Bytes.size() > MaxBytes && Push->Entries_.size() > 1) {
    Push->Entries_.resize(Push->Entries_.size() / 2);
    Bytes = encodeConfigMessage(Message);
  }
  if (Push && Bytes.size() > MaxBytes)
    Bytes = encodeConfigMessage(ConfigRevisionNotice{SenderRevision});
  if (Bytes.size() > MaxBytes)
    return std::nullopt;
  return Bytes;
}

std::optional<ConfigMessage> parseConfigMessage(std::string_view Bytes) {
  json::error_code Error;
  const json::value Value = json::parse(Bytes, Error);
  const json::object *Object = Error ? nullptr : Value.if_object();
  const json::value *TypeField = Object ? Object->if_contains("type") : nullptr;
  if (!TypeField || !TypeField->is_string())
    return std::nullopt;
  const std::string_view Type = TypeField->get_string();
  if (Type == "entries")
    return parseEntries(*Object);
  if (Type == "part_ask" || Type == "part")
    return parsePartMessage(*Object, Type == "part_ask");
  return parseRevisionMessage(*Object, Type);
}

} // namespace gooseberry

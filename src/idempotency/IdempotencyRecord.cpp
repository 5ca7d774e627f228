#include "gooseberrybeam/idempotency/IdempotencyRecord.h"

#include <boost/json.hpp>
#include <openssl/evp.h>

#include <array>
#include <span>

namespace json = boost::json;

namespace gooseberry {
namespace {

constexpr std::array<std::string_view, 3> StateNames = {"started", "done",
                                                        "unknown"};

std::string asHex(std::span<const unsigned char> Bytes) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Text;
  for (const unsigned char Byte : Bytes) {
    Text += Digits[Byte >> 4];
    Text += Digits[Byte & 0xF];
  }
  return Text;
}

/// Hashes the concatenation of the parts, each prefixed with its length so that
/// different lists of parts never give the same input.
std::string hashParts(std::span<const std::string_view> Parts) {
  std::string Joined;
  for (const std::string_view Part : Parts) {
    Joined += std::to_string(Part.size());
    Joined += ':';
    Joined += Part;
  }
  std::array<unsigned char, EVP_MAX_MD_SIZE> Digest{};
  unsigned Size = 0;
  EVP_Digest(Joined.data(), Joined.size(), Digest.data(), &Size, EVP_sha256(),
             nullptr);
  return asHex(std::span(Digest).first(Size));
}

const json::string *findString(const json::object &Object,
                               std::string_view Name) {
  const json::value *Value = Object.if_contains(Name);
  return Value ? Value->if_string() : nullptr;
}

bool readString(const json::object &Object, std::string_view Name,
                std::string &Output) {
  const json::string *Text = findString(Object, Name);
  if (!Text)
    return false;
  Output.assign(Text->data(), Text->size());
  return true;
}

bool readState(const json::object &Object, IdempotencyState &Output) {
  const json::string *Text = findString(Object, "state");
  if (!Text)
    return false;
  for (std::size_t I = 0; I < StateNames.size(); ++I) {
    if (StateNames[I] != std::string_view(*Text))
      continue;
    Output = static_cast<IdempotencyState>(I);
    return true;
  }
  return false;
}

bool readInteger(const json::object &Object, std::string_view Name,
                 std::int64_t &Output) {
  const json::value *Value = Object.if_contains(Name);
  if (!Value || !Value->is_int64())
    return false;
  Output = Value->get_int64();
  return true;
}

bool readAnswer(const json::object &Object, StoredAnswer &Output) {
  std::int64_t Status = 0;
  if (!readInteger(Object, "status", Status))
    return false;
  Output.Status_ = static_cast<int>(Status);
  return readString(Object, "content_type", Output.ContentType_) &&
         readString(Object, "body", Output.Body_);
}

} // namespace

std::string encodeIdempotencyRecord(const IdempotencyRecord &Record) {
  json::object Object;
  Object["state"] = StateNames[static_cast<std::size_t>(Record.State_)];
  Object["fingerprint"] = Record.Fingerprint_;
  Object["holder"] = Record.Holder_;
  Object["nonce"] = Record.Nonce_;
  Object["expires_at"] = Record.ExpiresAtUnixSeconds_;
  if (Record.State_ == IdempotencyState::Done) {
    Object["status"] = Record.Answer_.Status_;
    Object["content_type"] = Record.Answer_.ContentType_;
    Object["body"] = Record.Answer_.Body_;
  }
  return json::serialize(Object);
}

Result<IdempotencyRecord, IdempotencyRecordError>
parseIdempotencyRecord(std::string_view Value) {
  boost::system::error_code Error;
  const json::value Parsed =
      json::parse(json::string_view(Value.data(), Value.size()), Error);
  if (Error || !Parsed.is_object())
    return IdempotencyRecordError::Malformed;
  const json::object &Object = Parsed.get_object();
  IdempotencyRecord Record;
  if (!readState(Object, Record.State_) ||
      !readString(Object, "fingerprint", Record.Fingerprint_) ||
      !readString(Object, "holder", Record.Holder_) ||
      !readString(Object, "nonce", Record.Nonce_) ||
      !readInteger(Object, "expires_at", Record.ExpiresAtUnixSeconds_))
    return IdempotencyRecordError::Malformed;
  if (Record.State_ == IdempotencyState::Done &&
      !readAnswer(Object, Record.Answer_))
    return IdempotencyRecordError::Malformed;
  return Record;
}

std::string idempotencyRowKey(const OrganisationId &Organisation,
                              std::string_view Key) {
  const std::array<std::string_view, 2> Parts = {Organisation.Value_, Key};
  return "idempotency/" + hashParts(Parts);
}

std::string requestFingerprint(std::string_view Method, std::string_view Target,
                               std::string_view Body) {
  const std::array<std::string_view, 3> Parts = {Method, Target, Body};
  return hashParts(Parts);
}

} // namespace gooseberry

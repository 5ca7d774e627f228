#include "gbctl/Commands.h"
#include "gooseberrybeam/config/EntityCodec.h"
#include "gooseberrybeam/config/ParseConfiguration.h"

#include <boost/json.hpp>
#include <openssl/rand.h>

#include <algorithm>
#include <array>
#include <iostream>

namespace gooseberry {
namespace json = boost::json;
namespace {

constexpr std::size_t KeyBytes = 24;
constexpr std::string_view KeyPrefix = "gb_";

std::string makeKey() {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::array<unsigned char, KeyBytes> Bytes{};
  if (RAND_bytes(Bytes.data(), static_cast<int>(Bytes.size())) != 1)
    return {};
  std::string Key(KeyPrefix);
  for (const unsigned char Byte : Bytes) {
    Key.push_back(Digits[Byte >> 4U]);
    Key.push_back(Digits[Byte & 0xFU]);
  }
  return Key;
}

/// The key that a command is about.
struct ChosenKey {
  std::optional<KeyHash> Hash_;
  std::string Made_; ///< The key itself, if it was made up here.
};

ChosenKey chooseKey(const Options &Given, bool MayMake) {
  if (!Given.Hash_.empty())
    return {parseKeyHash(Given.Hash_), ""};
  if (Given.ReadsKey_) {
    std::string Key;
    std::getline(std::cin, Key);
    if (Key.empty())
      return {};
    return {hashKey(Key), ""};
  }
  if (!MayMake)
    return {};
  std::string Key = makeKey();
  if (Key.empty())
    return {};
  const KeyHash Hash = hashKey(Key);
  return {Hash, std::move(Key)};
}

/// The only time that a made-up key is shown.
void reportKey(const Options &Given, const ChosenKey &Chosen) {
  json::object Shown{{"hash", asHex(*Chosen.Hash_)}};
  if (!Chosen.Made_.empty())
    Shown["key"] = Chosen.Made_;
  if (Given.IsJson_) {
    std::cout << json::serialize(Shown) << '\n';
    return;
  }
  for (const auto &Field : Shown)
    std::cout << std::string_view(Field.key()) << ": "
              << std::string_view(Field.value().as_string()) << '\n';
}

ExitCode reportUsage(std::string_view Text) {
  std::cerr << "gbctl: " << Text << "; see gbctl --help\n";
  return ExitCode::Usage;
}

json::value parseField(std::string_view Name, std::string_view Text) {
  json::error_code Error;
  json::value Value = json::parse(Text, Error);
  const bool IsList =
      Name == "classes" || Name == "adapters" || Name == "idempotent_methods";
  if (!Error && (!IsList || Value.is_array() || Value.is_null()))
    return Value;
  if (!IsList)
    return json::value(Text);
  json::array Items;
  while (!Text.empty()) {
    const std::size_t Comma = std::min(Text.find(','), Text.size());
    Items.emplace_back(Text.substr(0, Comma));
    Text.remove_prefix(std::min(Comma + 1, Text.size()));
  }
  return Items;
}

/// Merges `field=value` words into an entity; null drops a field.
bool mergeFields(std::span<const std::string> Words, json::object &Fields) {
  for (const std::string_view Word : Words) {
    const std::size_t Equals = Word.find('=');
    if (Equals == std::string_view::npos)
      return false;
    const std::string_view Name = Word.substr(0, Equals);
    json::value Value = parseField(Name, Word.substr(Equals + 1));
    if (Value.is_null())
      Fields.erase(Name);
    else
      Fields[Name] = std::move(Value);
  }
  return true;
}

/// Checks and sends one change.
ExitCode sendChange(Session &Run, const Configuration &Held,
                    EntityChange Change) {
  const Options &Given = Run.options();
  const ConfigDelta Delta = {std::move(Change)};
  const ConfigFaults Faults =
      validateChange(Held.withChanges(Delta, Held.revision() + 1), Delta);
  if (!Faults.empty())
    return Run.reportFaults(Faults);
  return Run.change(Delta, Given.IfRevision_.value_or(Held.revision()),
                    Given.IfRevision_.has_value());
}

/// Makes a call that one instance carries out itself; a repeat is safe.
ExitCode callOnce(const Options &Given, std::string_view Target,
                  const std::string &Body, std::string_view Done) {
  if (Given.Instances_.size() != 1)
    return reportUsage("this command takes exactly one --instance");
  const OperatorClient Client(Given.Instances_[0], Given.OperatorKey_);
  const auto Reply = Client.call("POST", Target, Body);
  if (!isOk(Reply)) {
    const bool IsLost = errorOf(Reply) == CallError::ReplyLost;
    std::cerr << (IsLost ? "outcome unknown: see `gbctl status`; a repeat is "
                           "safe\n"
                         : "gbctl: the instance does not answer\n");
    return IsLost ? ExitCode::Unknown : ExitCode::NotReached;
  }
  constexpr int Accepted = 202;
  if (valueOf(Reply).Status_ != Accepted) {
    std::cerr << "gbctl: refused: "
              << boost::json::serialize(valueOf(Reply).Body_) << '\n';
    return ExitCode::Refused;
  }
  std::cout << Client.address() << ' ' << Done << '\n';
  return ExitCode::Done;
}

} // namespace

ExitCode runApply(Session &Run) {
  const Options &Given = Run.options();
  const auto Held = Run.getConfiguration();
  if (!Held)
    return Run.failure();
  ConfigDelta Delta;
  if (const auto Failure = readDocument(Run, Held->Configuration_, Delta))
    return *Failure;
  if (!Given.IsJson_)
    printDelta(Held->Configuration_, Delta);
  const Revision Base =
      Given.IfRevision_.value_or(Held->Configuration_.revision());
  return Run.change(Delta, Base, true);
}

ExitCode runSet(Session &Run) {
  const std::vector<std::string> &Words = Run.options().Words_;
  const auto Kind = parseEntityKind(Words[0]);
  if (!Kind || *Kind == EntityKind::Key || Words.size() < 4)
    return reportUsage("class|org|model|service set NAME field=value...");
  const auto Held = Run.getConfiguration();
  if (!Held)
    return Run.failure();
  const EntityRef Ref{*Kind, Words[2]};
  const auto Before = Held->Configuration_.find(Ref);
  json::object Fields =
      Before ? encodeEntity(*Before).as_object() : json::object();
  if (!mergeFields(std::span(Words).subspan(3), Fields))
    return reportUsage("fields are given as field=value");
  ConfigFaults Faults;
  std::optional<Entity> Wanted = parseEntity(Ref, Fields, Faults);
  if (!Wanted)
    return Run.reportFaults(Faults);
  return sendChange(Run, Held->Configuration_, {Ref, std::move(Wanted)});
}

ExitCode runRemove(Session &Run) {
  const std::vector<std::string> &Words = Run.options().Words_;
  const auto Kind = parseEntityKind(Words[0]);
  if (!Kind || *Kind == EntityKind::Key || Words.size() != 3)
    return reportUsage("class|org|model|service remove NAME");
  const auto Held = Run.getConfiguration();
  if (!Held)
    return Run.failure();
  return sendChange(Run, Held->Configuration_,
                    {{*Kind, Words[2]}, std::nullopt});
}

ExitCode runKeyGrant(Session &Run) {
  const std::vector<std::string> &Words = Run.options().Words_;
  if (Words.size() != 3)
    return reportUsage("key grant ORGANISATION");
  const ChosenKey Chosen = chooseKey(Run.options(), true);
  if (!Chosen.Hash_)
    return reportUsage("--hash takes 64 hex digits, --stdin one line");
  const auto Held = Run.getConfiguration();
  if (!Held)
    return Run.failure();
  const KeyGrant Grant{*Chosen.Hash_, {Words[2]}};
  const ExitCode Exit =
      sendChange(Run, Held->Configuration_, {refOf(Grant), Grant});
  const bool MayBeGranted = Exit == ExitCode::Done ||
                            Exit == ExitCode::Unconfirmed ||
                            Exit == ExitCode::Unknown;
  if (!MayBeGranted)
    return Exit;
  reportKey(Run.options(), Chosen);
  return Exit;
}

ExitCode runKeyRevoke(Session &Run) {
  const ChosenKey Chosen = chooseKey(Run.options(), false);
  if (!Chosen.Hash_)
    return reportUsage("key revoke needs --hash or --stdin");
  const auto Held = Run.getConfiguration();
  if (!Held)
    return Run.failure();
  return sendChange(Run, Held->Configuration_,
                    {{EntityKind::Key, asHex(*Chosen.Hash_)}, std::nullopt});
}

ExitCode runEngineOrder(Session &Run) {
  constexpr std::size_t EngineWord = 2;
  constexpr std::size_t RoleWord = 3;
  constexpr std::size_t ModelWord = 4;
  const Options &Given = Run.options();
  boost::json::object Body{{"engine", Given.Words_[EngineWord]},
                           {"role", Given.Words_[RoleWord]}};
  if (Given.Words_.size() > ModelWord)
    Body["model"] = Given.Words_[ModelWord];
  return callOnce(Given, "/v1/orders", boost::json::serialize(Body),
                  "is ordering: see `gbctl backend list`");
}

ExitCode runDrain(Session &Run) {
  return callOnce(Run.options(), "/v1/drain", "", "drains");
}

} // namespace gooseberry

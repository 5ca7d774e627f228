#include "gbctl/Session.h"

#include "gbctl/TextTable.h"
#include "gooseberrybeam/config/ConfigRows.h"
#include "gooseberrybeam/config/ParseConfiguration.h"

#include <boost/json.hpp>

#include <array>
#include <iostream>

namespace gooseberry {
namespace json = boost::json;
namespace {

struct OutcomeInfo {
  std::string_view Code_;
  ExitCode Exit_;
  std::string_view Text_;
};

constexpr std::array<OutcomeInfo, 6> Outcomes = {{
    {"accepted", ExitCode::Done, "accepted: in force at revision "},
    {"committed_unconfirmed", ExitCode::Unconfirmed,
     "committed, not yet confirmed by enough instances: revision "},
    {"no_change", ExitCode::Done, "no change: already so at revision "},
    {"conflict", ExitCode::Conflict,
     "conflict, nothing applied: others changed it, now at revision "},
    {"invalid", ExitCode::Faults, "nothing applied: the change has faults"},
    {"not_applied", ExitCode::NotApplied, "nothing applied: "},
}};

std::string textOf(const json::value &Body, std::string_view Name) {
  const json::object *Object = Body.if_object();
  const json::value *Value = Object ? Object->if_contains(Name) : nullptr;
  return Value ? asCell(*Value) : std::string();
}

const json::array *listOf(const json::value &Body, std::string_view Name) {
  const json::object *Object = Body.if_object();
  const json::value *Value = Object ? Object->if_contains(Name) : nullptr;
  return Value ? Value->if_array() : nullptr;
}

void printList(const json::value &Body, std::string_view Name,
               std::vector<std::string> Headings) {
  const json::array *Items = listOf(Body, Name);
  if (!Items || Items->empty())
    return;
  TextTable Table(std::move(Headings));
  for (const json::value &Item : *Items)
    if (Item.is_object())
      Table.add(Item.get_object());
  Table.print(std::cout);
}

} // namespace

std::optional<json::value> Session::get(std::string_view Target) {
  for (const std::string &Address : Given_.Instances_) {
    const OperatorClient Client(Address, Given_.OperatorKey_);
    auto Reply = Client.call("GET", Target, "");
    if (!isOk(Reply))
      continue;
    if (valueOf(Reply).Status_ == 200)
      return takeValue(std::move(Reply)).Body_;
    reportError(valueOf(Reply));
    return std::nullopt;
  }
  std::cerr << "gbctl: no instance answers\n";
  return std::nullopt;
}

std::optional<HeldConfiguration> Session::getConfiguration() {
  std::optional<json::value> Body = get("/v1/config");
  if (!Body)
    return std::nullopt;
  const json::object &Object = Body->as_object();
  const auto Number = Object.at("revision").to_number<Revision>();
  const auto Parsed =
      parseConfiguration(json::serialize(Object.at("document")));
  if (!isOk(Parsed)) {
    std::cerr << "gbctl: the instance's configuration cannot be read; it may "
                 "be of another version\n";
    reportFaults(errorOf(Parsed));
    return std::nullopt;
  }
  return HeldConfiguration{
      valueOf(Parsed).Configuration_.withChanges({}, Number),
      Object.at("document")};
}

ExitCode Session::change(std::span<const EntityChange> Delta, Revision Base,
                         bool IsStrict) {
  const json::object Command{{"token", Given_.Token_},
                             {"author", Given_.Author_},
                             {"if_revision", Base},
                             {"strict", IsStrict},
                             {"changes", encodeDelta(Delta)}};
  const std::string Body = json::serialize(Command);
  bool IsLost = false;
  for (const std::string &Address : Given_.Instances_) {
    const OperatorClient Client(Address, Given_.OperatorKey_);
    const auto Reply = Client.call("POST", "/v1/config/changes", Body);
    if (isOk(Reply) && textOf(valueOf(Reply).Body_, "outcome") != "unknown") {
      const bool IsUndecided = IsLost && valueOf(Reply).Status_ != 200 &&
                               valueOf(Reply).Status_ != 202;
      return IsUndecided ? reportUnknown(Base)
                         : reportOutcome(valueOf(Reply), Base);
    }
    IsLost = IsLost || isOk(Reply) || errorOf(Reply) == CallError::ReplyLost;
  }
  if (IsLost)
    return reportUnknown(Base);
  std::cerr << "gbctl: no instance answers; nothing was applied\n";
  return ExitCode::NotReached;
}

ExitCode Session::reportFaults(const ConfigFaults &Faults) const {
  for (const ConfigFault &Fault : Faults)
    std::cerr << describe(Fault) << '\n';
  std::cerr << "nothing applied: " << Faults.size() << " faults\n";
  return ExitCode::Faults;
}

ExitCode Session::reportOutcome(const OperatorReply &Reply,
                                Revision Base) const {
  if (Given_.IsJson_)
    std::cout << json::serialize(Reply.Body_) << '\n';
  const std::string Code = textOf(Reply.Body_, "outcome");
  for (const OutcomeInfo &Info : Outcomes) {
    if (Info.Code_ != Code)
      continue;
    if (Given_.IsJson_)
      return Info.Exit_;
    std::cout << Info.Text_ << textOf(Reply.Body_, "revision")
              << textOf(Reply.Body_, "reason") << '\n';
    printList(Reply.Body_, "faults", {"path", "fault", "detail"});
    printList(Reply.Body_, "since", {"revision", "author", "token", "changes"});
    if (Info.Exit_ == ExitCode::Unconfirmed)
      std::cout << "it stays committed; see `gbctl instance list` (base "
                << Base << ")\n";
    return Info.Exit_;
  }
  std::cerr << "gbctl: " << textOf(Reply.Body_, "error") << ": "
            << textOf(Reply.Body_, "detail") << '\n';
  return ExitCode::Refused;
}

ExitCode Session::reportUnknown(Revision Base) const {
  if (Given_.IsJson_)
    std::cout << json::serialize(json::object{{"outcome", "unknown"},
                                              {"token", Given_.Token_},
                                              {"base", Base}})
              << '\n';
  std::cerr << "outcome unknown: the reply was lost.\n"
               "To find out, look for the token in `gbctl log "
            << Base
            << "`, or repeat the same command (for a granted key, with its "
               "--hash)\nand add: --token "
            << Given_.Token_ << " --if-revision " << Base
            << "\nThe repeat is safe: it is applied at most once.\n";
  return ExitCode::Unknown;
}

void Session::reportError(const OperatorReply &Reply) {
  constexpr int ServiceUnavailable = 503;
  Failure_ = Reply.Status_ == ServiceUnavailable ? ExitCode::NotReached
                                                 : ExitCode::Refused;
  std::cerr << "gbctl: " << textOf(Reply.Body_, "error") << ": "
            << textOf(Reply.Body_, "detail") << '\n';
}

} // namespace gooseberry

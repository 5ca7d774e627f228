#include "gooseberrybeam/operator/OperatorApi.h"

#include "gooseberrybeam/config/ConfigRows.h"
#include "gooseberrybeam/config/EntityCodec.h"

#include <boost/json.hpp>
#include <openssl/crypto.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace gooseberry {
namespace json = boost::json;
namespace {

constexpr std::size_t MaxTokenLength = 200;

OperatorResponse refusal(int Status, std::string_view Code,
                         std::string_view Detail) {
  const json::object Error{{"error", Code}, {"detail", Detail}};
  return {Status, json::serialize(Error)};
}

std::string_view pathOf(std::string_view Target) {
  return Target.substr(0, Target.find('?'));
}

Revision afterOf(std::string_view Target) {
  constexpr std::string_view Parameter = "?after=";
  const std::size_t At = Target.find(Parameter);
  Revision After = NoRevision;
  if (At == std::string_view::npos)
    return After;
  const std::string_view Digits = Target.substr(At + Parameter.size());
  std::from_chars(Digits.data(), Digits.data() + Digits.size(), After);
  return After;
}

std::string textOf(const json::object &Object, std::string_view Name) {
  const json::value *Value = Object.if_contains(Name);
  return Value && Value->is_string() ? std::string(Value->get_string())
                                     : std::string();
}

json::object encode(const BackendSummary &Backend) {
  return {{"name", Backend.Name_.Value_},
          {"data_centre", Backend.DataCentre_.Value_},
          {"kind", Backend.Kind_},
          {"use", Backend.Use_},
          {"state", Backend.State_},
          {"active", Backend.Active_},
          {"slots", Backend.Slots_}};
}

json::object encode(const InstanceSummary &Instance) {
  json::object Object{{"name", Instance.Name_.Value_},
                      {"peer_address", Instance.PeerAddress_},
                      {"data_centre", Instance.DataCentre_.Value_},
                      {"self", Instance.IsSelf_}};
  Object["revision"] = Instance.Revision_ ? json::value(*Instance.Revision_)
                                          : json::value(nullptr);
  return Object;
}

json::object encode(const StatusSummary &Status) {
  return {{"name", Status.Name_.Value_},
          {"data_centre", Status.DataCentre_.Value_},
          {"revision", Status.Revision_},
          {"newest_revision_named", Status.NewestNamed_},
          {"epoch", Status.Epoch_},
          {"lease_left_ms", Status.LeaseLeft_.count() / 1000},
          {"in_flight", Status.InFlight_},
          {"ready", Status.IsReady_},
          {"draining", Status.IsDraining_}};
}

template <typename Summaries> json::array encodeAll(const Summaries &All) {
  json::array Items;
  for (const auto &One : All)
    Items.push_back(encode(One));
  return Items;
}

/// Reads a command; notes every fault.
ChangeCommand parseCommand(const json::object &Object, ConfigFaults &Faults) {
  ChangeCommand Command;
  Command.Token_ = textOf(Object, "token");
  Command.Author_ = textOf(Object, "author");
  if (Command.Token_.empty() || Command.Token_.size() > MaxTokenLength)
    Faults.push_back({"/token", ConfigFaultKind::MissingField,
                      "a text of 1 to 200 bytes is expected"});
  const json::value *IfRevision = Object.if_contains("if_revision");
  json::error_code Error;
  if (IfRevision)
    Command.BaseRevision_ = IfRevision->to_number<Revision>(Error);
  if (!IfRevision || Error)
    Faults.push_back({"/if_revision", ConfigFaultKind::MissingField,
                      "the revision that the change is based on"});
  const json::value *Strict = Object.if_contains("strict");
  Command.IsStrict_ = Strict && Strict->is_bool() && Strict->get_bool();
  const json::value *Changes = Object.if_contains("changes");
  Command.Delta_ = parseDelta(Changes ? *Changes : json::value(), Faults);
  return Command;
}

} // namespace

/// One call: its method, path and member function.
struct OperatorApi::Route {
  std::string_view Method_;
  std::string_view Path_;
  void (OperatorApi::*Handle_)(const OperatorRequest &, const Handler &);
};

OperatorApi::OperatorApi(ConfigRunner &Runner, OperatorSource &Source,
                         std::string_view OperatorKey)
    : Runner_(Runner), Source_(Source), KeyHash_(hashKey(OperatorKey)),
      HasKey_(!OperatorKey.empty()) {}

void OperatorApi::handle(const OperatorRequest &Request, const Handler &Done) {
  if (!isAuthorised(Request)) {
    Done(refusal(401, "wrong_operator_key",
                 "the operators' key is expected in X-Operator-Key"));
    return;
  }
  const Route *Found = findRoute(Request);
  if (!Found) {
    Done(refusal(404, "unknown_call", "see docs/operators/gbctl.md"));
    return;
  }
  (this->*Found->Handle_)(Request, Done);
}

// Both keys are hashed first, so that neither length nor prefix shows in time.
bool OperatorApi::isAuthorised(const OperatorRequest &Request) const {
  const KeyHash Presented = hashKey(Request.Key_);
  const int Difference = CRYPTO_memcmp(Presented.Bytes_.data(),
                                       KeyHash_.Bytes_.data(), KeyHashBytes);
  return HasKey_ && Difference == 0;
}

const OperatorApi::Route *
OperatorApi::findRoute(const OperatorRequest &Request) {
  static constexpr std::array<Route, 8> Routes = {{
      {"GET", "/v1/config", &OperatorApi::getConfig},
      {"GET", "/v1/config/log", &OperatorApi::getLog},
      {"POST", "/v1/config/changes", &OperatorApi::postChanges},
      {"GET", "/v1/backends", &OperatorApi::getBackends},
      {"GET", "/v1/instances", &OperatorApi::getInstances},
      {"GET", "/v1/status", &OperatorApi::getStatus},
      {"POST", "/v1/drain", &OperatorApi::postDrain},
      {"POST", "/v1/orders", &OperatorApi::postOrders},
  }};
  const std::string_view Path = pathOf(Request.Target_);
  for (const Route &Candidate : Routes)
    if (Candidate.Method_ == Request.Method_ && Candidate.Path_ == Path)
      return &Candidate;
  return nullptr;
}

void OperatorApi::getConfig(const OperatorRequest &, const Handler &Done) {
  const ConfigFollower &Follower = Runner_.node().follower();
  if (!Follower.isLoaded()) {
    Done(refusal(503, "configuration_unknown",
                 "neither the table nor a peer has answered yet"));
    return;
  }
  const Configuration &Current = *Follower.configuration();
  const json::object Body{{"revision", Current.revision()},
                          {"document", encodeDocument(Current)}};
  Done({200, json::serialize(Body)});
}

void OperatorApi::getLog(const OperatorRequest &Request, const Handler &Done) {
  const ConfigFollower &Follower = Runner_.node().follower();
  json::array Entries;
  for (const ConfigLogEntry &Entry :
       Follower.entriesAfter(afterOf(Request.Target_)))
    Entries.push_back(encodeLogEntry(Entry));
  const json::object Body{{"revision", Follower.revision()},
                          {"entries", std::move(Entries)}};
  Done({200, json::serialize(Body)});
}

void OperatorApi::postChanges(const OperatorRequest &Request,
                              const Handler &Done) {
  json::error_code Error;
  const json::value Value = json::parse(Request.Body_, Error);
  if (Error || !Value.is_object()) {
    Done(refusal(400, "not_json", "an object is expected"));
    return;
  }
  ConfigFaults Faults;
  ChangeCommand Command = parseCommand(Value.get_object(), Faults);
  if (!Faults.empty()) {
    const ChangeOutcome Invalid = ChangeInvalid{std::move(Faults)};
    Done({asHttpStatus(Invalid), json::serialize(encodeOutcome(Invalid))});
    return;
  }
  Runner_.command(std::move(Command), [Done](const ChangeOutcome &Outcome) {
    Done({asHttpStatus(Outcome), json::serialize(encodeOutcome(Outcome))});
  });
}

void OperatorApi::getBackends(const OperatorRequest &, const Handler &Done) {
  const json::object Body{{"backends", encodeAll(Source_.listBackends())}};
  Done({200, json::serialize(Body)});
}

void OperatorApi::getInstances(const OperatorRequest &, const Handler &Done) {
  const json::object Body{{"instances", encodeAll(Source_.listInstances())}};
  Done({200, json::serialize(Body)});
}

void OperatorApi::getStatus(const OperatorRequest &, const Handler &Done) {
  Done({200, json::serialize(encode(Source_.describeStatus()))});
}

void OperatorApi::postDrain(const OperatorRequest &, const Handler &Done) {
  Done({202, json::serialize(json::object{{"draining", true}})});
  Source_.drain();
}

void OperatorApi::postOrders(const OperatorRequest &Request,
                             const Handler &Done) {
  json::error_code Error;
  const json::value Value = json::parse(Request.Body_, Error);
  if (Error || !Value.is_object()) {
    Done(refusal(400, "not_json", "an object is expected"));
    return;
  }
  const json::object &Object = Value.get_object();
  const BackendId Engine{textOf(Object, "engine")};
  const auto Role = parseEngineRole(textOf(Object, "role"));
  if (!Role) {
    Done(refusal(400, "unknown_role", "prefill or decode is expected"));
    return;
  }
  const auto Known = Source_.listBackends();
  const bool IsEngine =
      std::any_of(Known.begin(), Known.end(), [&](const BackendSummary &Each) {
        return Each.Name_ == Engine && Each.Kind_ == "engine";
      });
  if (!IsEngine) {
    Done(refusal(404, "unknown_engine", "see gbctl backend list"));
    return;
  }
  EngineState Goal;
  Goal.Role_ = *Role;
  Goal.Model_ = {textOf(Object, "model")};
  Source_.order(Engine, Goal);
  Done({202, json::serialize(json::object{{"ordered", true}})});
}

} // namespace gooseberry

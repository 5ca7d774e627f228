#include "gbctl/Commands.h"
#include "gbctl/TextTable.h"
#include "gooseberrybeam/config/ConfigDiff.h"
#include "gooseberrybeam/config/EntityCodec.h"
#include "gooseberrybeam/config/ParseConfiguration.h"

#include <boost/json.hpp>

#include <fstream>
#include <iostream>
#include <iterator>
#include <map>

namespace gooseberry {
namespace json = boost::json;
namespace {

const std::map<std::string, std::vector<std::string>, std::less<>> Columns = {
    {"classes",
     {"name", "first_token_ms", "between_tokens_ms", "answer_ms", "may_wait",
      "max_wait_ms", "retry_budget"}},
    {"organisations",
     {"name", "rate_tokens_per_s", "burst_tokens", "classes",
      "may_override_class"}},
    {"models",
     {"name", "class", "default_max_tokens", "max_tokens", "adapters"}},
    {"services",
     {"name", "service", "class", "idempotent_methods", "open",
      "tokens_per_call"}},
    {"keys", {"name", "organisation"}},
};

void printSection(std::string_view Section, const json::object &Members,
                  std::string_view Name) {
  const auto Headings = Columns.find(Section);
  if (Headings == Columns.end())
    return;
  TextTable Table(Headings->second);
  for (const auto &Member : Members) {
    if (!Name.empty() && Name != std::string_view(Member.key()))
      continue;
    json::object Row = Member.value().is_object()
                           ? Member.value().get_object()
                           : json::object{{"organisation", Member.value()}};
    Row["name"] = Member.key();
    Table.add(Row);
  }
  std::cout << Section << ":\n";
  Table.print(std::cout);
  std::cout << '\n';
}

ExitCode printListOf(Session &Run, std::string_view Target,
                     std::string_view Name, std::vector<std::string> Headings) {
  const auto Body = Run.get(Target);
  if (!Body)
    return Run.failure();
  if (Run.options().IsJson_) {
    std::cout << json::serialize(*Body) << '\n';
    return ExitCode::Done;
  }
  TextTable Table(std::move(Headings));
  for (const json::value &Item : Body->as_object().at(Name).as_array())
    Table.add(Item.as_object());
  Table.print(std::cout);
  return ExitCode::Done;
}

std::string readAll(const std::string &Path) {
  if (Path == "-")
    return {std::istreambuf_iterator<char>(std::cin), {}};
  std::ifstream File(Path);
  return {std::istreambuf_iterator<char>(File), {}};
}

} // namespace

ExitCode runGet(Session &Run) {
  const auto Held = Run.getConfiguration();
  if (!Held)
    return Run.failure();
  if (Run.options().IsJson_) {
    const json::object Body{{"revision", Held->Configuration_.revision()},
                            {"document", Held->Document_}};
    std::cout << json::serialize(Body) << '\n';
    return ExitCode::Done;
  }
  const auto &Words = Run.options().Words_;
  const std::string Name = Words.size() > 2 ? Words[2] : "";
  std::cout << "revision " << Held->Configuration_.revision() << "\n\n";
  for (const auto &Section : Held->Document_.as_object())
    if (Words.size() < 2 || Words[1] == std::string_view(Section.key()))
      printSection(Section.key(), Section.value().as_object(), Name);
  return ExitCode::Done;
}

ExitCode runLog(Session &Run) {
  const auto &Words = Run.options().Words_;
  const std::string After = Words.size() > 1 ? Words[1] : "0";
  return printListOf(Run, "/v1/config/log?after=" + After, "entries",
                     {"revision", "author", "token", "changes"});
}

ExitCode runDiff(Session &Run) {
  const auto Held = Run.getConfiguration();
  if (!Held)
    return Run.failure();
  ConfigDelta Delta;
  if (const auto Failure = readDocument(Run, Held->Configuration_, Delta))
    return *Failure;
  printDelta(Held->Configuration_, Delta);
  return Delta.empty() ? ExitCode::Done : ExitCode::Differs;
}

ExitCode runBackendList(Session &Run) {
  return printListOf(
      Run, "/v1/backends", "backends",
      {"name", "data_centre", "kind", "use", "state", "active", "slots"});
}

ExitCode runInstanceList(Session &Run) {
  return printListOf(Run, "/v1/instances", "instances",
                     {"name", "peer_address", "data_centre", "revision"});
}

ExitCode runStatus(Session &Run) {
  TextTable Table({"address", "name", "data_centre", "revision", "epoch",
                   "lease_left_ms", "in_flight", "ready", "draining"});
  json::array All;
  ExitCode Exit = ExitCode::Done;
  for (const std::string &Address : Run.options().Instances_) {
    const OperatorClient Client(Address, Run.options().OperatorKey_);
    const auto Reply = Client.call("GET", "/v1/status", "");
    json::object Row;
    if (isOk(Reply) && valueOf(Reply).Status_ == 200)
      Row = valueOf(Reply).Body_.as_object();
    else
      Exit = isOk(Reply) ? ExitCode::Refused : ExitCode::NotReached;
    Row["address"] = Address;
    Table.add(Row);
    All.push_back(std::move(Row));
  }
  if (Run.options().IsJson_)
    std::cout << json::serialize(json::object{{"instances", All}}) << '\n';
  else
    Table.print(std::cout);
  return Exit;
}

void printDelta(const Configuration &From,
                std::span<const EntityChange> Delta) {
  for (const EntityChange &Change : Delta) {
    const std::optional<Entity> Before = From.find(Change.Ref_);
    const char *Mark = !Change.Value_ ? "- " : Before ? "~ " : "+ ";
    std::cout << Mark << asCode(Change.Ref_.Kind_) << ' ' << Change.Ref_.Name_;
    if (Before)
      std::cout << ' ' << json::serialize(encodeEntity(*Before));
    if (Before && Change.Value_)
      std::cout << " ->";
    if (Change.Value_)
      std::cout << ' ' << json::serialize(encodeEntity(*Change.Value_));
    std::cout << '\n';
  }
}

std::optional<ExitCode> readDocument(const Session &Run,
                                     const Configuration &Held,
                                     ConfigDelta &Delta) {
  const std::string &Path = Run.options().Words_.back();
  const auto Parsed = parseConfiguration(readAll(Path));
  if (!isOk(Parsed))
    return Run.reportFaults(errorOf(Parsed));
  const ConfigDocument &Document = valueOf(Parsed);
  Delta = diffConfigurations(Held, Document.Configuration_, Document.Sections_);
  const ConfigFaults Faults =
      validateChange(Held.withChanges(Delta, Held.revision() + 1), Delta);
  if (!Faults.empty())
    return Run.reportFaults(Faults);
  return std::nullopt;
}

} // namespace gooseberry

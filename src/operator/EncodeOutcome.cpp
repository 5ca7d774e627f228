#include "gooseberrybeam/base/Result.h"
#include "gooseberrybeam/config/ConfigRows.h"
#include "gooseberrybeam/operator/OperatorApi.h"

#include <boost/json.hpp>

#include <array>

namespace gooseberry {
namespace json = boost::json;
namespace {

constexpr std::array<int, std::variant_size_v<ChangeOutcome>> Statuses = {
    200, 202, 200, 409, 422, 503, 504};

json::array encodeFaults(const ConfigFaults &Faults) {
  json::array Items;
  for (const ConfigFault &Fault : Faults)
    Items.push_back(json::object{{"path", Fault.Path_},
                                 {"fault", asCode(Fault.Kind_)},
                                 {"detail", Fault.Detail_}});
  return Items;
}

json::array encodeSince(const std::vector<ConfigLogEntry> &Since) {
  json::array Items;
  for (const ConfigLogEntry &Entry : Since)
    Items.push_back(encodeLogEntry(Entry));
  return Items;
}

} // namespace

json::object encodeOutcome(const ChangeOutcome &Outcome) {
  json::object Body{{"outcome", asCode(Outcome)}};
  std::visit(
      Overloaded{
          [&](const ChangeAccepted &End) { Body["revision"] = End.Revision_; },
          [&](const ChangeUnconfirmed &End) {
            Body["revision"] = End.Revision_;
          },
          [&](const ChangeNoOp &End) { Body["revision"] = End.Revision_; },
          [&](const ChangeConflict &End) {
            Body["revision"] = End.Revision_;
            Body["since"] = encodeSince(End.NewerEntries_);
          },
          [&](const ChangeInvalid &End) {
            Body["faults"] = encodeFaults(End.Faults_);
          },
          [&](const ChangeNotApplied &End) {
            Body["reason"] = asCode(End.Reason_);
          },
          [&](const ChangeUnknown &End) { Body["base"] = End.BaseRevision_; }},
      Outcome);
  return Body;
}

int asHttpStatus(const ChangeOutcome &Outcome) {
  return Statuses.at(Outcome.index());
}

} // namespace gooseberry

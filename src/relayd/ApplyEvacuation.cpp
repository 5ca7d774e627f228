#include "gooseberrybeam/relayd/ApplyEvacuation.h"

#include "gooseberrybeam/log/Log.h"

namespace gooseberry {
namespace {

void logChange(std::string_view Sentence, const DataCentreId &DataCentre,
               const EvacuationState &State, std::string_view Origin) {
  logLine(LogPart::Service, LogLevel::Info, Sentence,
          {{"data_centre", DataCentre.Value_},
           {"version", asText(State.Version_)},
           {"from", Origin}});
}

} // namespace

void applyEvacuation(BackendDirectory &Directory, const EvacuationState &State,
                     std::string_view Origin) {
  const EvacuationChange Change = Directory.evacuation().merge(State);
  for (const DataCentreId &Each : Change.Begun_)
    logChange("Data centre is evacuated.", Each, State, Origin);
  for (const DataCentreId &Each : Change.Ended_)
    logChange("Evacuation of a data centre has ended.", Each, State, Origin);
}

} // namespace gooseberry

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

void assumeCold(BackendDirectory &Directory,
                const RelayConfiguration &Configuration,
                const DataCentreId &DataCentre) {
  const TimePoint Now = readBootClock();
  for (const auto &[Id, Entry] : Directory.entries()) {
    const RelayService *Service = Configuration.findService(Entry.Service_);
    if (Entry.DataCentre_ != DataCentre || !Service || !Service->ColdStart_)
      continue;
    const Duration ColdTime = Service->ColdStart_->Time_;
    if (Directory.coldServers().onEvacuationEnded(Entry, ColdTime, Now))
      logLine(LogPart::Service, LogLevel::Info, "Backend server is cold.",
              {{"server", Id.Value_},
               {"remaining_ms", std::to_string(wholeMilliseconds(ColdTime))},
               {"per_second",
                std::to_string(Service->ColdStart_->RequestsPerSecond_)}});
  }
}

} // namespace

void applyEvacuation(BackendDirectory &Directory,
                     const RelayConfiguration *Configuration,
                     const EvacuationState &State, std::string_view Origin) {
  const EvacuationChange Change = Directory.evacuation().merge(State);
  for (const DataCentreId &Each : Change.Begun_)
    logChange("Data centre is evacuated.", Each, State, Origin);
  for (const DataCentreId &Each : Change.Ended_) {
    logChange("Evacuation of a data centre has ended.", Each, State, Origin);
    if (Configuration)
      assumeCold(Directory, *Configuration, Each);
  }
}

} // namespace gooseberry

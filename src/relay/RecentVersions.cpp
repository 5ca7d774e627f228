#include "gooseberrybeam/relay/RecentVersions.h"

namespace gooseberry {

void RecentVersions::observe(const BackendDirectory &Directory, TimePoint Now) {
  for (const auto &[Id, Entry] : Directory.entries())
    if (Entry.Role_)
      SeenAt_[Entry.Service_][Entry.SoftwareVersion_] = Now;
  if (!ObservedSince_ && !SeenAt_.empty())
    ObservedSince_ = Now;
}

// An origin that is disputed has an empty version, which counts as another one.
void RecentVersions::onOrigin(const StreamOrigin &Origin, TimePoint Now) {
  SeenAt_[Origin.Service_][Origin.Software_] = Now;
}

void RecentVersions::onSaved(std::span<const StreamOrigin> Saved,
                             TimePoint Now) {
  HasReadSaved_ = true;
  for (const StreamOrigin &Each : Saved)
    onOrigin(Each, Now);
}

std::optional<SoftwareVersionId> RecentVersions::sole(const ServiceId &Service,
                                                      TimePoint Now) const {
  constexpr Duration Lifetime = StreamOriginLedger::Lifetime;
  const bool KnowsPast =
      HasReadSaved_ || (ObservedSince_ && *ObservedSince_ + Lifetime <= Now);
  const auto Versions = SeenAt_.find(Service);
  if (!KnowsPast || Versions == SeenAt_.end())
    return std::nullopt;
  std::optional<SoftwareVersionId> Sole;
  for (const auto &[Version, SeenAt] : Versions->second) {
    if (SeenAt + Lifetime < Now)
      continue;
    if (Sole || Version.isEmpty())
      return std::nullopt;
    Sole = Version;
  }
  return Sole;
}

} // namespace gooseberry

/// \file
/// The software versions that engines of each service have had lately.
#ifndef GOOSEBERRYBEAM_RELAY_RECENTVERSIONS_H
#define GOOSEBERRYBEAM_RELAY_RECENTVERSIONS_H

#include "gooseberrybeam/relay/BackendDirectory.h"
#include "gooseberrybeam/relay/StreamOriginLedger.h"

#include <map>
#include <optional>
#include <span>

namespace gooseberry {

/// Knows what began a stream without knowing the stream, if engines of its
/// service have had one version only since before any stream began that a
/// caller may still take up.
class RecentVersions {
public:
  /// Records the versions of the registered engines. Called regularly.
  /// \param Directory the registered servers.
  /// \param Now the current time.
  void observe(const BackendDirectory &Directory, TimePoint Now);
  /// Records that a stream was begun.
  /// \param Now the current time.
  void onOrigin(const StreamOrigin &Origin, TimePoint Now);
  /// Records the saved origins of the time before this process.
  /// \param Saved all that could be read.
  /// \param Now the current time.
  void onSaved(std::span<const StreamOrigin> Saved, TimePoint Now);
  /// \param Service a service.
  /// \param Now the current time.
  /// \returns the only version that can have begun a stream; none if there are
  /// several, or if the time before this process is not known.
  std::optional<SoftwareVersionId> sole(const ServiceId &Service,
                                        TimePoint Now) const;

private:
  std::map<ServiceId, std::map<SoftwareVersionId, TimePoint>> SeenAt_;
  std::optional<TimePoint> ObservedSince_; ///< None before the first server.
  bool HasReadSaved_ = false;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_RECENTVERSIONS_H

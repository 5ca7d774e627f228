/// \file
/// The instances that are registered in the store.
#ifndef GOOSEBERRYBEAM_RELAYD_INSTANCEREGISTRY_H
#define GOOSEBERRYBEAM_RELAYD_INSTANCEREGISTRY_H

#include "gooseberrybeam/base/Time.h"
#include "gooseberrybeam/relayd/RelayMember.h"
#include "gooseberrybeam/relayd/RowStore.h"

#include <map>
#include <string>
#include <vector>

namespace gooseberry {

/// Mirrors the registrations of instances. When the store is restored from a
/// copy, registrations written after the copy are missing or older than known.
/// The known ones are kept until the instances have had time to register again,
/// so that limits and homes do not change for nothing.
class InstanceRegistry {
public:
  /// Records that the store was restored.
  /// \param Version the version of the first rows read since.
  /// \param Now the current time.
  void onRestored(const StoreVersion &Version, TimePoint Now);
  /// Takes the registrations from all rows of the table.
  /// \param Rows the rows by key; others than registrations are skipped.
  /// \param Now the current time.
  void update(const std::map<std::string, StoreRow> &Rows, TimePoint Now);
  /// \param Now the current time.
  /// \returns true once after the time to register again has passed: known
  /// instances that have not done so go with the next `update`.
  bool hasJustSettled(TimePoint Now);

  /// \returns the registered instances, by name.
  std::vector<RelayMember> members() const;

private:
  struct Registration {
    RelayMember Member_;
    StoreVersion Version_;
  };

  std::map<InstanceId, Registration> Registrations_;
  StoreVersion RestoredVersion_;
  TimePoint SettledAt_{Duration::zero()};
  bool IsSettling_ = false;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAYD_INSTANCEREGISTRY_H

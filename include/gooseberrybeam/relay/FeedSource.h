/// \file
/// Decides whether an instance follows the store itself.
#ifndef GOOSEBERRYBEAM_RELAY_FEEDSOURCE_H
#define GOOSEBERRYBEAM_RELAY_FEEDSOURCE_H

#include "gooseberrybeam/relay/TableUpdate.h"

#include <optional>

namespace gooseberry {

/// Decides whether an instance takes the changes of a table from its home or
/// from the store. If all instances followed the store, each change would cost
/// as many calls as there are instances. So only the home follows it and hands
/// changes on; an instance whose home is silent, behind, or not fed by the
/// store follows the store itself. No instance depends on another for longer
/// than the time limits below.
class FeedSource {
public:
  /// Records the state of the home's copy.
  /// \param State as stated by the home.
  /// \param OwnVersion the version of this instance's copy.
  /// \param Now the current time.
  void onHomeState(const FeedState &State, const StoreVersion &OwnVersion,
                   TimePoint Now);
  /// Records that another instance has become home.
  void onHomeChanged();

  /// \param Now the current time.
  /// \returns whether changes come from the home, so that the store need not be
  /// followed.
  bool isFedByHome(TimePoint Now) const;

private:
  std::optional<TimePoint> UsableSince_; ///< Without interruption.
  TimePoint LastUsableAt_{Duration::zero()};
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_FEEDSOURCE_H

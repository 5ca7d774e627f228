#include "gooseberrybeam/relay/EvacuationState.h"

#include <algorithm>
#include <iterator>

namespace gooseberry {

EvacuationChange EvacuationState::merge(const EvacuationState &Other) {
  EvacuationChange Change;
  if (Other.Version_ <= Version_)
    return Change;
  std::set_difference(Other.DataCentres_.begin(), Other.DataCentres_.end(),
                      DataCentres_.begin(), DataCentres_.end(),
                      std::back_inserter(Change.Begun_));
  std::set_difference(DataCentres_.begin(), DataCentres_.end(),
                      Other.DataCentres_.begin(), Other.DataCentres_.end(),
                      std::back_inserter(Change.Ended_));
  *this = Other;
  return Change;
}

} // namespace gooseberry

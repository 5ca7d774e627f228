/// \file
/// What began a stream.
#ifndef GOOSEBERRYBEAM_RELAY_STREAMORIGIN_H
#define GOOSEBERRYBEAM_RELAY_STREAMORIGIN_H

#include "gooseberrybeam/base/Ids.h"

namespace gooseberry {

/// The service and the software that wrote the first event of a stream. Only
/// engines of the same software can go on with it.
struct StreamOrigin {
  RequestId Stream_; ///< The request that brought the first event.
  ServiceId Service_;
  SoftwareVersionId Software_;

  friend bool operator==(const StreamOrigin &, const StreamOrigin &) = default;
};

/// \param Stream a stream, or a request that begins one.
/// \returns a number in [0, 1) that is the same at every instance, to choose
/// among the services of a route.
double drawOf(const RequestId &Stream);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_STREAMORIGIN_H

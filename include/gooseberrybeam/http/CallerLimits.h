/// \file
/// Bounds on what a caller may send and how long it may take.
#ifndef GOOSEBERRYBEAM_HTTP_CALLERLIMITS_H
#define GOOSEBERRYBEAM_HTTP_CALLERLIMITS_H

#include "gooseberrybeam/base/Time.h"
#include "gooseberrybeam/http/ByteBudget.h"

#include <cstdint>
#include <memory>

namespace gooseberry {

/// Bounds of a caller's connection.
struct CallerLimits {
  std::uint32_t MaxHeaderBytes_ = 16 * 1024;
  std::uint64_t MaxBodyBytes_ = std::uint64_t{1} << 20;
  Duration HeaderTimeout_ = std::chrono::seconds(10); ///< Whole head.
  Duration BodyTimeout_ = std::chrono::seconds(30);   ///< Whole body.
  Duration KeepAlive_ = std::chrono::seconds(60);     ///< Between requests.
  Duration WriteTimeout_ = std::chrono::seconds(20);  ///< Each write.
  Duration DefaultDeadline_ = std::chrono::seconds(120);
  /// Bounds the bodies of all requests together; null for no bound.
  std::shared_ptr<ByteBudget> Bodies_ = nullptr;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_HTTP_CALLERLIMITS_H

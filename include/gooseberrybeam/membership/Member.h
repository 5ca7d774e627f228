/// \file
/// The identity of one process that runs under an instance name.
#ifndef GOOSEBERRYBEAM_MEMBERSHIP_MEMBER_H
#define GOOSEBERRYBEAM_MEMBERSHIP_MEMBER_H

#include "gooseberrybeam/base/Ids.h"

#include <compare>
#include <cstdint>
#include <functional>

namespace gooseberry {

/// An instance name together with the incarnation number of its process.
struct MemberId {
  InstanceId Name_;
  std::uint64_t Incarnation_ = 0;

  friend auto operator<=>(const MemberId &, const MemberId &) = default;
  friend bool operator==(const MemberId &, const MemberId &) = default;
};

} // namespace gooseberry

template <> struct std::hash<gooseberry::MemberId> {
  std::size_t operator()(const gooseberry::MemberId &Id) const noexcept {
    constexpr std::uint64_t Mix = 0x9e3779b97f4a7c15U;
    return std::hash<gooseberry::InstanceId>()(Id.Name_) ^
           (Id.Incarnation_ * Mix);
  }
};

#endif // GOOSEBERRYBEAM_MEMBERSHIP_MEMBER_H

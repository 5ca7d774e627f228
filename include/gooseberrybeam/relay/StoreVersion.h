/// \file
/// Versions of the store and its rows.
#ifndef GOOSEBERRYBEAM_RELAY_STOREVERSION_H
#define GOOSEBERRYBEAM_RELAY_STOREVERSION_H

#include <compare>
#include <cstdint>
#include <string>

namespace gooseberry {

/// A version of the store or of one of its rows. Within an era numbers only
/// grow. A store that is restored from an older copy begins a new era, in which
/// numbers of the last one are given out again; so any version of a later era
/// is newer, whatever its number.
struct StoreVersion {
  /// \param Number the number; 0 if nothing was read or the row is absent.
  /// \param Era the era; 0 if the store states none.
  constexpr StoreVersion(std::uint64_t Number = 0, std::uint64_t Era = 0)
      : Era_(Era), Number_(Number) {}

  // Compared in this order.
  std::uint64_t Era_;
  std::uint64_t Number_;

  /// \returns whether a version was read.
  constexpr bool isKnown() const { return Number_ != 0; }

  friend constexpr auto operator<=>(const StoreVersion &,
                                    const StoreVersion &) = default;
};

/// \param Version a version.
/// \returns `ERA.NUMBER` for logs, without the era if the store states none.
inline std::string asText(const StoreVersion &Version) {
  const std::string Number = std::to_string(Version.Number_);
  return Version.Era_ == 0 ? Number
                           : std::to_string(Version.Era_) + "." + Number;
}

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_STOREVERSION_H

/// \file
/// Parts of an organisation's limit, in conserved units.
#ifndef GOOSEBERRYBEAM_LIMITS_SHARE_H
#define GOOSEBERRYBEAM_LIMITS_SHARE_H

#include <cassert>
#include <cstdint>

namespace gooseberry {

/// Thousandths of a token.
using MilliTokens = std::int64_t;

/// Thousandths of a token in one token.
inline constexpr MilliTokens MilliPerToken = 1000;

/// Units of rate, and units of burst, that all parts of a limit add up to.
inline constexpr std::int64_t WholeUnits = std::int64_t{1} << 20;

/// Largest rate or burst: its product with `WholeUnits` fits in 63 bits.
inline constexpr MilliTokens MaxLimit = 8'000'000'000'000;

/// An organisation's limit over all instances together.
struct Limit {
  MilliTokens RatePerSecond_ = 0;
  MilliTokens Burst_ = 0;

  friend bool operator==(const Limit &, const Limit &) = default;
};

/// A part of a limit, independent of the limit's current size: a change of
/// the limit scales every part at once and needs no message.
struct Share {
  std::int64_t RateUnits_ = 0;
  std::int64_t BurstUnits_ = 0;

  friend bool operator==(const Share &, const Share &) = default;

  Share &operator+=(const Share &Other) {
    RateUnits_ += Other.RateUnits_;
    BurstUnits_ += Other.BurstUnits_;
    return *this;
  }

  Share &operator-=(const Share &Other) {
    assert(RateUnits_ >= Other.RateUnits_ && BurstUnits_ >= Other.BurstUnits_);
    RateUnits_ -= Other.RateUnits_;
    BurstUnits_ -= Other.BurstUnits_;
    return *this;
  }

  /// \returns whether nothing is in this part.
  bool isEmpty() const { return RateUnits_ == 0 && BurstUnits_ == 0; }
};

/// The whole of a limit.
inline constexpr Share WholeShare{WholeUnits, WholeUnits};

/// \param Total a rate or burst, at most `MaxLimit`.
/// \param Units a part of it.
/// \returns the part's size, rounded down.
constexpr MilliTokens portionOf(MilliTokens Total, std::int64_t Units) {
  return Total * Units / WholeUnits;
}

/// \param Total a burst.
/// \param Amount an amount within it.
/// \returns the units that hold \p Amount, rounded up, at most the whole.
constexpr std::int64_t unitsFor(MilliTokens Total, MilliTokens Amount) {
  if (Amount <= 0)
    return 0;
  if (Amount >= Total)
    return WholeUnits;
  return (Amount * WholeUnits + Total - 1) / Total;
}

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_LIMITS_SHARE_H

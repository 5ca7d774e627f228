/// \file
/// Shares of an organisation's limit, in conserved units.
#ifndef GOOSEBERRYBEAM_LIMITS_SHARE_H
#define GOOSEBERRYBEAM_LIMITS_SHARE_H

#include <cassert>
#include <cstdint>

namespace gooseberry {

/// Thousandths of a token.
using MilliTokens = std::int64_t;

/// Thousandths of a token in one token.
inline constexpr MilliTokens MilliPerToken = 1000;

/// Units of rate, and units of burst, in one limit: the sum over all shares.
inline constexpr std::int64_t WholeUnits = std::int64_t{1} << 20;

/// Largest rate or burst. Its product with `WholeUnits` fits in 63 bits.
inline constexpr MilliTokens MaxLimit = 8'000'000'000'000;

/// An organisation's limit across all instances.
struct Limit {
  MilliTokens RatePerSecond_ = 0;
  MilliTokens Burst_ = 0;

  friend bool operator==(const Limit &, const Limit &) = default;
};

/// A fraction of a limit, in units that do not depend on the limit's size: a
/// change of the limit scales every share at once, without messages.
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

  /// \returns whether the share has no units.
  bool isEmpty() const { return RateUnits_ == 0 && BurstUnits_ == 0; }
};

/// The share that covers a whole limit.
inline constexpr Share WholeShare{WholeUnits, WholeUnits};

/// \param Total a rate or burst, at most `MaxLimit`.
/// \param Units units of it.
/// \returns the amount that the units cover, rounded down.
constexpr MilliTokens portionOf(MilliTokens Total, std::int64_t Units) {
  return Total * Units / WholeUnits;
}

/// \param Total the burst of a limit.
/// \param Amount an amount of that burst.
/// \returns the units that cover \p Amount, rounded up, at most `WholeUnits`.
constexpr std::int64_t unitsFor(MilliTokens Total, MilliTokens Amount) {
  if (Amount <= 0)
    return 0;
  if (Amount >= Total)
    return WholeUnits;
  return (Amount * WholeUnits + Total - 1) / Total;
}

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_LIMITS_SHARE_H

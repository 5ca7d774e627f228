/// \file
/// Turns of competing ranks.
#ifndef GOOSEBERRYBEAM_FAIRNESS_RANKSCHEDULE_H
#define GOOSEBERRYBEAM_FAIRNESS_RANKSCHEDULE_H

#include <cstdint>
#include <span>

namespace gooseberry {

/// Decides which rank is served next while requests of different ranks wait:
/// the most urgent one, but one grant in `GrantsPerTurn` goes to a less urgent
/// one, so that no rank is blocked completely. The less urgent ranks take
/// turns.
class RankSchedule {
public:
  /// With equal demand, a less urgent rank gets a third of the average of two
  /// ranks and a quarter of that of three; of more ranks, less than a quarter.
  static constexpr std::uint32_t GrantsPerTurn = 6;

  /// \param Waiting the ranks of the waiting requests, ascending, at least one.
  /// \returns the rank whose turn it is.
  std::uint32_t next(std::span<const std::uint32_t> Waiting) const;

  /// Records a grant. Grants without competition do not count.
  /// \param Rank the rank of the request that was granted.
  /// \param Waiting the ranks of the waiting requests, ascending, with the
  /// granted one.
  void onGranted(std::uint32_t Rank, std::span<const std::uint32_t> Waiting);

private:
  /// Grants to the most urgent rank since the last one to another rank.
  std::uint32_t UrgentGrants_ = 0;
  std::uint32_t LastTurn_ = 0; ///< The less urgent rank that was served last.
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_FAIRNESS_RANKSCHEDULE_H

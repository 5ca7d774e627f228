/// \file
/// Proposes role changes of one model's engines.
#ifndef GOOSEBERRYBEAM_ORDERS_ROLEPLANNER_H
#define GOOSEBERRYBEAM_ORDERS_ROLEPLANNER_H

#include "gooseberrybeam/base/EngineRole.h"
#include "gooseberrybeam/base/Ids.h"
#include "gooseberrybeam/base/Time.h"

#include <array>
#include <optional>
#include <vector>

namespace gooseberry {

/// Settings of the planner.
struct RolePlanOptions {
  double PrefillUtilisation_ =
      0.70; ///< Share of a prefill engine's time to plan for.
  double DecodeUtilisation_ =
      0.75; ///< Share of a decode engine's slots to plan for.
  std::uint32_t DecodeSlots_ = 20;
  std::uint32_t SpareEngines_ =
      1; ///< Engines kept in each role beyond the need.
  Duration Window_{std::chrono::seconds(5)};       ///< One measure of demand.
  Duration GrowDelay_{std::chrono::seconds(5)};    ///< Short for so long.
  Duration ShrinkDelay_{std::chrono::seconds(15)}; ///< Too large for so long.
  Duration Cooldown_{std::chrono::seconds(2)};     ///< Between two changes.
};

/// The engines of one model; the one to change first stands last.
struct RoleState {
  std::vector<BackendId> Prefill_;
  std::vector<BackendId> Decode_;
  std::vector<BackendId> Idle_; ///< Warm no longer, but to be had.
};

/// One change to be ordered.
struct RoleProposal {
  BackendId Engine_;
  std::optional<EngineRole> Role_; ///< None: let it idle.
};

/// Measures a model's demand and proposes one change at a time. Runs at the
/// model's home, which sees all of its work. Hysteresis: a shortage must last
/// for `GrowDelay_`; a surplus must hold against the highest demand of
/// `ShrinkDelay_`, the spare engine included.
class RolePlanner {
public:
  /// \param Options settings.
  explicit RolePlanner(RolePlanOptions Options = {}) : Options_(Options) {}

  /// Counts arriving work.
  /// \param Prefill expected time on a prefill engine.
  /// \param Decode expected time in a decode slot.
  /// \param Now the current time.
  void onWork(Duration Prefill, Duration Decode, TimePoint Now);

  /// \param State the engines as they are; changes under way are counted as
  /// done.
  /// \param Now the current time.
  /// \returns a change to order, if one is due.
  std::optional<RoleProposal> plan(const RoleState &State, TimePoint Now);

private:
  struct Demand {
    double Prefill_ = 0; ///< Engines' worth.
    double Decode_ = 0;  ///< Slots' worth.
  };
  struct Shortfall {
    int Prefill_ = 0; ///< Engines more (or fewer) than there are.
    int Decode_ = 0;
  };
  static constexpr std::size_t WindowCount = 16;

  void advanceWindows(TimePoint Now);
  Shortfall shortfallOf(const Demand &ExpectedDemand,
                        const RoleState &State) const;
  Demand peakDemand(Duration Period) const;
  std::optional<RoleProposal> grow(const Shortfall &CurrentShortfall,
                                   const Shortfall &PeakShortfall,
                                   const RoleState &State) const;
  std::optional<RoleProposal> shrink(const Shortfall &PeakShortfall,
                                     const RoleState &State) const;

  RolePlanOptions Options_;
  std::array<Demand, WindowCount> PastDemands_{};
  std::size_t FinishedWindows_ = 0; ///< Finished ones.
  Demand CurrentWork_;              ///< Seconds of work in this window.
  std::optional<TimePoint> WindowStart_;
  std::optional<TimePoint> ShortfallSince_;
  std::optional<TimePoint> ChangedAt_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_ORDERS_ROLEPLANNER_H

/// \file
/// Proposes role changes for the engines of one model.
#ifndef GOOSEBERRYBEAM_ORDERS_ROLEPLANNER_H
#define GOOSEBERRYBEAM_ORDERS_ROLEPLANNER_H

#include "gooseberrybeam/base/EngineRole.h"
#include "gooseberrybeam/base/Ids.h"
#include "gooseberrybeam/base/Time.h"

#include <array>
#include <optional>
#include <vector>

namespace gooseberry {

/// Settings of a `RolePlanner`.
struct RolePlanOptions {
  /// Share of a prefill engine's time to plan for.
  double PrefillUtilisation_ = 0.70;
  /// Share of a decode engine's slots to plan for.
  double DecodeUtilisation_ = 0.75;
  std::uint32_t DecodeSlots_ = 20; ///< Decode slots per engine.
  std::uint32_t SpareEngines_ = 1; ///< Engines kept per role beyond the need.
  /// Length of one measurement of demand.
  Duration Window_{std::chrono::seconds(5)};
  /// How long a shortfall must last before an engine is added.
  Duration GrowDelay_{std::chrono::seconds(5)};
  /// Period against whose peak demand a surplus must hold.
  Duration ShrinkDelay_{std::chrono::seconds(15)};
  /// Minimum time between two changes.
  Duration Cooldown_{std::chrono::seconds(2)};
};

/// The engines of one model by role. The last of each list changes first.
struct RoleState {
  std::vector<BackendId> Prefill_;
  std::vector<BackendId> Decode_;
  std::vector<BackendId> Idle_; ///< No longer warm, but available.
};

/// A proposed change of one engine's role.
struct RoleProposal {
  BackendId Engine_;
  std::optional<EngineRole> Role_; ///< Empty: the engine becomes idle.
};

/// Measures a model's demand and proposes one change at a time. It runs on the
/// model's home instance, which sees all work of the model. For hysteresis, a
/// shortfall must last for `GrowDelay_`, and a surplus must remain at the peak
/// demand of the last `ShrinkDelay_` with the spare engines included.
class RolePlanner {
public:
  /// \param Options settings of the planner.
  explicit RolePlanner(RolePlanOptions Options = {}) : Options_(Options) {}

  /// Adds arriving work to the measured demand.
  /// \param Prefill the expected time on a prefill engine.
  /// \param Decode the expected time in a decode slot.
  /// \param Now the current time.
  void onWork(Duration Prefill, Duration Decode, TimePoint Now);

  /// \param State the current engines, with changes in progress counted as
  /// done.
  /// \param Now the current time.
  /// \returns a change to order, or nothing.
  std::optional<RoleProposal> plan(const RoleState &State, TimePoint Now);

private:
  struct Demand {
    double Prefill_ = 0; ///< Engines fully busy.
    double Decode_ = 0;  ///< Slots fully busy.
  };
  struct Shortfall {
    int Prefill_ = 0; ///< Missing engines; negative for a surplus.
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
  std::size_t FinishedWindows_ = 0; ///< Number of completed windows.
  Demand CurrentWork_;              ///< Seconds of work in the open window.
  std::optional<TimePoint> WindowStart_;
  std::optional<TimePoint> ShortfallSince_;
  std::optional<TimePoint> ChangedAt_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_ORDERS_ROLEPLANNER_H

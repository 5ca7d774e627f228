/// \file
/// Orders that put an engine into a role, model, adapter and version, and the
/// table row in which an order is stored.
#ifndef GOOSEBERRYBEAM_ORDERS_ENGINEORDER_H
#define GOOSEBERRYBEAM_ORDERS_ENGINEORDER_H

#include "gooseberrybeam/base/EngineRole.h"
#include "gooseberrybeam/base/Ids.h"
#include "gooseberrybeam/base/Result.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gooseberry {

/// Increases with every lease of the right to order an engine, so that an
/// engine can refuse orders of an earlier lease holder.
using FencingToken = std::uint64_t;

/// An engine's ordered or reported state. In an order, an empty model, adapter
/// or version leaves the engine's own unchanged.
struct EngineState {
  EngineRole Role_ = EngineRole::Prefill;
  ModelId Model_;
  std::string Adapter_;
  std::string Version_;

  friend bool operator==(const EngineState &, const EngineState &) = default;
};

/// The table row that stores an engine's ordered state and the lease of the
/// right to order it.
struct EngineOrderRow {
  EngineState Goal_;
  std::string Holder_; ///< Lease holder, `<instance>#<incarnation>`.
  FencingToken Fence_ = 0;
  bool Confirmed_ = false; ///< The engine has reported this state.

  friend bool operator==(const EngineOrderRow &,
                         const EngineOrderRow &) = default;
};

/// Why a row value could not be parsed.
enum class EngineOrderError : std::uint8_t { Malformed };

/// \param Row the row to encode.
/// \returns the row's value, as JSON.
std::string encodeEngineOrder(const EngineOrderRow &Row);

/// \param Value a row's value.
/// \returns the parsed row, or `Malformed`.
Result<EngineOrderRow, EngineOrderError>
parseEngineOrder(std::string_view Value);

/// \param Engine an engine.
/// \returns the key of its order row.
std::string engineOrderRowKey(const BackendId &Engine);

/// \param Goal the ordered state.
/// \param Reported the state that the engine reports.
/// \returns whether the reported state satisfies the order. An engine whose
/// report contradicts its order gets no work in either state until it is
/// ordered again.
bool isGoalReached(const EngineState &Goal, const EngineState &Reported);

/// \param Role a role.
/// \returns `prefill` or `decode`.
std::string_view asCode(EngineRole Role);

/// \param Code `prefill` or `decode`.
/// \returns the role, or nothing.
std::optional<EngineRole> parseEngineRole(std::string_view Code);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_ORDERS_ENGINEORDER_H

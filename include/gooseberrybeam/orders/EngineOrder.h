/// \file
/// What an engine may be ordered to be.
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

/// Grows with every lease of an engine's orders.
using FencingToken = std::uint64_t;

/// The state that an engine is to have. Empty names are left as they are.
struct EngineState {
  EngineRole Role_ = EngineRole::Prefill;
  ModelId Model_;
  std::string Adapter_;
  std::string Version_;

  friend bool operator==(const EngineState &, const EngineState &) = default;
};

/// The row in which the goal of one engine and the right to order it are kept.
struct EngineOrderRow {
  EngineState Goal_;
  std::string Holder_; ///< `<instance>#<incarnation>` that may order.
  FencingToken Fence_ = 0;
  bool Confirmed_ = false; ///< The engine has been seen in this state.

  friend bool operator==(const EngineOrderRow &,
                         const EngineOrderRow &) = default;
};

/// Why a row is not an order.
enum class EngineOrderError : std::uint8_t { Malformed };

/// \param Row an order's row.
/// \returns the row's value, as JSON.
std::string encodeEngineOrder(const EngineOrderRow &Row);

/// \param Value a row's value.
/// \returns the order that it holds.
Result<EngineOrderRow, EngineOrderError>
parseEngineOrder(std::string_view Value);

/// \param Engine an engine.
/// \returns the key of its order's row.
std::string engineOrderRowKey(const BackendId &Engine);

/// \param Goal the state wanted.
/// \param Reported the state that the engine reports.
/// \returns whether the engine is in the state wanted. An engine whose reports
/// contradict its order gets no work in either state until it is ordered anew.
bool isGoalReached(const EngineState &Goal, const EngineState &Reported);

/// \param Role a role.
/// \returns `prefill` or `decode`.
std::string_view asCode(EngineRole Role);

/// \param Code `prefill` or `decode`.
/// \returns the role, or nothing.
std::optional<EngineRole> parseEngineRole(std::string_view Code);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_ORDERS_ENGINEORDER_H

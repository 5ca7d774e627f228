/// \file
/// Keeps the number of engines that load weights at once bounded.
#ifndef GOOSEBERRYBEAM_ORDERS_WEIGHTLOADS_H
#define GOOSEBERRYBEAM_ORDERS_WEIGHTLOADS_H

#include "gooseberrybeam/base/Ids.h"
#include "gooseberrybeam/base/Result.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberry {

/// Key of the one row that lists the loads in progress.
inline constexpr std::string_view WeightLoadsRowKey = "weight-loads";

/// Why a row is not a list of loads.
enum class WeightLoadsError : std::uint8_t { Malformed };

/// The engines that load weights from the rate-limited store. The list is
/// changed in the same transaction as the order that needs it.
class WeightLoads {
public:
  /// \param Value a row's value; empty if the row does not exist.
  /// \returns the list.
  static Result<WeightLoads, WeightLoadsError>
  makeFromRow(std::string_view Value);

  /// Adds a load.
  /// \param Engine the engine that is to load.
  /// \param MaxLoads loads allowed at once.
  /// \returns false, and changes nothing, if there is no room. An engine that
  /// is listed already keeps its place.
  bool tryAdd(const BackendId &Engine, std::size_t MaxLoads);

  /// Removes a load that has ended.
  /// \param Engine the engine.
  void remove(const BackendId &Engine);

  /// \param Engine an engine.
  /// \returns whether it is listed.
  bool isListed(const BackendId &Engine) const;

  /// \returns the row's value.
  std::string encode() const;

private:
  std::vector<BackendId> Engines_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_ORDERS_WEIGHTLOADS_H

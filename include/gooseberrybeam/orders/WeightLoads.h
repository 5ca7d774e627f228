/// \file
/// Bounds the number of engines that load weights at the same time.
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

/// Why a row value could not be parsed.
enum class WeightLoadsError : std::uint8_t { Malformed };

/// The engines that are loading weights from the rate-limited weight store. The
/// list is changed in the same transaction as the order that causes a load.
class WeightLoads {
public:
  /// \param Value a row's value; empty if the row does not exist.
  /// \returns the list, or `Malformed`.
  static Result<WeightLoads, WeightLoadsError>
  makeFromRow(std::string_view Value);

  /// Adds a load.
  /// \param Engine the engine that is to load.
  /// \param MaxLoads the maximum number of concurrent loads.
  /// \returns false, and changes nothing, if the list is full. An engine that
  /// is already listed stays in the list.
  bool tryAdd(const BackendId &Engine, std::size_t MaxLoads);

  /// Removes a load that has ended; has no effect if it is not listed.
  /// \param Engine the engine.
  void remove(const BackendId &Engine);

  /// \param Engine an engine.
  /// \returns whether it is listed.
  bool isListed(const BackendId &Engine) const;

  /// \returns the row's value, as JSON.
  std::string encode() const;

private:
  std::vector<BackendId> Engines_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_ORDERS_WEIGHTLOADS_H

/// \file
/// Orders of models, adapters, versions and roles to a stand-in engine.
#ifndef TOOLS_STANDIN_ENGINE_ORDERDESK_H
#define TOOLS_STANDIN_ENGINE_ORDERDESK_H

#include "common/Net.h"
#include "standin_engine/EngineSettings.h"

#include <boost/json.hpp>

#include <vector>

namespace gooseberry {

/// Carries out orders, and remembers them.
class OrderDesk {
public:
  /// \param Context where weights are fetched.
  /// \param Settings of the engine.
  OrderDesk(asio::io_context &Context, const EngineSettings &Settings);

  /// Takes an order.
  /// \param Body body of `POST /v1/orders`.
  /// \returns whether it is accepted; false for an old fencing number.
  bool take(const boost::json::object &Body);

  /// \param Role `prefill` or `decode`.
  /// \returns whether the engine has that role.
  bool hasRole(std::string_view Role) const;

  /// \param Model a model.
  /// \returns whether it is loaded.
  bool hasModel(std::string_view Model) const;

  /// Adds role, models and version to a report.
  /// \param Report the report.
  void describe(boost::json::object &Report) const;

  /// \returns the orders taken and refused, oldest first.
  const boost::json::array &log() const { return Log_; }

private:
  asio::awaitable<void> fetchWeights(std::string Kind, std::string Name);
  void finish(std::string_view Kind, std::string Name);

  asio::io_context &Context_;
  bool ChecksFence_;
  std::chrono::milliseconds WeightsTime_;
  std::uint64_t HighestFence_ = 0;
  std::uint64_t Loads_ = 0;
  std::string Role_;
  std::string Version_ = "1";
  std::vector<std::string> Models_;
  std::vector<std::string> Adapters_;
  boost::json::array Log_;
};

} // namespace gooseberry

#endif // TOOLS_STANDIN_ENGINE_ORDERDESK_H

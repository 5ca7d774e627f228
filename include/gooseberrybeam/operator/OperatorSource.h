/// \file
/// What operators may ask an instance about itself.
#ifndef GOOSEBERRYBEAM_OPERATOR_OPERATORSOURCE_H
#define GOOSEBERRYBEAM_OPERATOR_OPERATORSOURCE_H

#include "gooseberrybeam/base/Ids.h"
#include "gooseberrybeam/base/Time.h"
#include "gooseberrybeam/config/Revision.h"
#include "gooseberrybeam/orders/EngineOrder.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace gooseberry {

/// A backend server as this instance sees it.
struct BackendSummary {
  BackendId Name_;
  DataCentreId DataCentre_;
  std::string Kind_; ///< `engine` or `service`.
  std::string Use_;  ///< An engine's role and models, a service's label.
  std::string State_;
  std::uint32_t Active_ = 0; ///< Requests in decode or under way.
  std::uint32_t Slots_ = 0;  ///< 0 if unlimited.
};

/// A member as this instance sees it.
struct InstanceSummary {
  InstanceId Name_;
  std::string PeerAddress_;
  DataCentreId DataCentre_;
  std::optional<Revision> Revision_; ///< Newest revision it is known to hold.
  bool IsSelf_ = false;
};

/// This instance.
struct StatusSummary {
  InstanceId Name_;
  DataCentreId DataCentre_;
  Revision Revision_ = NoRevision;
  Revision NewestNamed_ = NoRevision;
  std::uint64_t Epoch_ = 0;
  Duration LeaseLeft_{};
  std::uint64_t InFlight_ = 0;
  bool IsReady_ = false;
  bool IsDraining_ = false;
};

/// Implemented by the daemon; called on the control thread.
class OperatorSource {
public:
  virtual ~OperatorSource() = default;

  /// \returns the backend servers.
  std::vector<BackendSummary> listBackends() const { return onListBackends(); }
  /// \returns the members.
  std::vector<InstanceSummary> listInstances() const {
    return onListInstances();
  }
  /// \returns the state of this instance.
  StatusSummary describeStatus() const { return onDescribeStatus(); }
  /// Begins a graceful shutdown of this instance.
  void drain() { onDrain(); }
  /// Orders an engine into a state; progress shows in `listBackends`.
  /// \param Engine the engine.
  /// \param Goal the state wanted.
  void order(const BackendId &Engine, const EngineState &Goal) {
    onOrder(Engine, Goal);
  }

private:
  virtual std::vector<BackendSummary> onListBackends() const = 0;
  virtual std::vector<InstanceSummary> onListInstances() const = 0;
  virtual StatusSummary onDescribeStatus() const = 0;
  virtual void onDrain() = 0;
  virtual void onOrder(const BackendId &Engine, const EngineState &Goal) = 0;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_OPERATOR_OPERATORSOURCE_H

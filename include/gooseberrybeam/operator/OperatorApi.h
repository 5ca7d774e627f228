/// \file
/// The operators' calls, without their transport.
#ifndef GOOSEBERRYBEAM_OPERATOR_OPERATORAPI_H
#define GOOSEBERRYBEAM_OPERATOR_OPERATORAPI_H

#include "gooseberrybeam/config/KeyHash.h"
#include "gooseberrybeam/operator/ConfigRunner.h"
#include "gooseberrybeam/operator/OperatorSource.h"

#include <boost/json/fwd.hpp>

#include <functional>
#include <string>
#include <string_view>

namespace gooseberry {

/// Header that carries the operators' key.
inline constexpr std::string_view OperatorKeyHeader = "X-Operator-Key";

/// One call.
struct OperatorRequest {
  std::string Method_;
  std::string Target_;
  std::string Key_; ///< From `OperatorKeyHeader`; empty if absent.
  std::string Body_;
};

/// The answer to a call.
struct OperatorResponse {
  int Status_ = 200;
  std::string Body_; ///< JSON.
};

/// Answers operators' calls:
/// `GET /v1/config`, `GET /v1/config/log?after=N`, `POST /v1/config/changes`,
/// `GET /v1/backends`, `GET /v1/instances`, `GET /v1/status`,
/// `POST /v1/drain`, `POST /v1/orders`. Called on the control thread.
class OperatorApi {
public:
  using Handler = std::function<void(OperatorResponse)>;

  /// \param Runner the configuration.
  /// \param Source the rest of the instance.
  /// \param OperatorKey what callers must present; empty refuses every call.
  OperatorApi(ConfigRunner &Runner, OperatorSource &Source,
              std::string_view OperatorKey);

  /// \param Request a call.
  /// \param Done takes the answer, once.
  void handle(const OperatorRequest &Request, const Handler &Done);

private:
  bool isAuthorised(const OperatorRequest &Request) const;
  void getConfig(const OperatorRequest &Request, const Handler &Done);
  void getLog(const OperatorRequest &Request, const Handler &Done);
  void postChanges(const OperatorRequest &Request, const Handler &Done);
  void getBackends(const OperatorRequest &Request, const Handler &Done);
  void getInstances(const OperatorRequest &Request, const Handler &Done);
  void getStatus(const OperatorRequest &Request, const Handler &Done);
  void postDrain(const OperatorRequest &Request, const Handler &Done);
  void postOrders(const OperatorRequest &Request, const Handler &Done);

  struct Route;
  static const Route *findRoute(const OperatorRequest &Request);

  ConfigRunner &Runner_;
  OperatorSource &Source_;
  KeyHash KeyHash_;
  bool HasKey_ = false;
};

/// \param Outcome how a command ended.
/// \returns it as JSON: `outcome` and what belongs to it.
boost::json::object encodeOutcome(const ChangeOutcome &Outcome);

/// \param Outcome how a command ended.
/// \returns the HTTP status that carries it.
int asHttpStatus(const ChangeOutcome &Outcome);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_OPERATOR_OPERATORAPI_H

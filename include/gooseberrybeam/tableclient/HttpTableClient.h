/// \file
/// Adapter to a table service that speaks HTTP with JSON.
#ifndef GOOSEBERRYBEAM_TABLECLIENT_HTTPTABLECLIENT_H
#define GOOSEBERRYBEAM_TABLECLIENT_HTTPTABLECLIENT_H

#include "gooseberrybeam/http/HttpCall.h"
#include "gooseberrybeam/table/InstanceList.h"
#include "gooseberrybeam/table/TableClient.h"

#include <functional>
#include <optional>

namespace gooseberry {

/// Calls the table service over pooled connections. Used on the thread that
/// runs its context, which outlives all handlers.
class HttpTableClient final : public TableClient {
public:
  using ListHandler = std::function<void(std::optional<InstanceList>)>;

  /// \param Context runs the calls.
  /// \param Pool gives connections; outlives the client.
  /// \param Server the table service, `ip:port`.
  /// \param Limits bounds of each call.
  HttpTableClient(asio::io_context &Context, ConnectionPool &Pool,
                  BackendId Server, CallLimits Limits);

  /// Reads the platform's list.
  /// \param Handler takes the list, or none if it could not be read.
  void readInstances(ListHandler Handler);

private:
  void onTransact(TableTransaction Transaction,
                  TransactHandler Handler) override;
  void onRead(TableQuery Query, ReadHandler Handler) override;

  asio::io_context &Context_;
  ConnectionPool &Pool_;
  BackendId Server_;
  CallLimits Limits_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_TABLECLIENT_HTTPTABLECLIENT_H

/// \file
/// The table service for coroutines.
#ifndef GOOSEBERRYBEAM_SRC_TABLECLIENT_TABLEAWAIT_H
#define GOOSEBERRYBEAM_SRC_TABLECLIENT_TABLEAWAIT_H

#include "gooseberrybeam/http/Asio.h"
#include "gooseberrybeam/table/TableClient.h"

#include <boost/asio/async_result.hpp>

#include <memory>

namespace gooseberry {

/// \param Table the table service; outlives the task.
/// \param Transaction what to check and write.
/// \returns the outcome.
inline Task<TransactOutcome> awaitTransact(TableClient &Table,
                                           TableTransaction Transaction) {
  auto Start = [&Table, &Transaction](auto Handler) {
    auto Shared = std::make_shared<decltype(Handler)>(std::move(Handler));
    Table.transact(std::move(Transaction), [Shared](TransactOutcome Outcome) {
      (*Shared)(std::move(Outcome));
    });
  };
  co_return co_await asio::async_initiate<decltype(asio::use_awaitable),
                                          void(TransactOutcome)>(
      Start, asio::use_awaitable);
}

/// \param Table the table service; outlives the task.
/// \param Query what to read.
/// \returns the outcome.
inline Task<ReadOutcome> awaitRead(TableClient &Table, TableQuery Query) {
  auto Start = [&Table, &Query](auto Handler) {
    auto Shared = std::make_shared<decltype(Handler)>(std::move(Handler));
    Table.read(std::move(Query), [Shared](ReadOutcome Outcome) {
      (*Shared)(std::move(Outcome));
    });
  };
  co_return co_await asio::async_initiate<decltype(asio::use_awaitable),
                                          void(ReadOutcome)>(
      Start, asio::use_awaitable);
}

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_SRC_TABLECLIENT_TABLEAWAIT_H

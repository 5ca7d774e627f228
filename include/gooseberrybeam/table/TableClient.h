/// \file
/// The narrow interface to the platform's table service.
#ifndef GOOSEBERRYBEAM_TABLE_TABLECLIENT_H
#define GOOSEBERRYBEAM_TABLE_TABLECLIENT_H

#include "gooseberrybeam/table/TableTypes.h"

#include <functional>

namespace gooseberry {

/// Reads and writes the table service. Handlers are called once, never from
/// within the call itself, on the thread that made the call.
class TableClient {
public:
  using TransactHandler = std::function<void(TransactOutcome)>;
  using ReadHandler = std::function<void(ReadOutcome)>;

  virtual ~TableClient() = default;

  /// Commits a transaction.
  /// \param Transaction what to check and write.
  /// \param Handler takes the outcome.
  void transact(TableTransaction Transaction, TransactHandler Handler) {
    onTransact(std::move(Transaction), std::move(Handler));
  }

  /// Reads rows in one consistent snapshot.
  /// \param Query what to read.
  /// \param Handler takes the outcome.
  void read(TableQuery Query, ReadHandler Handler) {
    onRead(std::move(Query), std::move(Handler));
  }

private:
  virtual void onTransact(TableTransaction Transaction,
                          TransactHandler Handler) = 0;
  virtual void onRead(TableQuery Query, ReadHandler Handler) = 0;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_TABLE_TABLECLIENT_H

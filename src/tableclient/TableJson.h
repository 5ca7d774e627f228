/// \file
/// JSON of the table service's protocol.
#ifndef GOOSEBERRYBEAM_SRC_TABLECLIENT_TABLEJSON_H
#define GOOSEBERRYBEAM_SRC_TABLECLIENT_TABLEJSON_H

#include "gooseberrybeam/table/TableTypes.h"

#include <optional>
#include <string>
#include <string_view>

namespace gooseberry {

/// \param Transaction a transaction.
/// \returns the body of `POST /v1/transact`.
std::string writeTransaction(const TableTransaction &Transaction);

/// \param Query a query.
/// \returns the body of `POST /v1/read`.
std::string writeQuery(const TableQuery &Query);

/// Each parse function returns none if the text does not follow the protocol.
/// @{
std::optional<TableCommitted> parseCommitted(std::string_view Text);
std::optional<TableConflict> parseConflict(std::string_view Text);
std::optional<TableRows> parseRows(std::string_view Text);
/// @}

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_SRC_TABLECLIENT_TABLEJSON_H

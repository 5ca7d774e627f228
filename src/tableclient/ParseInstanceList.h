/// \file
/// JSON of the platform's list.
#ifndef GOOSEBERRYBEAM_SRC_TABLECLIENT_PARSEINSTANCELIST_H
#define GOOSEBERRYBEAM_SRC_TABLECLIENT_PARSEINSTANCELIST_H

#include "gooseberrybeam/table/InstanceList.h"

#include <optional>
#include <string_view>

namespace gooseberry {

/// \param Text the table service's answer to `GET /v1/instances`.
/// \returns the list without odd entries, or none if the text does not follow
/// the protocol or all entries are odd.
std::optional<InstanceList> parseInstanceList(std::string_view Text);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_SRC_TABLECLIENT_PARSEINSTANCELIST_H

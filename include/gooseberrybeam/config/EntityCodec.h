/// \file
/// Entities as JSON, in documents, table rows and messages alike.
#ifndef GOOSEBERRYBEAM_CONFIG_ENTITYCODEC_H
#define GOOSEBERRYBEAM_CONFIG_ENTITYCODEC_H

#include "gooseberrybeam/config/ConfigFault.h"
#include "gooseberrybeam/config/Configuration.h"

#include <boost/json/fwd.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace gooseberry {

/// \param Name the name of a member of a JSON object.
/// \returns \p Name escaped as a reference token of a JSON pointer (RFC 6901).
std::string asPointerToken(std::string_view Name);

/// Parses and validates an entity. References to other entities are not
/// checked.
/// \param Ref the kind and name of the entity.
/// \param Value the JSON value of the entity.
/// \param Faults receives every fault found, with its path in a document.
/// \returns the entity, or nothing if it has a fault.
std::optional<Entity> parseEntity(const EntityRef &Ref,
                                  const boost::json::value &Value,
                                  ConfigFaults &Faults);

/// \returns the JSON value of \p Value, without its name.
boost::json::value encodeEntity(const Entity &Value);

/// \returns \p Value as a document that `parseConfiguration` accepts.
boost::json::object encodeDocument(const Configuration &Value);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_CONFIG_ENTITYCODEC_H

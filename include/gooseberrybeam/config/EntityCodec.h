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

/// \param Name a member's name in a JSON object.
/// \returns it as a token of a JSON pointer.
std::string asPointerToken(std::string_view Name);

/// Reads one entity.
/// \param Ref its kind and name.
/// \param Value its JSON value.
/// \param Faults takes every fault found, with its path in a document.
/// \returns the entity, or nothing if there was a fault.
std::optional<Entity> parseEntity(const EntityRef &Ref,
                                  const boost::json::value &Value,
                                  ConfigFaults &Faults);

/// \param Value an entity.
/// \returns its JSON value.
boost::json::value encodeEntity(const Entity &Value);

/// \param Value a configuration.
/// \returns it as a document that `parseConfiguration` reads.
boost::json::object encodeDocument(const Configuration &Value);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_CONFIG_ENTITYCODEC_H

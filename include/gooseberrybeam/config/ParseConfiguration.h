/// \file
/// Parsing and validation of configuration documents.
#ifndef GOOSEBERRYBEAM_CONFIG_PARSECONFIGURATION_H
#define GOOSEBERRYBEAM_CONFIG_PARSECONFIGURATION_H

#include "gooseberrybeam/base/Result.h"
#include "gooseberrybeam/config/ConfigFault.h"
#include "gooseberrybeam/config/Configuration.h"

#include <string_view>
#include <vector>

namespace gooseberry {

/// The contents of a valid document.
struct ConfigDocument {
  Configuration Configuration_;
  std::vector<EntityKind> Sections_; ///< Kinds with a section in the document.
};

/// Parses a document: JSON with comments, one object per section. References
/// between entities are not checked, because a document may omit sections that
/// it does not change; see `validateChange`.
/// \param Text the document.
/// \returns the contents, or all faults with their paths.
Result<ConfigDocument, ConfigFaults> parseConfiguration(std::string_view Text);

/// Checks that all references between entities of a changed configuration can
/// be resolved.
/// \param Candidate the configuration with the changes applied.
/// \param Delta the changes.
/// \returns all faults, with paths as in a document.
ConfigFaults validateChange(const Configuration &Candidate,
                            std::span<const EntityChange> Delta);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_CONFIG_PARSECONFIGURATION_H

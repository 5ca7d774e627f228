/// \file
/// Reading and checking configuration documents.
#ifndef GOOSEBERRYBEAM_CONFIG_PARSECONFIGURATION_H
#define GOOSEBERRYBEAM_CONFIG_PARSECONFIGURATION_H

#include "gooseberrybeam/base/Result.h"
#include "gooseberrybeam/config/ConfigFault.h"
#include "gooseberrybeam/config/Configuration.h"

#include <string_view>
#include <vector>

namespace gooseberry {

/// A document read without faults.
struct ConfigDocument {
  Configuration Configuration_;
  std::vector<EntityKind> Sections_; ///< The kinds that the document states.
};

/// Reads a document: JSON with comments, one object per section. References
/// between entities are not checked here, since a document may leave out
/// sections that it does not change.
/// \param Text the document.
/// \returns the document, or every fault with its path.
Result<ConfigDocument, ConfigFaults> parseConfiguration(std::string_view Text);

/// Checks that the references of a changed configuration hold.
/// \param Candidate the configuration with the changes.
/// \param Delta what was changed.
/// \returns every fault, with paths as in a document; empty if there is none.
ConfigFaults validateChange(const Configuration &Candidate,
                            std::span<const EntityChange> Delta);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_CONFIG_PARSECONFIGURATION_H

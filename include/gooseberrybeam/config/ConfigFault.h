/// \file
/// Faults found in a configuration.
#ifndef GOOSEBERRYBEAM_CONFIG_CONFIGFAULT_H
#define GOOSEBERRYBEAM_CONFIG_CONFIGFAULT_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberry {

/// What is wrong.
enum class ConfigFaultKind : std::uint8_t {
  NotJson,
  WrongType,
  MissingField,
  UnknownField,
  OutOfRange,
  MissingTarget,
  BadName,
  BadPrefix,
  BadMethod,
  BadKeyHash,
  UnknownClass,
  UnknownOrganisation,
  StillReferenced,
};

/// One fault and where it is.
struct ConfigFault {
  std::string Path_; ///< JSON pointer (RFC 6901) into the document.
  ConfigFaultKind Kind_ = ConfigFaultKind::NotJson;
  std::string Detail_; ///< What was seen or is accepted; may be empty.

  friend bool operator==(const ConfigFault &, const ConfigFault &) = default;
};

/// All faults of a document, in its order.
using ConfigFaults = std::vector<ConfigFault>;

/// \param Kind a kind of fault.
/// \returns its `snake_case` code.
std::string_view asCode(ConfigFaultKind Kind);

/// \param Fault a fault.
/// \returns one line for people: path, code and detail.
std::string describe(const ConfigFault &Fault);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_CONFIG_CONFIGFAULT_H

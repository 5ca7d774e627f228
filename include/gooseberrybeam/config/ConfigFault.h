/// \file
/// Faults that validation finds in a configuration.
#ifndef GOOSEBERRYBEAM_CONFIG_CONFIGFAULT_H
#define GOOSEBERRYBEAM_CONFIG_CONFIGFAULT_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberry {

/// The kinds of fault. Codes of the same names appear in answers to operators.
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

/// A fault and its location.
struct ConfigFault {
  std::string Path_; ///< JSON pointer (RFC 6901) into the document.
  ConfigFaultKind Kind_ = ConfigFaultKind::NotJson;
  /// The value found or the values accepted; may be empty.
  std::string Detail_;

  friend bool operator==(const ConfigFault &, const ConfigFault &) = default;
};

/// The faults of a document, in document order.
using ConfigFaults = std::vector<ConfigFault>;

/// \returns the `snake_case` code of \p Kind.
std::string_view asCode(ConfigFaultKind Kind);

/// \returns a human-readable line with the path, code and detail of \p Fault.
std::string describe(const ConfigFault &Fault);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_CONFIG_CONFIGFAULT_H

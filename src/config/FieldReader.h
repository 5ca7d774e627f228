/// \file
/// Reads the fields of a JSON object and collects their faults.
#ifndef GOOSEBERRYBEAM_CONFIG_FIELDREADER_H
#define GOOSEBERRYBEAM_CONFIG_FIELDREADER_H

#include "gooseberrybeam/base/Time.h"
#include "gooseberrybeam/config/ConfigFault.h"

#include <boost/json.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberry {

/// The inclusive range of valid values.
struct NumberRange {
  double Min_ = 0;
  double Max_ = 0;
};

/// Reads fields by name. Each accessor marks its field as known, so that
/// unknown fields can be reported at the end.
class FieldReader {
public:
  /// \param Object the object, which has to outlive the reader.
  /// \param Path the JSON pointer (RFC 6901) to the object.
  /// \param Faults receives every fault found.
  FieldReader(const boost::json::object &Object, std::string Path,
              ConfigFaults &Faults)
      : Object_(Object), Path_(std::move(Path)), Faults_(Faults) {}

  /// \returns the number, or nothing if the field is absent or invalid.
  std::optional<double> number(std::string_view Name, NumberRange Range);
  /// \returns the number, or 0 if the field is absent, which is a fault, or
  ///   invalid.
  double requiredNumber(std::string_view Name, NumberRange Range);
  /// \returns the integer, or \p Default if the field is absent or invalid.
  std::uint32_t count(std::string_view Name, NumberRange Range,
                      std::uint32_t Default);
  /// \returns the duration given in milliseconds, or nothing if the field is
  ///   absent or invalid.
  std::optional<Duration> milliseconds(std::string_view Name);
  /// \returns the flag, or false if the field is absent or invalid.
  bool flag(std::string_view Name);
  /// \returns the string, or an empty one if the field is absent, which is a
  ///   fault, or invalid.
  std::string requiredString(std::string_view Name);
  /// \returns the valid strings of the list, or nothing if the field is absent
  ///   or not a list.
  std::optional<std::vector<std::string>> strings(std::string_view Name);

  /// Adds a fault of the field \p Name.
  void addFault(std::string_view Name, ConfigFaultKind Kind,
                std::string Detail);
  /// Adds a fault for every field that no accessor has read.
  void addUnknownFieldFaults();

private:
  const boost::json::value *field(std::string_view Name);
  std::string pathOf(std::string_view Name) const;

  const boost::json::object &Object_;
  std::string Path_;
  ConfigFaults &Faults_;
  std::vector<std::string_view> KnownFields_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_CONFIG_FIELDREADER_H

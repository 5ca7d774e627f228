/// \file
/// Reads the fields of one JSON object and collects their faults.
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

/// The values that a number may take.
struct NumberRange {
  double Min_ = 0;
  double Max_ = 0;
};

/// Reads fields by name; each accessor notes its field as known.
class FieldReader {
public:
  /// \param Object the object, which outlives the reader.
  /// \param Path the object's JSON pointer.
  /// \param Faults takes every fault.
  FieldReader(const boost::json::object &Object, std::string Path,
              ConfigFaults &Faults)
      : Object_(Object), Path_(std::move(Path)), Faults_(Faults) {}

  /// \returns the number, or nothing if it is absent or has a fault.
  std::optional<double> number(std::string_view Name, NumberRange Range);
  /// \returns the number, 0 if it is absent (a fault) or has a fault.
  double requiredNumber(std::string_view Name, NumberRange Range);
  /// \returns the whole number, or \p Default.
  std::uint32_t count(std::string_view Name, NumberRange Range,
                      std::uint32_t Default);
  /// \returns the milliseconds as a duration, or nothing.
  std::optional<Duration> milliseconds(std::string_view Name);
  /// \returns the flag, false if absent.
  bool flag(std::string_view Name);
  /// \returns the text, empty if it is absent (a fault) or has a fault.
  std::string requiredString(std::string_view Name);
  /// \returns the texts, or nothing if absent.
  std::optional<std::vector<std::string>> strings(std::string_view Name);

  /// Notes a fault of a field.
  void addFault(std::string_view Name, ConfigFaultKind Kind,
                std::string Detail);
  /// Notes every field that no accessor has named.
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

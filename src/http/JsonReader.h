/// \file
/// Typed access to the members of a JSON object.
#ifndef GOOSEBERRYBEAM_SRC_HTTP_JSONREADER_H
#define GOOSEBERRYBEAM_SRC_HTTP_JSONREADER_H

#include "gooseberrybeam/base/Time.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gooseberry {

/// Reads members of one object. A member that is absent or of another type
/// makes the reader fail, which is asked once at the end.
class JsonReader {
public:
  /// \param Text JSON text of one object.
  explicit JsonReader(std::string_view Text);
  /// \param Value a value that outlives the reader.
  explicit JsonReader(const boost::json::value &Value);
  JsonReader(const JsonReader &) = delete;
  JsonReader &operator=(const JsonReader &) = delete;

  /// \param Name a required member.
  /// \returns its text.
  std::string text(std::string_view Name);
  /// \param Name a required member, not negative.
  /// \returns its value, 0 after a failure.
  std::uint64_t number(std::string_view Name);
  /// \param Name a required member, not negative, within 32 bits.
  /// \returns its value, 0 after a failure.
  std::uint32_t count(std::string_view Name);
  /// \param Name a required member in milliseconds, not negative.
  /// \returns the duration.
  Duration milliseconds(std::string_view Name);
  /// \param Name a required member.
  /// \returns its value, false after a failure.
  bool flag(std::string_view Name);
  /// \param Name a required member.
  /// \returns the array, empty after a failure.
  const boost::json::array &list(std::string_view Name);
  /// \param Name an optional member.
  /// \returns whether it is present.
  bool has(std::string_view Name) const;

  /// \returns whether all that was read had the right type.
  bool isOk() const { return IsOk_; }

private:
  const boost::json::value *find(std::string_view Name);

  boost::json::value Owned_;
  const boost::json::object *Object_ = nullptr;
  bool IsOk_ = true;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_SRC_HTTP_JSONREADER_H

/// \file
/// Tables for people.
#ifndef GOOSEBERRYBEAM_TOOLS_GBCTL_TEXTTABLE_H
#define GOOSEBERRYBEAM_TOOLS_GBCTL_TEXTTABLE_H

#include <boost/json/object.hpp>

#include <ostream>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberry {

/// Rows of cells under headings, aligned on output.
class TextTable {
public:
  /// \param Headings the columns' headings.
  explicit TextTable(std::vector<std::string> Headings);

  /// \param Cells one for each column.
  void add(std::vector<std::string> Cells);

  /// Adds a JSON object's fields in the order of the headings.
  /// \param Object the object.
  void add(const boost::json::object &Object);

  /// \param Out takes the table.
  void print(std::ostream &Out) const;

private:
  std::vector<std::vector<std::string>> Rows_;
};

/// \param Value JSON.
/// \returns it as a cell: texts bare, null as `-`.
std::string asCell(const boost::json::value &Value);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_TOOLS_GBCTL_TEXTTABLE_H

#include "gbctl/TextTable.h"

#include <boost/json.hpp>

#include <algorithm>
#include <cassert>
#include <sstream>

namespace gooseberry {
namespace {

constexpr std::size_t ColumnGap = 2;

} // namespace

TextTable::TextTable(std::vector<std::string> Headings) {
  Rows_.push_back(std::move(Headings));
}

void TextTable::add(std::vector<std::string> Cells) {
  assert(Cells.size() == Rows_.front().size());
  Rows_.push_back(std::move(Cells));
}

void TextTable::add(const boost::json::object &Object) {
  std::vector<std::string> Cells;
  for (const std::string &Heading : Rows_.front()) {
    const boost::json::value *Value = Object.if_contains(Heading);
    Cells.push_back(Value ? asCell(*Value) : "-");
  }
  add(std::move(Cells));
}

void TextTable::print(std::ostream &Out) const {
  std::vector<std::size_t> Widths(Rows_.front().size());
  for (const auto &Row : Rows_)
    for (std::size_t I = 0; I < Row.size(); ++I)
      Widths[I] = std::max(Widths[I], Row[I].size());
  for (const auto &Row : Rows_) {
    std::string Line;
    for (std::size_t I = 0; I < Row.size(); ++I) {
      Line += Row[I];
      if (I + 1 < Row.size())
        Line.append(Widths[I] - Row[I].size() + ColumnGap, ' ');
    }
    Out << Line << '\n';
  }
}

std::string asCell(const boost::json::value &Value) {
  if (Value.is_null())
    return "-";
  if (Value.is_string())
    return std::string(Value.get_string());
  if (Value.is_double()) {
    std::ostringstream Text;
    Text << Value.get_double();
    return Text.str();
  }
  if (!Value.is_array())
    return boost::json::serialize(Value);
  std::string Joined;
  for (const boost::json::value &Item : Value.get_array())
    Joined += (Joined.empty() ? "" : ",") + asCell(Item);
  return Joined.empty() ? "-" : Joined;
}

} // namespace gooseberry

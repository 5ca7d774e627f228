#include "gooseberrybeam/http/HopByHop.h"

#include <boost/beast/http/rfc7230.hpp>

#include <array>
#include <string>
#include <vector>

namespace gooseberry {
namespace {

using beast::http::field;

constexpr std::array<field, 10> HopFields = {
    field::connection, field::keep_alive,     field::proxy_connection,
    field::te,         field::trailer,        field::transfer_encoding,
    field::upgrade,    field::content_length, field::proxy_authenticate,
    field::expect};

} // namespace

void removeHopByHop(HttpFields &Fields) {
  std::vector<std::string> Named;
  const auto Range = Fields.equal_range(field::connection);
  for (auto It = Range.first; It != Range.second; ++It)
    for (const auto &Token : beast::http::token_list(It->value()))
      Named.emplace_back(Token.data(), Token.size());
  for (const auto &Name : Named)
    Fields.erase(Name);
  for (const field Each : HopFields)
    Fields.erase(Each);
}

} // namespace gooseberry

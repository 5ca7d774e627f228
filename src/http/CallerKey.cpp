#include "gooseberrybeam/http/CallerKey.h"

#include <charconv>
#include <iterator>

namespace gooseberry {
namespace {

constexpr std::string_view Scheme = "bearer ";
constexpr int HexBase = 16;

std::string decodePercent(std::string_view Text) {
  std::string Decoded;
  Decoded.reserve(Text.size());
  for (std::size_t I = 0; I < Text.size(); ++I) {
    unsigned Code = 0;
    const bool IsEscape = Text[I] == '%' && I + 2 < Text.size();
    const char *Digits = Text.data() + I + 1;
    if (IsEscape &&
        std::from_chars(Digits, Digits + 2, Code, HexBase).ptr == Digits + 2) {
      Decoded.push_back(static_cast<char>(Code));
      I += 2;
      continue;
    }
    Decoded.push_back(Text[I]);
  }
  return Decoded;
}

} // namespace

std::string_view bearerKeyOf(const RequestHead &Head) {
  std::string_view Value = asStd(Head[beast::http::field::authorization]);
  if (Value.size() <= Scheme.size())
    return {};
  if (!beast::iequals(asBeast(Value.substr(0, Scheme.size())), asBeast(Scheme)))
    return {};
  Value.remove_prefix(Scheme.size());
  const std::size_t Begin = Value.find_first_not_of(' ');
  return Begin == std::string_view::npos ? std::string_view()
                                         : Value.substr(Begin);
}

void removeKey(RequestHead &Head, const std::string &Key) {
  Head.erase(beast::http::field::authorization);
  Head.erase(beast::http::field::proxy_authorization);
  if (Key.empty())
    return;
  for (auto It = Head.begin(); It != Head.end();) {
    const bool IsLeak = asStd(It->value()).find(Key) != std::string_view::npos;
    It = IsLeak ? Head.erase(It) : std::next(It);
  }
}

bool hasKey(std::string_view Target, std::string_view Key) {
  if (Key.empty())
    return false;
  if (Target.find(Key) != std::string_view::npos)
    return true;
  return decodePercent(Target).find(Key) != std::string::npos;
}

} // namespace gooseberry

#include "gooseberrybeam/http/RequestShape.h"

#include <algorithm>
#include <array>

namespace gooseberry {
namespace {

using beast::http::field;

constexpr std::array<std::string_view, 8> Messages = {
    "The protocol version must be HTTP/1.0 or HTTP/1.1.",
    "The request target must be a path that begins with '/'.",
    "The method is not allowed.",
    "Exactly one Host header is required.",
    "Content-Length must be one number.",
    "Transfer-Encoding must be 'chunked', in HTTP/1.1.",
    "Content-Length and Transfer-Encoding must not both be given.",
    "Authorization must be given at most once."};

constexpr unsigned Version10 = 10;
constexpr unsigned Version11 = 11;

bool isTargetChar(char Char) {
  const auto Code = static_cast<unsigned char>(Char);
  return Code > 0x20 && Code < 0x7f && Char != '#';
}

bool isTargetOk(std::string_view Target) {
  return Target.starts_with('/') &&
         std::all_of(Target.begin(), Target.end(), isTargetChar);
}

bool isMethodOk(const RequestHead &Head) {
  const auto Method = Head.method();
  return Method != beast::http::verb::connect &&
         Method != beast::http::verb::trace;
}

bool isDigits(std::string_view Text) {
  return !Text.empty() && std::all_of(Text.begin(), Text.end(), [](char Char) {
    return Char >= '0' && Char <= '9';
  });
}

bool isHostOk(const RequestHead &Head) {
  const std::size_t Count = Head.count(field::host);
  return Count == 1 || (Count == 0 && Head.version() == Version10);
}

bool isEncodingOk(const RequestHead &Head) {
  const std::size_t Count = Head.count(field::transfer_encoding);
  if (Count == 0)
    return true;
  return Count == 1 && Head.version() == Version11 &&
         beast::iequals(Head[field::transfer_encoding], "chunked");
}

bool isLengthOk(const RequestHead &Head) {
  const std::size_t Count = Head.count(field::content_length);
  if (Count == 0)
    return true;
  return Count == 1 && isDigits(asStd(Head[field::content_length]));
}

} // namespace

std::string_view asMessage(ShapeFault Fault) {
  return Messages[static_cast<std::size_t>(Fault)];
}

std::optional<ShapeFault> findShapeFault(const RequestHead &Head) {
  if (Head.version() != Version10 && Head.version() != Version11)
    return ShapeFault::Version;
  if (!isTargetOk(asStd(Head.target())))
    return ShapeFault::Target;
  if (!isMethodOk(Head))
    return ShapeFault::Method;
  if (!isHostOk(Head))
    return ShapeFault::Host;
  if (!isLengthOk(Head))
    return ShapeFault::ContentLength;
  if (!isEncodingOk(Head))
    return ShapeFault::TransferEncoding;
  if (Head.count(field::content_length) > 0 &&
      Head.count(field::transfer_encoding) > 0)
    return ShapeFault::AmbiguousLength;
  if (Head.count(field::authorization) > 1)
    return ShapeFault::Authorization;
  return std::nullopt;
}

} // namespace gooseberry

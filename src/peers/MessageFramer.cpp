#include "peers/MessageFramer.h"

#include <cassert>

namespace gooseberry {

namespace {

constexpr std::size_t HeaderBytes = 4;
constexpr unsigned BitsPerByte = 8;

} // namespace

std::string frameMessage(std::string_view Message) {
  assert(Message.size() <= MaxPeerMessage);
  std::string Framed;
  Framed.reserve(HeaderBytes + Message.size());
  for (std::size_t I = HeaderBytes; I-- > 0;)
    Framed.push_back(static_cast<char>(Message.size() >> (BitsPerByte * I)));
  Framed += Message;
  return Framed;
}

std::optional<std::string> MessageFramer::next() {
  if (IsBroken_ || Buffer_.size() < HeaderBytes)
    return std::nullopt;
  std::size_t Length = 0;
  for (std::size_t I = 0; I < HeaderBytes; ++I)
    Length = Length << BitsPerByte | static_cast<unsigned char>(Buffer_[I]);
  if (Length > MaxMessage_) {
    IsBroken_ = true;
    return std::nullopt;
  }
  if (Buffer_.size() < HeaderBytes + Length)
    return std::nullopt;
  std::string Message = Buffer_.substr(HeaderBytes, Length);
  Buffer_.erase(0, HeaderBytes + Length);
  return Message;
}

} // namespace gooseberry

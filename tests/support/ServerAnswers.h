/// \file
/// Answers of backend servers, as they are sent.
#ifndef GOOSEBERRYBEAM_TESTS_SUPPORT_SERVERANSWERS_H
#define GOOSEBERRYBEAM_TESTS_SUPPORT_SERVERANSWERS_H

#include <string>
#include <string_view>

namespace gooseberry {

/// Fields of a server that leaves.
inline constexpr std::string_view LeavingFields = "Server-Leaving: 1\r\n";

/// \param Id the id of the request.
/// \param Body the body.
/// \param Fields further fields, each with its line end.
/// \returns a signed success with a length.
inline std::string makeSuccess(std::string_view Id, std::string_view Body,
                               std::string_view Fields = "") {
  return "HTTP/1.1 200 OK\r\nRequest-Id: " + std::string(Id) +
         "\r\nResponse-Signature: s\r\n" + std::string(Fields) +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         std::string(Body);
}

/// \param Id the id of the request.
/// \param Fields further fields, each with its line end.
/// \returns a rejection of a request that has not run.
inline std::string makeRejection(std::string_view Id,
                                 std::string_view Fields = "") {
  return "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: " + std::string(Id) +
         "\r\nNot-Executed: 1\r\n" + std::string(Fields) +
         "Content-Length: 0\r\n\r\n";
}

/// \param Id the id of the request.
/// \param Fields further fields, each with its line end.
/// \returns the head of a signed stream in chunks.
inline std::string makeStreamHead(std::string_view Id,
                                  std::string_view Fields = "") {
  return "HTTP/1.1 200 OK\r\nRequest-Id: " + std::string(Id) +
         "\r\nResponse-Signature: s\r\nContent-Type: text/event-stream\r\n" +
         std::string(Fields) + "Transfer-Encoding: chunked\r\n\r\n";
}

/// \param Bytes the bytes of a chunk.
/// \returns the chunk.
inline std::string makeChunk(std::string_view Bytes) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Size;
  for (std::size_t Rest = Bytes.size(); Rest != 0; Rest /= Digits.size())
    Size.insert(Size.begin(), Digits[Rest % Digits.size()]);
  return Size + "\r\n" + std::string(Bytes) + "\r\n";
}

/// The last chunk of a stream.
inline constexpr std::string_view LastChunk = "0\r\n\r\n";

/// \param Number the number of an event.
/// \returns the event.
inline std::string makeEvent(int Number) {
  return "id: " + std::to_string(Number) + "\ndata: piece\n\n";
}

/// \param Id the id of the request.
/// \param Fields further fields, each with its line end.
/// \returns the answer of a prefill engine.
inline std::string makePrefilled(std::string_view Id,
                                 std::string_view Fields = "") {
  return makeSuccess(Id, R"({"kv_handle":"h1","tokens":100,"version":1})",
                     Fields);
}

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_TESTS_SUPPORT_SERVERANSWERS_H

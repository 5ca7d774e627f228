#include "gooseberrybeam/http/RequestShape.h"

#include "gooseberrybeam/http/CallerKey.h"
#include "gooseberrybeam/http/HopByHop.h"

#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <catch2/catch.hpp>

using namespace gooseberry;

namespace {

/// \returns the head, or none if the parser itself refuses it.
std::optional<RequestHead> parseHead(const std::string &Text) {
  beast::http::request_parser<beast::http::empty_body> Parser;
  boost::system::error_code Error;
  Parser.put(boost::asio::buffer(Text), Error);
  if (Error || !Parser.is_header_done())
    return std::nullopt;
  return Parser.get().base();
}

RequestHead headOf(const std::string &Text) {
  auto Head = parseHead(Text);
  REQUIRE(Head);
  return std::move(*Head);
}

bool isRefused(const std::string &Text) {
  const auto Head = parseHead(Text);
  return !Head || findShapeFault(*Head).has_value();
}

} // namespace

TEST_CASE("A request's head is checked before anything else", "[http]") {
  SECTION("an ordinary one passes") {
    CHECK_FALSE(isRefused("GET /v1/models HTTP/1.1\r\nHost: a\r\n\r\n"));
    CHECK_FALSE(
        isRefused("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"));
    CHECK_FALSE(isRefused("GET /healthz HTTP/1.0\r\n\r\n"));
  }
  SECTION("one whose length can be read in two ways is refused") {
    CHECK(isRefused("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n"));
    CHECK(isRefused("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
                    "Content-Length: 3\r\n\r\n"));
    CHECK(isRefused("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
                    "Content-Length: 4\r\n\r\n"));
    CHECK(
        isRefused("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: +3\r\n\r\n"));
    CHECK(isRefused(
        "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 3, 3\r\n\r\n"));
    CHECK(isRefused("POST /x HTTP/1.1\r\nHost: a\r\n"
                    "Transfer-Encoding: gzip, chunked\r\n\r\n"));
    CHECK(isRefused("POST /x HTTP/1.1\r\nHost: a\r\n"
                    "Transfer-Encoding: chunked\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n"));
    CHECK(isRefused("POST /x HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n"));
  }
  SECTION("one with malformed lines is refused") {
    CHECK(isRefused("GET /x HTTP/1.1\nHost: a\n\n"));
    CHECK(isRefused("GET /x HTTP/1.1\r\nHost: a\nX: b\r\n\r\n"));
    CHECK(isRefused("GET /x HTTP/1.1\r\nHost : a\r\n\r\n"));
    CHECK(isRefused("GET /x y HTTP/1.1\r\nHost: a\r\n\r\n"));
  }
  SECTION("one for another host or with another form of target is refused") {
    CHECK(isRefused("GET /x HTTP/1.1\r\n\r\n"));
    CHECK(isRefused("GET /x HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n"));
    CHECK(isRefused("GET http://a/x HTTP/1.1\r\nHost: a\r\n\r\n"));
    CHECK(isRefused("OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n"));
    CHECK(isRefused("CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n"));
  }
  SECTION("one with two keys is refused") {
    CHECK(isRefused("GET /x HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer k\r\n"
                    "Authorization: Bearer l\r\n\r\n"));
  }
}

TEST_CASE("A caller's key is found and removed", "[http]") {
  RequestHead Head =
      headOf("GET /x?a=1 HTTP/1.1\r\nHost: a\r\nAuthorization: bearer  sk-1\r\n"
             "X-Copy: before sk-1 after\r\nX-Other: kept\r\n\r\n");
  const std::string Key(bearerKeyOf(Head));
  CHECK(Key == "sk-1");

  SECTION("no field of it is left") {
    removeKey(Head, Key);
    CHECK(Head.count("Authorization") == 0);
    CHECK(Head.count("X-Copy") == 0);
    CHECK(Head["X-Other"] == "kept");
  }
  SECTION("it is seen in a target, plain or percent-encoded") {
    CHECK(hasKey("/x?key=sk-1", Key));
    CHECK(hasKey("/x?key=%73k-1", Key));
    CHECK_FALSE(hasKey("/x?key=sk-2", Key));
    CHECK_FALSE(hasKey("/x%", Key));
  }
  SECTION("other schemes carry no key") {
    Head.set("Authorization", "Basic sk-1");
    CHECK(bearerKeyOf(Head).empty());
  }
}

TEST_CASE("Fields of one connection are not relayed", "[http]") {
  RequestHead Head = headOf(
      "POST /x HTTP/1.1\r\nHost: a\r\nConnection: close, X-Hop\r\nX-Hop: 1\r\n"
      "TE: trailers\r\nKeep-Alive: 5\r\nContent-Length: 0\r\nX-End: 1\r\n\r\n");
  removeHopByHop(Head);
  CHECK(Head.count("X-Hop") == 0);
  CHECK(Head.count("Connection") == 0);
  CHECK(Head.count("TE") == 0);
  CHECK(Head.count("Keep-Alive") == 0);
  CHECK(Head.count("Content-Length") == 0);
  CHECK(Head["X-End"] == "1");
}

#include "gooseberrybeam/base/Base64.h"

#include <catch2/catch.hpp>

using namespace gooseberry;

TEST_CASE("Base64 keeps every byte", "[base]") {
  SECTION("the vectors of RFC 4648") {
    CHECK(encodeBase64("") == "");
    CHECK(encodeBase64("f") == "Zg==");
    CHECK(encodeBase64("fo") == "Zm8=");
    CHECK(encodeBase64("foo") == "Zm9v");
    CHECK(encodeBase64("foob") == "Zm9vYg==");
  }
  SECTION("there and back, zero bytes included") {
    std::string Bytes;
    for (int Size = 0; Size != 70; ++Size) {
      CHECK(decodeBase64(encodeBase64(Bytes)) == Bytes);
      Bytes.push_back(static_cast<char>(Size * 7));
    }
  }
  SECTION("what is no encoding is none") {
    CHECK_FALSE(decodeBase64("Zg="));
    CHECK_FALSE(decodeBase64("Z*=="));
  }
}

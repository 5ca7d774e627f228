#include "gooseberrybeam/relay/RequestFingerprint.h"

#include <catch2/catch.hpp>

using namespace gooseberry;

TEST_CASE("Attempts at the same request have one fingerprint",
          "[relay][budget]") {
  const OrganisationId Acme = {"acme"};
  const RequestFingerprint Request =
      makeRequestFingerprint(Acme, "POST", "/check/1", "body");
  CHECK(makeRequestFingerprint(Acme, "POST", "/check/1", "body") == Request);
  CHECK(makeRequestFingerprint(Acme, "POST", "/check/1?try=2", "body") ==
        Request);
  CHECK_FALSE(Request.isEmpty());

  SECTION("and other requests have another one") {
    CHECK(makeRequestFingerprint({"b"}, "POST", "/check/1", "body") != Request);
    CHECK(makeRequestFingerprint(Acme, "PUT", "/check/1", "body") != Request);
    CHECK(makeRequestFingerprint(Acme, "POST", "/check/2", "body") != Request);
    CHECK(makeRequestFingerprint(Acme, "POST", "/check/1", "") != Request);
  }
  SECTION("and parts cannot run together") {
    CHECK(makeRequestFingerprint({"acmeP"}, "OST", "/check/1", "body") !=
          Request);
    CHECK(makeRequestFingerprint(Acme, "POST", "/check/1b", "ody") != Request);
  }
  SECTION("which is written as text and read again") {
    CHECK(parseFingerprint(formatFingerprint(Request)) == Request);
    const RequestFingerprint Small = {0, 7};
    CHECK(parseFingerprint(formatFingerprint(Small)) == Small);
    CHECK_FALSE(parseFingerprint(""));
    CHECK_FALSE(parseFingerprint("xyz"));
    CHECK_FALSE(parseFingerprint(formatFingerprint(Request) + "0"));
    CHECK_FALSE(parseFingerprint("0123456789abcdef0123456789abcdeg"));
  }
}

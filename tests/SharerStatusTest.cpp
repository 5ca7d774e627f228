#include "gooseberrybeam/relay/SharerStatus.h"

#include <catch2/catch.hpp>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start = TimePoint(100s);

MemberContact makeContact(TimePoint HomeHeardAt) {
  MemberContact Contact;
  Contact.KnowsMembers_ = true;
  Contact.IsStoreReadable_ = true;
  Contact.HomeHeardAt_ = HomeHeardAt;
  return Contact;
}

} // namespace

TEST_CASE("An instance is counted while the others hear it", "[relay]") {
  SharerStatus Status;
  CHECK_FALSE(Status.isCounted(Start));
  SECTION("but not before it has read the registered instances") {
    MemberContact Contact = makeContact(Start);
    Contact.KnowsMembers_ = false;
    Status.update(Contact, Start);
    CHECK_FALSE(Status.isCounted(Start));
  }
  SECTION("and its home is heard") {
    Status.update(makeContact(Start), Start);
    CHECK(Status.isCounted(Start));
    SECTION("and for some time after the home fell silent") {
      Status.update(makeContact(Start), Start + 2s);
      CHECK(Status.isCounted(Start + 10s));
      CHECK_FALSE(Status.isCounted(Start + 11s));
    }
    SECTION("also without the store") {
      MemberContact Contact = makeContact(Start + 30s);
      Contact.IsStoreReadable_ = false;
      Status.update(Contact, Start + 30s);
      CHECK(Status.isCounted(Start + 30s));
    }
    SECTION("and for some time after it began to shut down") {
      MemberContact Contact = makeContact(Start + 5s);
      Contact.IsLeaving_ = true;
      Status.update(Contact, Start + 5s);
      CHECK(Status.isCounted(Start + 10s));
      CHECK_FALSE(Status.isCounted(Start + 11s));
    }
  }
  SECTION("or it is the home and can read the store") {
    MemberContact Contact;
    Contact.KnowsMembers_ = true;
    Contact.IsHome_ = true;
    Status.update(Contact, Start);
    CHECK_FALSE(Status.isCounted(Start));
    Contact.IsStoreReadable_ = true;
    Status.update(Contact, Start);
    CHECK(Status.isCounted(Start));
  }
}

#include "gooseberrybeam/relay/RequestQuarantine.h"

#include <catch2/catch.hpp>

#include <string>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

const RequestFingerprint Deadly = {1, 2};
const RequestFingerprint Sound = {1, 3};

/// Attempts at requests that run on servers one after the other.
class QuarantinePlay {
public:
  CrashAdmission admissionOf(const RequestFingerprint &Request) const {
    return Quarantine_.admissionOf(Request, Now_);
  }
  /// Starts an attempt, under which a server of its own crashes.
  void crash(const RequestFingerprint &Request) {
    const std::string Number = std::to_string(++Count_);
    Quarantine_.onStarted({"r" + Number}, Request, Now_);
    Quarantine_.onCrash({"r" + Number}, Request, {"s" + Number}, Now_);
    Now_ += 300ms;
  }

  RequestQuarantine Quarantine_;
  TimePoint Now_{1000s};

private:
  int Count_ = 0;
};

} // namespace

TEST_CASE("A request that crashes three servers is kept from the others",
          "[relay][budget]") {
  QuarantinePlay Play;
  Play.crash(Deadly);
  CHECK(Play.admissionOf(Deadly) == CrashAdmission::Free);
  Play.crash(Deadly);
  CHECK(Play.admissionOf(Deadly) == CrashAdmission::Trial);
  Play.crash(Deadly);
  CHECK(Play.admissionOf(Deadly) == CrashAdmission::Quarantined);
  CHECK(Play.admissionOf(Sound) == CrashAdmission::Free);
  CHECK(Play.admissionOf({}) == CrashAdmission::Free);

  SECTION("for ten minutes, after which one trial decides") {
    Play.Now_ += 9min;
    CHECK(Play.admissionOf(Deadly) == CrashAdmission::Quarantined);
    Play.Now_ += 2min;
    CHECK(Play.admissionOf(Deadly) == CrashAdmission::Trial);
    Play.crash(Deadly);
    CHECK(Play.admissionOf(Deadly) == CrashAdmission::Quarantined);
  }
  SECTION("until it is answered") {
    Play.Quarantine_.onAnswered(Deadly, Play.Now_);
    CHECK(Play.admissionOf(Deadly) == CrashAdmission::Free);
    CHECK(Play.Quarantine_.suspects(Play.Now_).empty());
  }
  SECTION("also by the next home, and the one after it") {
    RequestQuarantine Next;
    Next.merge(Play.Quarantine_.suspects(Play.Now_), Play.Now_);
    RequestQuarantine Last;
    Last.merge(Next.suspects(Play.Now_), Play.Now_);
    Last.merge(Next.suspects(Play.Now_), Play.Now_);
    CHECK(Last.admissionOf(Deadly, Play.Now_) == CrashAdmission::Quarantined);
    CHECK(Last.suspects(Play.Now_).size() == 1);
  }
  SECTION("but what a home knows to be answered is not added again") {
    const auto Found = Play.Quarantine_.suspects(Play.Now_);
    Play.Quarantine_.onAnswered(Deadly, Play.Now_);
    Play.Quarantine_.merge(Found, Play.Now_);
    CHECK(Play.admissionOf(Deadly) == CrashAdmission::Free);
  }
}

TEST_CASE("Suspect requests start one at a time", "[relay][budget]") {
  QuarantinePlay Play;
  Play.crash(Deadly);
  Play.crash(Deadly);
  Play.Quarantine_.onStarted({"trial"}, Deadly, Play.Now_);
  CHECK(Play.admissionOf(Deadly) == CrashAdmission::Held);
  CHECK(Play.admissionOf(Sound) == CrashAdmission::Free);
  SECTION("until the trial ends without an outcome") {
    Play.Quarantine_.onReleased({"trial"});
    CHECK(Play.admissionOf(Deadly) == CrashAdmission::Trial);
  }
  SECTION("until the trial has taken too long") {
    Play.Now_ += 3s;
    CHECK(Play.admissionOf(Deadly) == CrashAdmission::Trial);
  }
  SECTION("also while attempts that had started before crash servers") {
    Play.Quarantine_.onCrash({"earlier"}, Deadly, {"other"}, Play.Now_);
    CHECK(Play.admissionOf(Deadly) == CrashAdmission::Held);
    Play.Quarantine_.onCrash({"trial"}, Deadly, {"third"}, Play.Now_);
    CHECK(Play.admissionOf(Deadly) == CrashAdmission::Quarantined);
  }
}

TEST_CASE("Crashes for other reasons quarantine no request",
          "[relay][budget]") {
  QuarantinePlay Play;
  SECTION("attempts that were on one server together count as one crash") {
    for (const char *Request : {"a", "b", "c", "d"})
      Play.Quarantine_.onCrash({Request}, Sound, {"s"}, Play.Now_);
    CHECK(Play.Quarantine_.crashesOf(Sound, Play.Now_) == 1);
  }
  SECTION("many servers that crash at once are no trial") {
    for (const char *Server : {"a", "b", "c", "d", "e"})
      Play.Quarantine_.onCrash({Server}, Sound, {Server}, Play.Now_);
    CHECK(Play.admissionOf(Sound) == CrashAdmission::Trial);
  }
  SECTION("a request that was answered in between is presumed harmless") {
    for (int I = 0; I != 6; ++I) {
      Play.crash(Sound);
      Play.Quarantine_.onAnswered(Sound, Play.Now_);
    }
    CHECK(Play.admissionOf(Sound) == CrashAdmission::Free);
  }
  SECTION("suspicion ends by itself") {
    Play.crash(Sound);
    Play.crash(Sound);
    Play.Now_ += 2min;
    CHECK(Play.admissionOf(Sound) == CrashAdmission::Free);
    CHECK(Play.Quarantine_.suspects(Play.Now_).empty());
  }
  SECTION("a request without a fingerprint is not recorded") {
    for (int I = 0; I != 4; ++I)
      Play.crash({});
    CHECK(Play.admissionOf({}) == CrashAdmission::Free);
  }
}

TEST_CASE("Requests that were on one crashed server cost no message",
          "[relay][budget]") {
  QuarantinePlay Play;
  for (int I = 0; I != 3; ++I)
    Play.crash(Deadly);
  for (std::uint64_t I = 0; I != 3000; ++I)
    Play.Quarantine_.onCrash({"r"}, {7, I}, {"s"}, Play.Now_);
  const auto Suspects = Play.Quarantine_.suspects(Play.Now_);
  REQUIRE(Suspects.size() == 1);
  CHECK(Suspects.front().Fingerprint_ == Deadly);
  CHECK(Suspects.front().Crashes_ == 3);

  SECTION("and the worst come first if many are suspect") {
    for (std::uint64_t I = 0; I != 200; ++I)
      for (const char *Server : {"a", "b"})
        Play.Quarantine_.onCrash({"r"}, {8, I}, {Server}, Play.Now_);
    const auto Many = Play.Quarantine_.suspects(Play.Now_);
    CHECK(Many.size() <= 64);
    CHECK(Many.front().Fingerprint_ == Deadly);
  }
}

#include "gooseberrybeam/relay/PromptQuarantine.h"

#include <catch2/catch.hpp>

#include <initializer_list>
#include <string>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

using Segments = std::vector<PromptSegmentId>;

const Segments Harmful = {{"common"}, {"harmful"}};
const Segments Harmless = {{"common"}, {"other"}};

/// Requests that start on engines one after the other.
class QuarantinePlay {
public:
  CrashAdmission admissionOf(const Segments &Prompt) const {
    return Quarantine_.admissionOf(Prompt, Now_);
  }
  /// Starts a request, under which an engine of its own crashes.
  void crash(const Segments &Prompt) {
    const std::string Number = std::to_string(++Count_);
    Quarantine_.onGranted({"r" + Number}, Prompt, Now_);
    Quarantine_.onCrash({"r" + Number}, Prompt, {"d" + Number}, Now_);
    Now_ += 300ms;
  }
  /// Starts a request that its engine answers.
  void answer(const Segments &Prompt) {
    const RequestId Request = {"r" + std::to_string(++Count_)};
    Quarantine_.onGranted(Request, Prompt, Now_);
    Quarantine_.onAnswered(Prompt, Now_);
    Quarantine_.onReleased(Request);
  }

  PromptQuarantine Quarantine_;
  TimePoint Now_{1000s};

private:
  int Count_ = 0;
};

} // namespace

TEST_CASE("A prompt that crashes three engines is kept from the others",
          "[relay]") {
  QuarantinePlay Play;
  CHECK(Play.admissionOf(Harmful) == CrashAdmission::Free);
  Play.crash(Harmful);
  CHECK(Play.admissionOf(Harmful) == CrashAdmission::Trial);
  Play.crash(Harmful);
  CHECK(Play.admissionOf(Harmful) == CrashAdmission::Trial);
  Play.crash(Harmful);
  CHECK(Play.admissionOf(Harmful) == CrashAdmission::Quarantined);

  SECTION("prompts that share only a part of its segments are served") {
    CHECK(Play.admissionOf(Harmless) == CrashAdmission::Free);
    CHECK(Play.admissionOf({{"common"}}) == CrashAdmission::Free);
    CHECK(Play.admissionOf({}) == CrashAdmission::Free);
  }
  SECTION("an answer to a shared segment narrows the quarantine to the rest") {
    Play.answer(Harmless);
    CHECK(Play.admissionOf({{"harmful"}, {"new"}}) ==
          CrashAdmission::Quarantined);
    CHECK(Play.admissionOf({{"common"}, {"new"}}) == CrashAdmission::Free);
  }
  SECTION("an answer to all segments ends the quarantine") {
    Play.answer(Harmful);
    CHECK(Play.admissionOf(Harmful) == CrashAdmission::Free);
  }
  SECTION("after the quarantine one trial decides") {
    Play.Now_ += 11min;
    CHECK(Play.admissionOf(Harmful) == CrashAdmission::Trial);
    Play.crash(Harmful);
    CHECK(Play.admissionOf(Harmful) == CrashAdmission::Quarantined);
  }
  SECTION("the next home, and the one after it, know it") {
    PromptQuarantine Next;
    Next.merge(Play.Quarantine_.suspects(Play.Now_), Play.Now_);
    PromptQuarantine Last;
    Last.merge(Next.suspects(Play.Now_), Play.Now_);
    Last.merge(Next.suspects(Play.Now_), Play.Now_);
    CHECK(Last.admissionOf(Harmful, Play.Now_) == CrashAdmission::Quarantined);
    CHECK(Last.suspects(Play.Now_).size() == 1);
  }
}

TEST_CASE("Suspect prompts start one at a time", "[relay]") {
  QuarantinePlay Play;
  Play.crash(Harmful);
  Play.Quarantine_.onGranted({"trial"}, Harmful, Play.Now_);
  CHECK(Play.admissionOf(Harmful) == CrashAdmission::Held);
  SECTION("until the trial ends without an outcome") {
    Play.Quarantine_.onReleased({"trial"});
    CHECK(Play.admissionOf(Harmful) == CrashAdmission::Trial);
  }
  SECTION("until the trial has taken too long") {
    Play.Now_ += 3s;
    CHECK(Play.admissionOf(Harmful) == CrashAdmission::Trial);
  }
  SECTION("also while requests that had started before crash engines") {
    Play.Quarantine_.onCrash({"earlier"}, Harmful, {"d2"}, Play.Now_);
    CHECK(Play.admissionOf(Harmful) == CrashAdmission::Held);
    Play.Quarantine_.onCrash({"trial"}, Harmful, {"d3"}, Play.Now_);
    CHECK(Play.admissionOf(Harmful) == CrashAdmission::Quarantined);
  }
  SECTION("until the trial is answered") {
    Play.Quarantine_.onAnswered(Harmful, Play.Now_);
    CHECK(Play.admissionOf(Harmful) == CrashAdmission::Free);
  }
}

TEST_CASE("Crashes for other reasons quarantine no prompt", "[relay]") {
  QuarantinePlay Play;
  SECTION("requests that were on one engine together count as one crash") {
    for (const char *Request : {"a", "b", "c", "d"})
      Play.Quarantine_.onCrash({Request}, Harmful, {"d1"}, Play.Now_);
    CHECK(Play.admissionOf(Harmful) == CrashAdmission::Trial);
    CHECK(Play.Quarantine_.suspects(Play.Now_).front().Crashes_ == 1);
  }
  SECTION("many engines that crash at once are no trial") {
    for (const char *Server : {"d1", "d2", "d3", "d4"})
      Play.Quarantine_.onCrash({Server}, Harmful, {Server}, Play.Now_);
    CHECK(Play.admissionOf(Harmful) == CrashAdmission::Trial);
  }
  SECTION("a prompt that is answered in between is not suspect") {
    for (int I = 0; I != 6; ++I) {
      Play.crash(Harmful);
      Play.answer(Harmful);
    }
    CHECK(Play.admissionOf(Harmful) == CrashAdmission::Free);
  }
  SECTION("the segments that were answered lately are not blamed") {
    Play.answer(Harmless);
    for (int I = 0; I != 3; ++I)
      Play.crash(Harmful);
    CHECK(Play.admissionOf({{"harmful"}}) == CrashAdmission::Quarantined);
    CHECK(Play.admissionOf({{"common"}}) == CrashAdmission::Free);
  }
  SECTION("suspicion ends by itself") {
    Play.crash(Harmful);
    Play.crash(Harmful);
    Play.Now_ += 2min;
    Play.crash({{"unrelated"}});
    CHECK(Play.admissionOf(Harmful) == CrashAdmission::Free);
  }
  SECTION("the number of suspects is bounded") {
    for (int I = 0; I != 300; ++I)
      Play.crash({{"s" + std::to_string(I)}});
    CHECK(Play.Quarantine_.suspects(Play.Now_).size() <= 64);
  }
}

TEST_CASE("A segment that begins to crash engines is found although it was "
          "answered before",
          "[relay]") {
  QuarantinePlay Play;
  Play.answer(Harmful);
  for (int I = 0; I != 3; ++I)
    Play.crash(Harmful);
  CHECK(Play.admissionOf(Harmful) == CrashAdmission::Quarantined);
}

/// \file
/// Encoding of the parts that several home messages share.
#ifndef GOOSEBERRYBEAM_SRC_RELAYD_HOMECODECPARTS_H
#define GOOSEBERRYBEAM_SRC_RELAYD_HOMECODECPARTS_H

#include "gooseberrybeam/relay/HomeMessages.h"

#include <home.pb.h>

#include <algorithm>
#include <cmath>

namespace gooseberry {

/// Sums and multiples of shorter times fit into a `Duration`.
inline constexpr std::int64_t MaxUs =
    std::chrono::duration_cast<Duration>(std::chrono::hours(24 * 365)).count();

/// \returns a time that may have passed, in range.
inline Duration readTimeLeft(std::int64_t Us) {
  return Duration(std::clamp(Us, -MaxUs, MaxUs));
}

/// \returns a time in range that is not negative.
inline Duration readTime(std::int64_t Us) {
  return Duration(std::clamp<std::int64_t>(Us, 0, MaxUs));
}

inline bool isAmount(double Value) {
  return std::isfinite(Value) && Value >= 0;
}

template <typename T>
void writeUtilisation(T &Body,
                      const std::vector<LimitUtilisation> &Utilisation) {
  for (const auto &Source : Utilisation) {
    auto &Limit = *Body.add_fills();
    Limit.set_organisation(Source.Organisation_.Value_);
    Limit.set_part(static_cast<float>(Source.UsedFraction_));
  }
}

template <typename T>
std::vector<LimitUtilisation> readUtilisation(const T &Body) {
  std::vector<LimitUtilisation> Utilisation;
  for (const auto &Limit : Body.fills())
    if (isAmount(Limit.part()))
      Utilisation.push_back({{Limit.organisation()}, Limit.part()});
  return Utilisation;
}

template <typename T>
void writeOrigin(T &Body, const std::optional<StreamOrigin> &Origin) {
  if (!Origin)
    return;
  auto &Written = *Body.mutable_origin();
  Written.set_stream(Origin->Stream_.Value_);
  Written.set_service(Origin->Service_.Value_);
  Written.set_software(Origin->Software_.Value_);
}

template <typename T> std::optional<StreamOrigin> readOrigin(const T &Body) {
  if (!Body.has_origin())
    return std::nullopt;
  return StreamOrigin{{Body.origin().stream()},
                      {Body.origin().service()},
                      {Body.origin().software()}};
}

template <typename T>
void writeSegments(T &Body, const std::vector<PromptSegmentId> &Segments) {
  for (const auto &Segment : Segments)
    Body.add_segments(Segment.Value_);
}

template <typename T> std::vector<PromptSegmentId> readSegments(const T &Body) {
  std::vector<PromptSegmentId> Segments;
  for (const auto &Segment : Body.segments())
    Segments.push_back({Segment});
  return Segments;
}

template <typename T>
void writeSuspects(T &Body, const std::vector<CrashSuspect> &Suspects) {
  for (const auto &Source : Suspects) {
    auto &Suspect = *Body.add_suspects();
    writeSegments(Suspect, Source.Segments_);
    Suspect.set_crashes(Source.Crashes_);
    Suspect.set_age_us(Source.Age_.count());
  }
}

template <typename T> std::vector<CrashSuspect> readSuspects(const T &Body) {
  std::vector<CrashSuspect> Suspects;
  for (const auto &Suspect : Body.suspects())
    Suspects.push_back(
        {readSegments(Suspect), Suspect.crashes(), readTime(Suspect.age_us())});
  return Suspects;
}

template <typename T>
void writeFingerprint(T &Body, const RequestFingerprint &Fingerprint) {
  Body.set_fingerprint_high(Fingerprint.High_);
  Body.set_fingerprint_low(Fingerprint.Low_);
}

template <typename T> RequestFingerprint readFingerprint(const T &Body) {
  return {Body.fingerprint_high(), Body.fingerprint_low()};
}

template <typename T>
void writeRequestSuspects(T &Body,
                          const std::vector<RequestSuspect> &Suspects) {
  for (const auto &Source : Suspects) {
    auto &Suspect = *Body.add_request_suspects();
    Suspect.set_high(Source.Fingerprint_.High_);
    Suspect.set_low(Source.Fingerprint_.Low_);
    Suspect.set_crashes(Source.Crashes_);
    Suspect.set_age_us(Source.Age_.count());
  }
}

template <typename T>
std::vector<RequestSuspect> readRequestSuspects(const T &Body) {
  std::vector<RequestSuspect> Suspects;
  for (const auto &Suspect : Body.request_suspects())
    Suspects.push_back({{Suspect.high(), Suspect.low()},
                        Suspect.crashes(),
                        readTime(Suspect.age_us())});
  return Suspects;
}

template <typename T>
void writeContact(T &Body, const std::optional<StoreContactSpan> &Span) {
  if (!Span)
    return;
  Body.mutable_store_contact()->set_age_us(Span->Age_.count());
  Body.mutable_store_contact()->set_length_us(Span->Length_.count());
}

template <typename T>
std::optional<StoreContactSpan> readContact(const T &Body) {
  if (!Body.has_store_contact())
    return std::nullopt;
  return StoreContactSpan{readTime(Body.store_contact().age_us()),
                          readTime(Body.store_contact().length_us())};
}

template <typename T>
void writeLimits(T &Body, const std::vector<ServerLimit> &Limits) {
  for (const auto &Source : Limits) {
    auto &Limit = *Body.add_server_limits();
    Limit.set_server(Source.Server_.Value_);
    Limit.set_per_second(Source.RequestsPerSecond_);
  }
}

template <typename T> std::vector<ServerLimit> readLimits(const T &Body) {
  std::vector<ServerLimit> Limits;
  for (const auto &Limit : Body.server_limits())
    if (isAmount(Limit.per_second()))
      Limits.push_back({{Limit.server()}, Limit.per_second()});
  return Limits;
}

template <typename T>
void writeLeaving(T &Body, const std::vector<LeavingServer> &Servers) {
  for (const LeavingServer &Source : Servers) {
    auto &Server = *Body.add_leaving_servers();
    Server.set_id(Source.Id_.Value_);
    Server.set_start_time_ms(Source.StartTimeMs_);
  }
}

template <typename T> std::vector<LeavingServer> readLeaving(const T &Body) {
  std::vector<LeavingServer> Servers;
  for (const auto &Server : Body.leaving_servers())
    Servers.push_back({{Server.id()}, Server.start_time_ms()});
  return Servers;
}

inline void writeEvacuation(wire::HomeEvacuation &Body,
                            const EvacuationState &State) {
  Body.set_version(State.Version_.Number_);
  Body.set_era(State.Version_.Era_);
  for (const DataCentreId &Each : State.DataCentres_)
    Body.add_data_centres(Each.Value_);
}

inline EvacuationState readEvacuation(const wire::HomeEvacuation &Body) {
  EvacuationState State;
  State.Version_ = {Body.version(), Body.era()};
  for (const auto &Each : Body.data_centres())
    State.DataCentres_.insert({Each});
  return State;
}

inline void writeLoadReports(wire::HomeHeartbeat &Body,
                             const std::vector<ServerLoadReport> &Reports) {
  for (const ServerLoadReport &Source : Reports) {
    auto &Load = *Body.add_server_loads();
    Load.set_server(Source.Server_.Value_);
    Load.set_in_flight(Source.InFlight_);
    Load.set_answers(Source.Answers_);
    Load.set_answer_ms(Source.AnswerMs_);
    Load.set_failures(Source.Failures_);
  }
}

inline std::vector<ServerLoadReport>
readLoadReports(const wire::HomeHeartbeat &Body) {
  std::vector<ServerLoadReport> Reports;
  for (const auto &Load : Body.server_loads())
    if (isAmount(Load.answer_ms()))
      Reports.push_back({{Load.server()},
                         Load.in_flight(),
                         Load.answers(),
                         Load.answer_ms(),
                         Load.failures()});
  return Reports;
}

inline void
writeLoadEstimates(wire::HomeReply &Body,
                   const std::vector<ServerLoadEstimate> &Estimates) {
  for (const ServerLoadEstimate &Source : Estimates) {
    auto &Load = *Body.add_server_loads();
    Load.set_server(Source.Server_.Value_);
    Load.set_in_flight(Source.InFlight_);
    Load.set_lasting_ms(Source.LastingMs_);
    Load.set_present_ms(Source.PresentMs_);
    Load.set_failure_rate(Source.FailureRate_);
    Load.set_age_us(Source.Age_.count());
  }
}

inline std::vector<ServerLoadEstimate>
readLoadEstimates(const wire::HomeReply &Body) {
  std::vector<ServerLoadEstimate> Estimates;
  for (const auto &Load : Body.server_loads()) {
    const bool IsValid =
        isAmount(Load.in_flight()) && isAmount(Load.lasting_ms()) &&
        isAmount(Load.present_ms()) && isAmount(Load.failure_rate());
    if (IsValid)
      Estimates.push_back({{Load.server()},
                           Load.in_flight(),
                           Load.lasting_ms(),
                           Load.present_ms(),
                           Load.failure_rate(),
                           readTime(Load.age_us())});
  }
  return Estimates;
}

inline void writeRegions(wire::HomeAsk &Body,
                         const RegionRestriction &Restriction) {
  Body.set_is_region_restricted(Restriction.IsRestricted_);
  for (const RegionId &Each : Restriction.Regions_)
    Body.add_regions(Each.Value_);
}

inline RegionRestriction readRegions(const wire::HomeAsk &Body) {
  RegionRestriction Restriction;
  Restriction.IsRestricted_ = Body.is_region_restricted();
  for (const auto &Each : Body.regions())
    Restriction.Regions_.push_back({Each});
  return Restriction;
}

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_SRC_RELAYD_HOMECODECPARTS_H

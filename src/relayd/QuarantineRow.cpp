#include "gooseberrybeam/relayd/QuarantineRow.h"

#include "gooseberrybeam/relayd/InstanceRows.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace gooseberry {
namespace {

namespace json = boost::json;

std::vector<PromptSegmentId> parseSegments(const json::value &Value) {
  std::vector<PromptSegmentId> Segments;
  if (!Value.is_array())
    return Segments;
  for (const json::value &Each : Value.get_array())
    if (Each.is_string())
      Segments.push_back({std::string(Each.get_string())});
  return Segments;
}

json::array parseEntries(const StoreRow &Row) {
  boost::system::error_code Error;
  // Segments are named by callers, in any bytes.
  json::parse_options Options;
  Options.allow_invalid_utf8 = true;
  json::value Parsed = json::parse(Row.Value_, Error, {}, Options);
  if (Error || !Parsed.is_array())
    return {};
  return std::move(Parsed.get_array());
}

} // namespace

std::vector<CrashSuspect>
quarantinedOnly(std::span<const CrashSuspect> Suspects) {
  std::vector<CrashSuspect> Quarantined;
  for (const CrashSuspect &Each : Suspects)
    if (Each.Crashes_ >= QuarantineCrashes)
      Quarantined.push_back({Each.Segments_, QuarantineCrashes, {}});
  std::sort(Quarantined.begin(), Quarantined.end(),
            [](const CrashSuspect &A, const CrashSuspect &B) {
              return A.Segments_ < B.Segments_;
            });
  return Quarantined;
}

std::vector<RequestSuspect>
quarantinedOnly(std::span<const RequestSuspect> Suspects) {
  std::vector<RequestSuspect> Quarantined;
  for (const RequestSuspect &Each : Suspects)
    if (Each.Crashes_ >= QuarantineCrashes)
      Quarantined.push_back({Each.Fingerprint_, QuarantineCrashes, {}});
  std::sort(Quarantined.begin(), Quarantined.end(),
            [](const RequestSuspect &A, const RequestSuspect &B) {
              return A.Fingerprint_ < B.Fingerprint_;
            });
  return Quarantined;
}

StoreRow makeQuarantineRow(std::span<const CrashSuspect> Quarantined,
                           std::span<const RequestSuspect> Requests) {
  json::array Entries;
  for (const CrashSuspect &Each : Quarantined) {
    json::array Segments;
    for (const PromptSegmentId &Segment : Each.Segments_)
      Segments.emplace_back(Segment.Value_);
    Entries.push_back(std::move(Segments));
  }
  for (const RequestSuspect &Each : Requests)
    Entries.emplace_back(formatFingerprint(Each.Fingerprint_));
  StoreRow Row;
  Row.Table_ = RelayTable;
  Row.Key_ = QuarantineRowKey;
  Row.Value_ = json::serialize(Entries);
  return Row;
}

std::vector<CrashSuspect> parseQuarantineRow(const StoreRow &Row) {
  std::vector<CrashSuspect> Quarantined;
  for (const json::value &Each : parseEntries(Row)) {
    auto Segments = parseSegments(Each);
    if (!Segments.empty())
      Quarantined.push_back({std::move(Segments), QuarantineCrashes, {}});
  }
  return Quarantined;
}

std::vector<RequestSuspect> parseQuarantinedRequests(const StoreRow &Row) {
  std::vector<RequestSuspect> Quarantined;
  for (const json::value &Each : parseEntries(Row)) {
    const auto Fingerprint =
        Each.is_string()
            ? parseFingerprint(std::string_view(Each.get_string().data(),
                                                Each.get_string().size()))
            : std::nullopt;
    if (Fingerprint)
      Quarantined.push_back({*Fingerprint, QuarantineCrashes, {}});
  }
  return Quarantined;
}

} // namespace gooseberry

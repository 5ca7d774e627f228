#include "gooseberrybeam/relay/StatedLimits.h"

namespace gooseberry {
namespace {

/// An unchanged limit is reported again after this time, in case that the
/// report was lost.
constexpr Duration ReportInterval = std::chrono::milliseconds(500);

} // namespace

bool StatedLimits::onResponse(const ServerId &Server,
                              std::optional<double> RequestsPerSecond,
                              TimePoint Now) {
  if (!RequestsPerSecond)
    return Limits_.erase(Server) > 0;
  const auto [Found, IsNew] = Limits_.try_emplace(Server);
  StatedLimit &Limit = Found->second;
  const bool IsReportDue = IsNew ||
                           Limit.RequestsPerSecond_ != *RequestsPerSecond ||
                           Now >= Limit.ReportedAt_ + ReportInterval;
  Limit.RequestsPerSecond_ = *RequestsPerSecond;
  if (IsReportDue)
    Limit.ReportedAt_ = Now;
  return IsReportDue;
}

void StatedLimits::assign(std::span<const ServerLimit> Limits, TimePoint Now) {
  std::unordered_map<ServerId, StatedLimit> Assigned;
  for (const auto &[Server, Limit] : Limits_)
    if (Now < Limit.ReportedAt_ + ReportInterval)
      Assigned[Server] = Limit;
  for (const ServerLimit &Each : Limits) {
    const auto Known = Limits_.find(Each.Server_);
    const TimePoint ReportedAt = Known == Limits_.end()
                                     ? Now - ReportInterval
                                     : Known->second.ReportedAt_;
    Assigned.try_emplace(Each.Server_,
                         StatedLimit{Each.RequestsPerSecond_, ReportedAt});
  }
  Limits_ = std::move(Assigned);
}

std::vector<ServerLimit> StatedLimits::all() const {
  std::vector<ServerLimit> Limits;
  for (const auto &[Server, Limit] : Limits_)
    Limits.push_back({Server, Limit.RequestsPerSecond_});
  return Limits;
}

} // namespace gooseberry

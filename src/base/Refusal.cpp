#include "gooseberrybeam/base/Refusal.h"

#include <array>
#include <cassert>

namespace gooseberry {
namespace {

struct ReasonInfo {
  RefusalReason Reason_;
  std::string_view Code_;
  int Status_;
};

constexpr std::array<ReasonInfo, RefusalReasonCount> Reasons = {{
    {RefusalReason::MissingKey, "missing_key", 401},
    {RefusalReason::UnknownKey, "unknown_key", 401},
    {RefusalReason::ForbiddenRoute, "forbidden_route", 403},
    {RefusalReason::UnknownRoute, "unknown_route", 404},
    {RefusalReason::UnknownModel, "unknown_model", 404},
    {RefusalReason::MalformedRequest, "malformed_request", 400},
    {RefusalReason::RequestTooLarge, "request_too_large", 413},
    {RefusalReason::RequestTimeout, "request_timeout", 408},
    {RefusalReason::RateExceeded, "rate_exceeded", 429},
    {RefusalReason::DeadlineUnreachable, "deadline_unreachable", 503},
    {RefusalReason::DeadlineExceeded, "deadline_exceeded", 504},
    {RefusalReason::QueueFull, "queue_full", 503},
    {RefusalReason::NoBackendServer, "no_backend_server", 503},
    {RefusalReason::BackendFailed, "backend_failed", 502},
    {RefusalReason::BackendTimeout, "backend_timeout", 504},
    {RefusalReason::TableUnavailable, "table_unavailable", 503},
    {RefusalReason::IdempotencyKeyReused, "idempotency_key_reused", 422},
    {RefusalReason::IdempotencyInProgress, "idempotency_in_progress", 409},
    {RefusalReason::OutcomeUnknown, "outcome_unknown", 502},
    {RefusalReason::LeaseExpired, "lease_expired", 503},
    {RefusalReason::ConfigurationUnknown, "configuration_unknown", 503},
    {RefusalReason::Draining, "draining", 503},
    {RefusalReason::ClientGone, "client_gone", 499},
    {RefusalReason::PromptQuarantined, "prompt_quarantined", 503},
    {RefusalReason::Internal, "internal", 500},
    {RefusalReason::SoftwareGone, "software_gone", 503},
    {RefusalReason::OriginUnknown, "origin_unknown", 503},
    {RefusalReason::ServersUnreachable, "servers_unreachable", 421},
}};

const ReasonInfo &infoOf(RefusalReason Reason) {
  const auto &Info = Reasons[static_cast<std::size_t>(Reason)];
  assert(Info.Reason_ == Reason);
  return Info;
}

} // namespace

std::string_view asCode(RefusalReason Reason) { return infoOf(Reason).Code_; }

int asHttpStatus(RefusalReason Reason) { return infoOf(Reason).Status_; }

std::string_view asCode(Execution Value) {
  return Value == Execution::NotRun ? "not_run" : "unknown";
}

} // namespace gooseberry

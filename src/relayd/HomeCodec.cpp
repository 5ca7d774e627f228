#include "gooseberrybeam/relayd/HomeCodec.h"

#include <home.pb.h>

namespace gooseberry {
namespace {

constexpr auto LastStep =
    static_cast<std::uint32_t>(GenerationStep::ServerReplaced);

template <typename T>
void writeFills(T &To, const std::vector<LimitUtilisation> &From) {
  for (const auto &Each : From) {
    auto &Fill = *To.add_fills();
    Fill.set_organisation(Each.Organisation_.Value_);
    Fill.set_part(static_cast<float>(Each.UsedFraction_));
  }
}

template <typename T> std::vector<LimitUtilisation> readFills(const T &From) {
  std::vector<LimitUtilisation> Out;
  for (const auto &Each : From.fills())
    Out.push_back({{Each.organisation()}, Each.part()});
  return Out;
}

void write(wire::Home &To, const HomeHeartbeat &From) {
  auto &Out = *To.mutable_heartbeat();
  Out.set_sequence(From.Sequence_);
  Out.set_configuration_version(From.ConfigurationVersion_);
  Out.set_servers_version(From.ServersVersion_);
  Out.set_uptime_us(From.Uptime_.count());
  Out.set_is_attached(From.IsAttached_);
  Out.set_attachment(From.Attachment_);
  writeFills(Out, From.Utilisation_);
  Out.set_is_leaving(From.IsLeaving_);
  for (const auto &Each : From.TokenUsage_) {
    auto &Use = *Out.add_used();
    Use.set_organisation(Each.Organisation_.Value_);
    Use.set_tokens(Each.Tokens_);
    Use.set_age_us(Each.Age_.count());
  }
  for (const auto &Each : From.RunningGenerations_) {
    auto &Run = *Out.add_running();
    Run.set_request(Each.Request_.Value_);
    Run.set_organisation(Each.Organisation_.Value_);
    Run.set_service(Each.Service_.Value_);
    Run.set_decode(Each.Decode_.Value_);
    Run.set_prompt_tokens(Each.PromptTokens_);
    Run.set_output_tokens(Each.OutputTokens_);
    Run.set_length_hint(Each.LengthHint_);
  }
}

void write(wire::Home &To, const HomeReply &From) {
  auto &Out = *To.mutable_reply();
  Out.set_sequence(From.Sequence_);
  Out.set_configuration_version(From.ConfigurationVersion_);
  Out.set_servers_version(From.ServersVersion_);
  Out.set_is_leaving(From.IsLeaving_);
  for (const auto &Each : From.ExhaustedOrganisations_)
    Out.add_exhausted(Each.Value_);
  writeFills(Out, From.Utilisation_);
}

void write(wire::Home &To, const PlacementRequest &From) {
  auto &Out = *To.mutable_ask();
  Out.set_request(From.Request_.Value_);
  Out.set_organisation(From.Organisation_.Value_);
  Out.set_service(From.Service_.Value_);
  Out.set_prompt_tokens(From.PromptTokens_);
  Out.set_max_output_tokens(From.MaxOutputTokens_);
  Out.set_length_hint(From.LengthHint_);
  Out.set_priority(From.Priority_);
  Out.set_target_left_us(From.TargetLeft_.count());
  Out.set_time_left_us(From.TimeLeft_.count());
  Out.set_patience_left_us(From.PatienceLeft_.count());
  Out.set_is_charged(From.IsCharged_);
  Out.set_needs_prefill(From.NeedsPrefill_);
  Out.set_output_tokens(From.OutputTokens_);
  for (const auto &Each : From.ExcludedEngines_)
    Out.add_avoid(Each.Value_);
}

void write(wire::HomeServer &To, const ChosenServer &From) {
  To.set_id(From.Id_.Value_);
  To.set_address(From.Address_.Value_);
}

void write(wire::Home &To, const PlacementGrant &From) {
  auto &Out = *To.mutable_grant();
  Out.set_request(From.Request_.Value_);
  if (From.Prefill_)
    write(*Out.mutable_prefill(), *From.Prefill_);
  write(*Out.mutable_decode(), From.Decode_);
}

void write(wire::Home &To, const PlacementDenial &From) {
  auto &Out = *To.mutable_denial();
  Out.set_request(From.Request_.Value_);
  Out.set_reason(static_cast<std::uint32_t>(From.Reason_));
  if (From.RetryAfter_)
    Out.set_retry_after_us(From.RetryAfter_->count());
}

void write(wire::Home &To, const GenerationReport &From) {
  auto &Out = *To.mutable_step();
  Out.set_request(From.Request_.Value_);
  Out.set_step(static_cast<std::uint32_t>(From.Step_));
  Out.set_server(From.Server_.Value_);
  Out.set_tokens(From.Tokens_);
  Out.set_took_us(From.Elapsed_.count());
}

void write(wire::Home &To, const ConfigurationRequest &From) {
  To.set_configuration_request(From.Version_);
}

void write(wire::Home &To, const ConfigurationCopy &From) {
  To.set_configuration(From.Source_);
}

void write(wire::Home &To, const ServersRequest &From) {
  To.set_servers_request(From.Version_);
}

void write(wire::Home &To, const ServersCopy &From) {
  auto &Out = *To.mutable_servers();
  Out.set_version(From.Version_);
  for (const auto &Each : From.Rows_) {
    auto &Row = *Out.add_rows();
    Row.set_key(Each.Key_);
    Row.set_value(Each.Value_);
    Row.set_version(Each.Version_);
  }
}

HomeHeartbeat read(const wire::HomeHeartbeat &From) {
  HomeHeartbeat Out;
  Out.Sequence_ = From.sequence();
  Out.ConfigurationVersion_ = From.configuration_version();
  Out.ServersVersion_ = From.servers_version();
  Out.Uptime_ = Duration(From.uptime_us());
  Out.IsAttached_ = From.is_attached();
  Out.Attachment_ = From.attachment();
  Out.Utilisation_ = readFills(From);
  Out.IsLeaving_ = From.is_leaving();
  for (const auto &Each : From.used())
    Out.TokenUsage_.push_back(
        {{Each.organisation()}, Each.tokens(), Duration(Each.age_us())});
  for (const auto &Each : From.running())
    Out.RunningGenerations_.push_back({{Each.request()},
                                       {Each.organisation()},
                                       {Each.service()},
                                       {Each.decode()},
                                       Each.prompt_tokens(),
                                       Each.output_tokens(),
                                       Each.length_hint()});
  return Out;
}

HomeReply read(const wire::HomeReply &From) {
  HomeReply Out;
  Out.Sequence_ = From.sequence();
  Out.ConfigurationVersion_ = From.configuration_version();
  Out.ServersVersion_ = From.servers_version();
  Out.IsLeaving_ = From.is_leaving();
  for (const auto &Each : From.exhausted())
    Out.ExhaustedOrganisations_.push_back({Each});
  Out.Utilisation_ = readFills(From);
  return Out;
}

PlacementRequest read(const wire::HomeAsk &From) {
  PlacementRequest Out;
  Out.Request_ = {From.request()};
  Out.Organisation_ = {From.organisation()};
  Out.Service_ = {From.service()};
  Out.PromptTokens_ = From.prompt_tokens();
  Out.MaxOutputTokens_ = From.max_output_tokens();
  Out.LengthHint_ = From.length_hint();
  Out.Priority_ = From.priority();
  Out.TargetLeft_ = Duration(From.target_left_us());
  Out.TimeLeft_ = Duration(From.time_left_us());
  Out.PatienceLeft_ = Duration(From.patience_left_us());
  Out.IsCharged_ = From.is_charged();
  Out.NeedsPrefill_ = From.needs_prefill();
  Out.OutputTokens_ = From.output_tokens();
  for (const auto &Each : From.avoid())
    Out.ExcludedEngines_.push_back({Each});
  return Out;
}

ChosenServer read(const wire::HomeServer &From) {
  return {{From.id()}, {From.address()}};
}

PlacementGrant read(const wire::HomeGrant &From) {
  PlacementGrant Out;
  Out.Request_ = {From.request()};
  if (From.has_prefill())
    Out.Prefill_ = read(From.prefill());
  Out.Decode_ = read(From.decode());
  return Out;
}

std::optional<HomeMessage> read(const wire::HomeDenial &From) {
  if (From.reason() >= static_cast<std::uint32_t>(RefusalReasonCount))
    return std::nullopt;
  PlacementDenial Out;
  Out.Request_ = {From.request()};
  Out.Reason_ = static_cast<RefusalReason>(From.reason());
  if (From.has_retry_after_us())
    Out.RetryAfter_ = Duration(From.retry_after_us());
  return Out;
}

std::optional<HomeMessage> read(const wire::HomeStep &From) {
  if (From.step() > LastStep)
    return std::nullopt;
  return GenerationReport{{From.request()},
                          static_cast<GenerationStep>(From.step()),
                          {From.server()},
                          From.tokens(),
                          Duration(From.took_us())};
}

ServersCopy read(const wire::HomeServers &From) {
  ServersCopy Out;
  Out.Version_ = From.version();
  for (const auto &Each : From.rows())
    Out.Rows_.push_back({Each.key(), Each.value(), Each.version()});
  return Out;
}

} // namespace

std::string encodeHomeMessage(const HomeMessage &Message) {
  wire::Home Out;
  std::visit([&Out](const auto &Each) { write(Out, Each); }, Message);
  return Out.SerializeAsString();
}

std::optional<HomeMessage> parseHomeMessage(std::string_view Bytes) {
  wire::Home From;
  if (!From.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size())))
    return std::nullopt;
  switch (From.body_case()) {
  case wire::Home::kHeartbeat:
    return read(From.heartbeat());
  case wire::Home::kReply:
    return read(From.reply());
  case wire::Home::kAsk:
    return read(From.ask());
  case wire::Home::kGrant:
    return read(From.grant());
  case wire::Home::kDenial:
    return read(From.denial());
  case wire::Home::kStep:
    return read(From.step());
  case wire::Home::kConfigurationRequest:
    return ConfigurationRequest{From.configuration_request()};
  case wire::Home::kConfiguration:
    return ConfigurationCopy{From.configuration()};
  case wire::Home::kServersRequest:
    return ServersRequest{From.servers_request()};
  case wire::Home::kServers:
    return read(From.servers());
  case wire::Home::BODY_NOT_SET:
    break;
  }
  return std::nullopt;
}

} // namespace gooseberry

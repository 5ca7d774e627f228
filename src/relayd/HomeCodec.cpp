#include "gooseberrybeam/relayd/HomeCodec.h"

#include "relayd/HomeCodecParts.h"

#include <algorithm>

namespace gooseberry {
namespace {

constexpr auto LastStep =
    static_cast<std::uint32_t>(GenerationStep::ServerResumed);
constexpr auto LastAdmission =
    static_cast<std::uint32_t>(CrashAdmission::Quarantined);
constexpr auto LastOutcome = static_cast<std::uint32_t>(TrialOutcome::Ended);

void write(wire::Home &Envelope, const HomeHeartbeat &Message) {
  auto &Body = *Envelope.mutable_heartbeat();
  Body.set_sequence(Message.Sequence_);
  Body.set_configuration_version(Message.ConfigurationVersion_);
  Body.set_servers_version(Message.ServersVersion_.Number_);
  Body.set_servers_era(Message.ServersVersion_.Era_);
  writeContact(Body, Message.StoreContact_);
  Body.set_uptime_us(Message.Uptime_.count());
  Body.set_is_attached(Message.IsAttached_);
  Body.set_attachment(Message.Attachment_);
  writeUtilisation(Body, Message.Utilisation_);
  writeSuspects(Body, Message.CrashSuspects_);
  writeRequestSuspects(Body, Message.RequestSuspects_);
  writeLimits(Body, Message.ServerLimits_);
  writeLeaving(Body, Message.LeavingServers_);
  writeEvacuation(*Body.mutable_evacuation(), Message.Evacuation_);
  writeLoadReports(Body, Message.ServerLoads_);
  Body.set_is_cut_off(Message.IsCutOff_);
  Body.set_is_leaving(Message.IsLeaving_);
  for (const auto &Used : Message.TokenUsage_) {
    auto &Usage = *Body.add_used();
    Usage.set_organisation(Used.Organisation_.Value_);
    Usage.set_tokens(Used.Tokens_);
    Usage.set_age_us(Used.Age_.count());
  }
  for (const auto &Generation : Message.RunningGenerations_) {
    auto &Run = *Body.add_running();
    Run.set_request(Generation.Request_.Value_);
    Run.set_organisation(Generation.Organisation_.Value_);
    Run.set_service(Generation.Service_.Value_);
    Run.set_decode(Generation.Decode_.Value_);
    Run.set_prompt_tokens(Generation.PromptTokens_);
    Run.set_output_tokens(Generation.OutputTokens_);
    Run.set_length_hint(Generation.LengthHint_);
    writeOrigin(Run, Generation.Origin_);
  }
}

void write(wire::Home &Envelope, const HomeReply &Message) {
  auto &Body = *Envelope.mutable_reply();
  Body.set_sequence(Message.Sequence_);
  Body.set_configuration_version(Message.ConfigurationVersion_);
  Body.set_servers_version(Message.ServersVersion_.Number_);
  Body.set_servers_era(Message.ServersVersion_.Era_);
  writeContact(Body, Message.StoreContact_);
  Body.set_is_leaving(Message.IsLeaving_);
  for (const auto &Organisation : Message.ExhaustedOrganisations_)
    Body.add_exhausted(Organisation.Value_);
  writeUtilisation(Body, Message.Utilisation_);
  writeSuspects(Body, Message.CrashSuspects_);
  writeRequestSuspects(Body, Message.RequestSuspects_);
  writeLimits(Body, Message.ServerLimits_);
  writeLeaving(Body, Message.LeavingServers_);
  writeEvacuation(*Body.mutable_evacuation(), Message.Evacuation_);
  writeLoadEstimates(Body, Message.ServerLoads_);
  for (const auto &Each : Message.Proxies_)
    Body.add_proxies(Each.Value_);
  for (const auto &Source : Message.Feeds_) {
    auto &Feed = *Body.add_feeds();
    Feed.set_era(Source.Version_.Era_);
    Feed.set_version(Source.Version_.Number_);
    Feed.set_last_change(Source.LastChange_.Number_);
    Feed.set_age_us(Source.Age_.count());
    Feed.set_is_store_available(Source.IsStoreAvailable_);
  }
}

void write(wire::Home &Envelope, const PlacementRequest &Message) {
  auto &Body = *Envelope.mutable_ask();
  Body.set_request(Message.Request_.Value_);
  Body.set_organisation(Message.Organisation_.Value_);
  Body.set_service(Message.Service_.Value_);
  Body.set_prompt_tokens(Message.PromptTokens_);
  Body.set_max_output_tokens(Message.MaxOutputTokens_);
  Body.set_length_hint(Message.LengthHint_);
  Body.set_priority(Message.Priority_);
  Body.set_target_left_us(Message.TargetLeft_.count());
  Body.set_time_left_us(Message.TimeLeft_.count());
  Body.set_patience_left_us(Message.PatienceLeft_.count());
  Body.set_is_charged(Message.IsCharged_);
  Body.set_needs_prefill(Message.NeedsPrefill_);
  Body.set_output_tokens(Message.OutputTokens_);
  for (const auto &Server : Message.ExcludedEngines_)
    Body.add_avoid(Server.Value_);
  writeSegments(Body, Message.SharedSegments_);
  writeFingerprint(Body, Message.Fingerprint_);
  writeRegions(Body, Message.Regions_);
  Body.set_required_software(Message.RequiredSoftware_.Value_);
  Body.set_is_resumed(Message.IsResumed_);
  Body.set_resumed_stream(Message.ResumedStream_.Value_);
}

void write(wire::HomeServer &Body, const ChosenServer &Server) {
  Body.set_id(Server.Id_.Value_);
  Body.set_address(Server.Address_.Value_);
}

void write(wire::Home &Envelope, const PlacementGrant &Message) {
  auto &Body = *Envelope.mutable_grant();
  Body.set_request(Message.Request_.Value_);
  if (Message.Prefill_)
    write(*Body.mutable_prefill(), *Message.Prefill_);
  write(*Body.mutable_decode(), Message.Decode_);
  Body.set_software(Message.Software_.Value_);
}

void write(wire::Home &Envelope, const PlacementDenial &Message) {
  auto &Body = *Envelope.mutable_denial();
  Body.set_request(Message.Request_.Value_);
  Body.set_reason(static_cast<std::uint32_t>(Message.Reason_));
  if (Message.RetryAfter_)
    Body.set_retry_after_us(Message.RetryAfter_->count());
}

void write(wire::Home &Envelope, const GenerationReport &Message) {
  auto &Body = *Envelope.mutable_step();
  Body.set_request(Message.Request_.Value_);
  Body.set_step(static_cast<std::uint32_t>(Message.Step_));
  Body.set_server(Message.Server_.Value_);
  Body.set_tokens(Message.Tokens_);
  Body.set_took_us(Message.Elapsed_.count());
  writeSegments(Body, Message.SharedSegments_);
  writeFingerprint(Body, Message.Fingerprint_);
  writeOrigin(Body, Message.Origin_);
}

void write(wire::Home &Envelope, const ConfigurationRequest &Message) {
  Envelope.set_configuration_request(Message.Version_);
}

void write(wire::Home &Envelope, const ConfigurationCopy &Message) {
  Envelope.set_configuration(Message.Source_);
}

void write(wire::Home &Envelope, const TableRequest &Message) {
  auto &Body = *Envelope.mutable_table_request();
  Body.set_table(static_cast<std::uint32_t>(Message.Table_));
  Body.set_version(Message.Version_.Number_);
  Body.set_era(Message.Version_.Era_);
}

void write(wire::Home &Envelope, const TableUpdate &Message) {
  auto &Body = *Envelope.mutable_table_update();
  Body.set_table(static_cast<std::uint32_t>(Message.Table_));
  Body.set_era(Message.Version_.Era_);
  Body.set_base_version(Message.BaseVersion_.Number_);
  Body.set_version(Message.Version_.Number_);
  Body.set_is_near_outage(Message.IsNearOutage_);
  for (const auto &Source : Message.Rows_) {
    auto &Row = *Body.add_rows();
    Row.set_key(Source.Key_);
    Row.set_value(Source.Value_);
    Row.set_version(Source.Version_.Number_);
  }
}

void write(wire::Home &Envelope, const ServerLimitReport &Message) {
  auto &Body = *Envelope.mutable_server_limit();
  Body.set_server(Message.Server_.Value_);
  if (Message.RequestsPerSecond_)
    Body.set_per_second(*Message.RequestsPerSecond_);
}

void write(wire::Home &Envelope, const ServerTokenRequest &Message) {
  auto &Body = *Envelope.mutable_server_token_request();
  Body.set_ticket(Message.Ticket_);
  Body.set_server(Message.Server_.Value_);
}

void write(wire::Home &Envelope, const ServerTokenAnswer &Message) {
  auto &Body = *Envelope.mutable_server_token_answer();
  Body.set_ticket(Message.Ticket_);
  Body.set_retry_after_us(Message.RetryAfter_.count());
}

void write(wire::Home &Envelope, const TrialRequest &Message) {
  auto &Body = *Envelope.mutable_trial_request();
  Body.set_ticket(Message.Ticket_);
  Body.set_request(Message.Request_.Value_);
  writeFingerprint(Body, Message.Fingerprint_);
}

void write(wire::Home &Envelope, const TrialAnswer &Message) {
  auto &Body = *Envelope.mutable_trial_answer();
  Body.set_ticket(Message.Ticket_);
  Body.set_admission(static_cast<std::uint32_t>(Message.Admission_));
}

void write(wire::Home &Envelope, const TrialReport &Message) {
  auto &Body = *Envelope.mutable_trial_report();
  Body.set_request(Message.Request_.Value_);
  writeFingerprint(Body, Message.Fingerprint_);
  Body.set_outcome(static_cast<std::uint32_t>(Message.Outcome_));
  Body.set_server(Message.Server_.Value_);
}

HomeHeartbeat read(const wire::HomeHeartbeat &Body) {
  HomeHeartbeat Message;
  Message.Sequence_ = Body.sequence();
  Message.ConfigurationVersion_ = Body.configuration_version();
  Message.ServersVersion_ = {Body.servers_version(), Body.servers_era()};
  Message.StoreContact_ = readContact(Body);
  Message.Uptime_ = readTime(Body.uptime_us());
  Message.IsAttached_ = Body.is_attached();
  Message.Attachment_ = Body.attachment();
  Message.Utilisation_ = readUtilisation(Body);
  Message.CrashSuspects_ = readSuspects(Body);
  Message.RequestSuspects_ = readRequestSuspects(Body);
  Message.ServerLimits_ = readLimits(Body);
  Message.LeavingServers_ = readLeaving(Body);
  Message.Evacuation_ = readEvacuation(Body.evacuation());
  Message.ServerLoads_ = readLoadReports(Body);
  Message.IsCutOff_ = Body.is_cut_off();
  Message.IsLeaving_ = Body.is_leaving();
  for (const auto &Usage : Body.used())
    if (isAmount(Usage.tokens()))
      Message.TokenUsage_.push_back(
          {{Usage.organisation()}, Usage.tokens(), readTime(Usage.age_us())});
  for (const auto &Generation : Body.running())
    Message.RunningGenerations_.push_back({{Generation.request()},
                                           {Generation.organisation()},
                                           {Generation.service()},
                                           {Generation.decode()},
                                           Generation.prompt_tokens(),
                                           Generation.output_tokens(),
                                           Generation.length_hint(),
                                           readOrigin(Generation)});
  return Message;
}

HomeReply read(const wire::HomeReply &Body) {
  HomeReply Message;
  Message.Sequence_ = Body.sequence();
  Message.ConfigurationVersion_ = Body.configuration_version();
  Message.ServersVersion_ = {Body.servers_version(), Body.servers_era()};
  Message.StoreContact_ = readContact(Body);
  Message.IsLeaving_ = Body.is_leaving();
  for (const auto &Organisation : Body.exhausted())
    Message.ExhaustedOrganisations_.push_back({Organisation});
  Message.Utilisation_ = readUtilisation(Body);
  Message.CrashSuspects_ = readSuspects(Body);
  Message.RequestSuspects_ = readRequestSuspects(Body);
  Message.ServerLimits_ = readLimits(Body);
  Message.LeavingServers_ = readLeaving(Body);
  Message.Evacuation_ = readEvacuation(Body.evacuation());
  Message.ServerLoads_ = readLoadEstimates(Body);
  for (const auto &Each : Body.proxies())
    Message.Proxies_.push_back({Each});
  // An instance of an earlier release states no feeds: they count as unread.
  const int FeedCount =
      std::min(Body.feeds_size(), static_cast<int>(SharedTableCount));
  for (int I = 0; I != FeedCount; ++I) {
    const auto &Feed = Body.feeds(I);
    Message.Feeds_[static_cast<std::size_t>(I)] = {
        {Feed.version(), Feed.era()},
        {Feed.last_change(), Feed.era()},
        readTime(Feed.age_us()),
        Feed.is_store_available()};
  }
  return Message;
}

PlacementRequest read(const wire::HomeAsk &Body) {
  PlacementRequest Message;
  Message.Request_ = {Body.request()};
  Message.Organisation_ = {Body.organisation()};
  Message.Service_ = {Body.service()};
  Message.PromptTokens_ = Body.prompt_tokens();
  Message.MaxOutputTokens_ = Body.max_output_tokens();
  Message.LengthHint_ = Body.length_hint();
  Message.Priority_ = Body.priority();
  Message.TargetLeft_ = readTimeLeft(Body.target_left_us());
  Message.TimeLeft_ = readTimeLeft(Body.time_left_us());
  Message.PatienceLeft_ = readTimeLeft(Body.patience_left_us());
  Message.IsCharged_ = Body.is_charged();
  Message.NeedsPrefill_ = Body.needs_prefill();
  Message.OutputTokens_ = Body.output_tokens();
  for (const auto &Server : Body.avoid())
    Message.ExcludedEngines_.push_back({Server});
  Message.SharedSegments_ = readSegments(Body);
  Message.Fingerprint_ = readFingerprint(Body);
  Message.Regions_ = readRegions(Body);
  Message.RequiredSoftware_ = {Body.required_software()};
  Message.IsResumed_ = Body.is_resumed();
  Message.ResumedStream_ = {Body.resumed_stream()};
  return Message;
}

ChosenServer read(const wire::HomeServer &Body) {
  return {{Body.id()}, {Body.address()}};
}

PlacementGrant read(const wire::HomeGrant &Body) {
  PlacementGrant Message;
  Message.Request_ = {Body.request()};
  if (Body.has_prefill())
    Message.Prefill_ = read(Body.prefill());
  Message.Decode_ = read(Body.decode());
  Message.Software_ = {Body.software()};
  return Message;
}

std::optional<HomeMessage> read(const wire::HomeDenial &Body) {
  if (Body.reason() >= static_cast<std::uint32_t>(RefusalReasonCount))
    return std::nullopt;
  PlacementDenial Message;
  Message.Request_ = {Body.request()};
  Message.Reason_ = static_cast<RefusalReason>(Body.reason());
  if (Body.has_retry_after_us())
    Message.RetryAfter_ = readTime(Body.retry_after_us());
  return Message;
}

std::optional<HomeMessage> read(const wire::HomeStep &Body) {
  if (Body.step() > LastStep)
    return std::nullopt;
  return GenerationReport{
      {Body.request()},         static_cast<GenerationStep>(Body.step()),
      {Body.server()},          Body.tokens(),
      readTime(Body.took_us()), readSegments(Body),
      readFingerprint(Body),    readOrigin(Body)};
}

std::optional<SharedTableId> readTable(std::uint32_t Table) {
  if (Table >= SharedTableCount)
    return std::nullopt;
  return static_cast<SharedTableId>(Table);
}

std::optional<HomeMessage> read(const wire::HomeTableRequest &Body) {
  const auto Table = readTable(Body.table());
  if (!Table)
    return std::nullopt;
  return TableRequest{*Table, {Body.version(), Body.era()}};
}

std::optional<HomeMessage> read(const wire::HomeTableUpdate &Body) {
  const auto Table = readTable(Body.table());
  if (!Table)
    return std::nullopt;
  TableUpdate Message;
  Message.Table_ = *Table;
  if (Body.base_version() != 0)
    Message.BaseVersion_ = {Body.base_version(), Body.era()};
  Message.Version_ = {Body.version(), Body.era()};
  Message.IsNearOutage_ = Body.is_near_outage();
  for (const auto &Row : Body.rows())
    Message.Rows_.push_back(
        {Row.key(), Row.value(), {Row.version(), Body.era()}});
  return Message;
}

std::optional<HomeMessage> read(const wire::HomeServerLimit &Body) {
  if (Body.has_per_second() && !isAmount(Body.per_second()))
    return std::nullopt;
  ServerLimitReport Message;
  Message.Server_ = {Body.server()};
  if (Body.has_per_second())
    Message.RequestsPerSecond_ = Body.per_second();
  return Message;
}

ServerTokenRequest read(const wire::HomeServerTokenRequest &Body) {
  return {Body.ticket(), {Body.server()}};
}

ServerTokenAnswer read(const wire::HomeServerTokenAnswer &Body) {
  return {Body.ticket(), readTime(Body.retry_after_us())};
}

TrialRequest read(const wire::HomeTrialRequest &Body) {
  return {Body.ticket(), {Body.request()}, readFingerprint(Body)};
}

std::optional<HomeMessage> read(const wire::HomeTrialAnswer &Body) {
  if (Body.admission() > LastAdmission)
    return std::nullopt;
  return TrialAnswer{Body.ticket(),
                     static_cast<CrashAdmission>(Body.admission())};
}

std::optional<HomeMessage> read(const wire::HomeTrialReport &Body) {
  if (Body.outcome() > LastOutcome)
    return std::nullopt;
  return TrialReport{{Body.request()},
                     readFingerprint(Body),
                     static_cast<TrialOutcome>(Body.outcome()),
                     {Body.server()}};
}

} // namespace

std::string encodeHomeMessage(const HomeMessage &Message) {
  wire::Home Envelope;
  std::visit([&Envelope](const auto &Content) { write(Envelope, Content); },
             Message);
  return Envelope.SerializeAsString();
}

std::optional<HomeMessage> parseHomeMessage(std::string_view Bytes) {
  wire::Home Envelope;
  if (!Envelope.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size())))
    return std::nullopt;
  switch (Envelope.body_case()) {
  case wire::Home::kHeartbeat:
    return read(Envelope.heartbeat());
  case wire::Home::kReply:
    return read(Envelope.reply());
  case wire::Home::kAsk:
    return read(Envelope.ask());
  case wire::Home::kGrant:
    return read(Envelope.grant());
  case wire::Home::kDenial:
    return read(Envelope.denial());
  case wire::Home::kStep:
    return read(Envelope.step());
  case wire::Home::kConfigurationRequest:
    return ConfigurationRequest{Envelope.configuration_request()};
  case wire::Home::kConfiguration:
    return ConfigurationCopy{Envelope.configuration()};
  case wire::Home::kTableRequest:
    return read(Envelope.table_request());
  case wire::Home::kTableUpdate:
    return read(Envelope.table_update());
  case wire::Home::kServerLimit:
    return read(Envelope.server_limit());
  case wire::Home::kServerTokenRequest:
    return read(Envelope.server_token_request());
  case wire::Home::kServerTokenAnswer:
    return read(Envelope.server_token_answer());
  case wire::Home::kTrialRequest:
    return read(Envelope.trial_request());
  case wire::Home::kTrialAnswer:
    return read(Envelope.trial_answer());
  case wire::Home::kTrialReport:
    return read(Envelope.trial_report());
  case wire::Home::BODY_NOT_SET:
    break;
  }
  return std::nullopt;
}

} // namespace gooseberry

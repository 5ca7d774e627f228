#include "gooseberrybeam/peers/PlacementCodec.h"

#include <placement.pb.h>

#include <algorithm>
#include <limits>

namespace gooseberry {

namespace {

/// Prefix hashes sent at most; longer prompts share less beyond them.
constexpr std::size_t MaxPrefixes = 32;

Duration micros(std::uint64_t Value) {
  constexpr auto Most =
      static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
  return Duration(static_cast<Duration::rep>(std::min(Value, Most)));
}

void write(wire::Placement &To, const EnginePlacementRequest &From) {
  const GenerationSpec &Item = From.Spec_;
  auto &Ask = *To.mutable_ask();
  Ask.set_request(Item.Request_.Value_);
  Ask.set_organisation(Item.Organisation_.Value_);
  Ask.set_organisation_rate(static_cast<float>(Item.OrganisationRate_));
  Ask.set_first_token_us(Item.Targets_.FirstToken_.count());
  Ask.set_between_tokens_us(Item.Targets_.BetweenTokens_.count());
  Ask.set_may_wait(Item.Targets_.MayWait_);
  Ask.set_model(Item.Model_.Value_);
  Ask.set_prompt_tokens(Item.PromptTokens_);
  Ask.set_max_output_tokens(Item.MaxOutputTokens_);
  const std::size_t Count = std::min(MaxPrefixes, Item.PrefixHashes_.size());
  for (std::size_t I = 0; I < Count; ++I)
    Ask.add_prefixes(Item.PrefixHashes_[I]);
  Ask.set_age_us(From.Age_.count());
  Ask.set_time_left_us(From.TimeLeft_.count());
  Ask.set_is_placed(From.IsPlaced_);
  Ask.set_prefill(From.Prefill_.Value_);
  Ask.set_decode(From.Decode_.Value_);
}

void write(wire::Placement &To, const PlacementQueued &From) {
  To.set_queued(From.Request_.Value_);
}

void write(wire::Placement &To, const PlacementAssigned &From) {
  To.mutable_placed()->set_request(From.Request_.Value_);
  To.mutable_placed()->set_prefill(From.Prefill_.Value_);
  To.mutable_placed()->set_decode(From.Decode_.Value_);
}

void write(wire::Placement &To, const PlacementRefused &From) {
  To.mutable_refused()->set_request(From.Request_.Value_);
  To.mutable_refused()->set_reason(static_cast<std::uint32_t>(From.Reason_));
}

void write(wire::Placement &To, const PlacementCheck &From) {
  To.set_check(From.Request_.Value_);
}

void write(wire::Placement &To, const GenerationProgress &From) {
  auto &Step = *To.mutable_step();
  Step.set_request(From.Request_.Value_);
  Step.set_kind(static_cast<std::uint32_t>(From.Kind_));
  Step.set_tokens(From.Tokens_);
  Step.set_took_us(From.Elapsed_.count());
}

EnginePlacementRequest read(const wire::PlacementAsk &From) {
  EnginePlacementRequest To;
  GenerationSpec &Item = To.Spec_;
  Item.Request_.Value_ = From.request();
  Item.Organisation_.Value_ = From.organisation();
  Item.OrganisationRate_ = From.organisation_rate();
  Item.Targets_ = {micros(From.first_token_us()),
                   micros(From.between_tokens_us()), From.may_wait()};
  Item.Model_.Value_ = From.model();
  Item.PromptTokens_ = From.prompt_tokens();
  Item.MaxOutputTokens_ = From.max_output_tokens();
  Item.PrefixHashes_.assign(From.prefixes().begin(), From.prefixes().end());
  To.Age_ = Duration(From.age_us());
  To.TimeLeft_ = Duration(From.time_left_us());
  To.IsPlaced_ = From.is_placed();
  To.Prefill_.Value_ = From.prefill();
  To.Decode_.Value_ = From.decode();
  return To;
}

std::optional<PlacementMessage> read(const wire::PlacementRefusal &From) {
  if (From.reason() >= static_cast<std::uint32_t>(RefusalReasonCount))
    return std::nullopt;
  return PlacementRefused{{From.request()},
                          static_cast<RefusalReason>(From.reason())};
}

std::optional<PlacementMessage> read(const wire::PlacementStep &From) {
  if (From.kind() > static_cast<std::uint32_t>(ProgressKind::Cancelled))
    return std::nullopt;
  return GenerationProgress{{From.request()},
                            static_cast<ProgressKind>(From.kind()),
                            From.tokens(),
                            Duration(From.took_us())};
}

} // namespace

std::string encodePlacement(const PlacementMessage &Message) {
  wire::Placement Encoded;
  std::visit([&](const auto &Each) { write(Encoded, Each); }, Message);
  return Encoded.SerializeAsString();
}

std::optional<PlacementMessage> parsePlacement(std::string_view Bytes) {
  wire::Placement From;
  if (!From.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size())))
    return std::nullopt;
  switch (From.body_case()) {
  case wire::Placement::kAsk:
    return read(From.ask());
  case wire::Placement::kQueued:
    return PlacementQueued{{From.queued()}};
  case wire::Placement::kPlaced:
    return PlacementAssigned{{From.placed().request()},
                             {From.placed().prefill()},
                             {From.placed().decode()}};
  case wire::Placement::kRefused:
    return read(From.refused());
  case wire::Placement::kCheck:
    return PlacementCheck{{From.check()}};
  case wire::Placement::kStep:
    return read(From.step());
  case wire::Placement::BODY_NOT_SET:
    return std::nullopt;
  }
  return std::nullopt;
}

} // namespace gooseberry

#include "engine/EngineJson.h"

#include "http/JsonReader.h"

#include <boost/json/serialize.hpp>

#include <array>
#include <charconv>

namespace gooseberry {
namespace {

namespace json = boost::json;

json::string_view asJson(std::string_view Text) {
  return {Text.data(), Text.size()};
}

std::optional<ReportedRole> parseRole(std::string_view Text) {
  if (Text == "prefill")
    return ReportedRole::Prefill;
  if (Text == "decode")
    return ReportedRole::Decode;
  return std::nullopt;
}

std::optional<HoldingState> parseState(std::string_view Text) {
  if (Text == "prefilled")
    return HoldingState::Prefilled;
  if (Text == "importing")
    return HoldingState::Importing;
  if (Text == "decoding")
    return HoldingState::Decoding;
  return std::nullopt;
}

std::optional<std::uint64_t> parseHex(std::string_view Text) {
  constexpr int Base = 16;
  std::uint64_t Value = 0;
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Value, Base);
  if (Parsed.ec != std::errc() || Parsed.ptr != End)
    return std::nullopt;
  return Value;
}

template <typename T>
std::optional<T> checked(const JsonReader &Reader, T Value) {
  if (!Reader.isOk())
    return std::nullopt;
  return Value;
}

} // namespace

std::string writePrefill(const PrefillCall &Call, std::string_view Holder) {
  json::object Body;
  Body["request"] = Call.Request_.Value_;
  Body["holder"] = asJson(Holder);
  Body["model"] = Call.Model_.Value_;
  Body["prompt"] = asJson(Call.Prompt_);
  if (Call.GeneratedTokens_ > 0)
    Body["generated_tokens"] = Call.GeneratedTokens_;
  Body["priority"] = Call.Priority_;
  if (Call.Deadline_)
    Body["deadline_ms"] = wholeMilliseconds(*Call.Deadline_);
  return json::serialize(Body);
}

std::string writeDecode(const DecodeCall &Call, std::string_view Holder) {
  json::object Body;
  Body["request"] = Call.Request_.Value_;
  Body["holder"] = asJson(Holder);
  Body["model"] = Call.Model_.Value_;
  Body["source"] =
      json::object{{"address", Call.Source_.Value_}, {"kv", Call.Kv_}};
  Body["max_tokens"] = Call.MaxTokens_;
  Body["first_index"] = Call.FirstIndex_;
  Body["priority"] = Call.Priority_;
  return json::serialize(Body);
}

std::string writeCancel(const RequestId &Request, std::string_view Holder) {
  const json::object Body = {{"request", Request.Value_},
                             {"holder", asJson(Holder)}};
  return json::serialize(Body);
}

std::string writeRelease(std::string_view Kv, std::string_view Holder) {
  const json::object Body = {{"kv", asJson(Kv)}, {"holder", asJson(Holder)}};
  return json::serialize(Body);
}

std::string writeOrder(const EngineOrderCall &Order, std::string_view Holder) {
  json::object Body;
  Body["fence"] = Order.Fence_;
  Body["holder"] = asJson(Holder);
  Body["kind"] = Order.Kind_;
  if (!Order.ArgumentName_.empty())
    Body[Order.ArgumentName_] = Order.Argument_;
  return json::serialize(Body);
}

std::optional<PrefillDone> parsePrefill(std::string_view Text) {
  JsonReader Reader(Text);
  PrefillDone Done;
  Done.Kv_ = Reader.text("kv");
  Done.PromptTokens_ = Reader.count("prompt_tokens");
  Done.CachedTokens_ = Reader.count("cached_tokens");
  Done.Pieces_ = Reader.count("pieces");
  Done.Took_ = Reader.milliseconds("prefill_ms");
  return checked(Reader, std::move(Done));
}

std::optional<EngineFreed> parseFreed(std::string_view Text) {
  JsonReader Reader(Text);
  return checked(Reader, EngineFreed{Reader.count("freed_pieces")});
}

std::optional<EngineAccepted> parseAccepted(std::string_view Text) {
  JsonReader Reader(Text);
  return checked(Reader, EngineAccepted());
}

std::optional<std::vector<EngineHolding>> parseHoldings(std::string_view Text) {
  JsonReader Reader(Text);
  std::vector<EngineHolding> Holdings;
  for (const auto &Entry : Reader.list("holdings")) {
    JsonReader Item(Entry);
    EngineHolding Holding;
    Holding.Kv_ = Item.text("kv");
    Holding.Request_.Value_ = Item.text("request");
    Holding.Holder_ = Item.text("holder");
    Holding.Pieces_ = Item.count("pieces");
    Holding.Age_ = Item.milliseconds("age_ms");
    const auto State = parseState(Item.text("state"));
    if (!Item.isOk() || !State)
      return std::nullopt;
    Holding.State_ = *State;
    Holdings.push_back(std::move(Holding));
  }
  return checked(Reader, std::move(Holdings));
}

std::optional<EngineLoad> parseLoad(std::string_view Text) {
  JsonReader Reader(Text);
  EngineLoad Load;
  const auto Role = parseRole(Reader.text("role"));
  if (!Role)
    return std::nullopt;
  Load.Role_ = *Role;
  for (const auto &Entry : Reader.list("models"))
    if (const auto *Name = Entry.if_string())
      Load.Models_.push_back({std::string(Name->data(), Name->size())});
  if (Reader.has("version"))
    Load.Version_ = Reader.text("version");
  Load.PrefillQueueTokens_ = Reader.count("prefill_queue_tokens");
  Load.DecodeActive_ = Reader.count("decode_active");
  Load.DecodeSlots_ = Reader.count("decode_slots");
  Load.PiecesTotal_ = Reader.count("pieces_total");
  Load.PiecesUsed_ = Reader.count("pieces_used");
  Load.LinkQueuePieces_ = Reader.count("link_queue_pieces");
  Load.Step_ = Reader.milliseconds("step_ms");
  Load.Lag_ = Reader.milliseconds("lag_ms");
  return checked(Reader, std::move(Load));
}

std::optional<EngineCacheEvents> parseCacheEvents(std::string_view Text) {
  JsonReader Reader(Text);
  EngineCacheEvents Result;
  for (const auto &Entry : Reader.list("events")) {
    JsonReader Item(Entry);
    EngineCacheEvent Event;
    Event.Sequence_ = Item.number("seq");
    Event.IsStored_ = Item.text("kind") == "stored";
    const auto Prefix = parseHex(Item.text("prefix"));
    Event.Tokens_ = Item.count("tokens");
    if (!Item.isOk() || !Prefix)
      return std::nullopt;
    Event.Prefix_ = *Prefix;
    Result.Events_.push_back(Event);
  }
  Result.First_ = Reader.number("first");
  Result.Last_ = Reader.number("last");
  return checked(Reader, std::move(Result));
}

std::optional<DecodeEvent> parseDecodeEvent(std::string_view Line) {
  JsonReader Reader(Line);
  const std::string Event = Reader.text("event");
  if (Event == "token") {
    DecodeToken Token;
    Token.Index_ = Reader.count("index");
    Token.Text_ = Reader.text("text");
    return checked(Reader, DecodeEvent(std::move(Token)));
  }
  if (Event == "imported")
    return DecodeEvent(DecodeImported());
  if (Event == "done") {
    DecodeDone Done;
    Done.FinishReason_ = Reader.text("finish_reason");
    Done.CompletionTokens_ = Reader.count("completion_tokens");
    return checked(Reader, DecodeEvent(std::move(Done)));
  }
  if (Event != "error")
    return std::nullopt;
  const DecodeFailed Failed = {parseEngineFailure(Reader.text("error"))};
  return checked(Reader, DecodeEvent(Failed));
}

std::optional<EngineFailure> parseEngineError(std::string_view Text) {
  JsonReader Reader(Text);
  const EngineFailure Failure = parseEngineFailure(Reader.text("error"));
  return checked(Reader, Failure);
}

} // namespace gooseberry

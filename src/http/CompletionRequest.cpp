#include "gooseberrybeam/http/CompletionRequest.h"

#include <boost/json/parse.hpp>

#include <array>
#include <limits>

namespace gooseberry {
namespace {

namespace json = boost::json;

using Fault = std::optional<BodyFault>;

struct MemberRule {
  std::string_view Name_;
  bool (*IsOk_)(const json::value &);
  std::string_view Expected_;
};

bool isNumber(const json::value &Value) { return Value.is_number(); }

bool isOne(const json::value &Value) {
  return Value.is_int64() && Value.as_int64() == 1;
}

bool isBool(const json::value &Value) { return Value.is_bool(); }

bool isText(const json::value &Value) { return Value.is_string(); }

bool isObject(const json::value &Value) { return Value.is_object(); }

bool isPositive(const json::value &Value) {
  return Value.is_int64() && Value.as_int64() > 0 &&
         Value.as_int64() <= std::numeric_limits<std::int32_t>::max();
}

// Members that may be absent or null.
constexpr std::array<MemberRule, 12> Rules = {{
    {"max_tokens", &isPositive, "a positive integer"},
    {"max_completion_tokens", &isPositive, "a positive integer"},
    {"stream", &isBool, "a boolean"},
    {"stream_options", &isObject, "an object"},
    {"n", &isOne, "1"},
    {"best_of", &isOne, "1"},
    {"temperature", &isNumber, "a number"},
    {"top_p", &isNumber, "a number"},
    {"presence_penalty", &isNumber, "a number"},
    {"frequency_penalty", &isNumber, "a number"},
    {"seed", &isNumber, "a number"},
    {"user", &isText, "a string"},
}};

BodyFault makeFault(std::string_view Param, std::string_view Expected) {
  std::string Message = "'" + std::string(Param) + "' must be ";
  Message += Expected;
  Message += '.';
  return {std::string(Param), std::move(Message)};
}

const json::value *findMember(const json::object &Object,
                              std::string_view Name) {
  const auto *Found = Object.if_contains({Name.data(), Name.size()});
  return Found && !Found->is_null() ? Found : nullptr;
}

Fault checkMembers(const json::object &Object) {
  for (const auto &Rule : Rules)
    if (const auto *Found = findMember(Object, Rule.Name_))
      if (!Rule.IsOk_(*Found))
        return makeFault(Rule.Name_, Rule.Expected_);
  return std::nullopt;
}

void append(std::string &To, const json::string &Text) {
  To.append(Text.data(), Text.size());
}

Fault readPrompt(const json::object &Object, std::string &Prompt) {
  const BodyFault Wrong = makeFault("prompt", "a non-empty string");
  const auto *Found = findMember(Object, "prompt");
  if (!Found)
    return Wrong;
  const auto *List = Found->if_array();
  const json::value *Only = List && List->size() == 1 ? &List->front() : Found;
  const auto *Text = Only->if_string();
  if (!Text || Text->empty())
    return Wrong;
  append(Prompt, *Text);
  return std::nullopt;
}

bool appendParts(const json::array &Parts, std::string &To) {
  for (const auto &Part : Parts) {
    const auto *Object = Part.if_object();
    const auto *Text = Object ? Object->if_contains("text") : nullptr;
    if (!Text || !Text->is_string())
      return false;
    append(To, Text->get_string());
  }
  return true;
}

bool appendMessage(const json::value &Message, std::string &To) {
  const auto *Object = Message.if_object();
  const auto *Role = Object ? findMember(*Object, "role") : nullptr;
  const auto *Content = Object ? findMember(*Object, "content") : nullptr;
  if (!Role || !Role->is_string() || !Content)
    return false;
  append(To, Role->get_string());
  To += ": ";
  if (Content->is_string())
    append(To, Content->get_string());
  else if (!Content->is_array() || !appendParts(Content->get_array(), To))
    return false;
  To += '\n';
  return true;
}

Fault readMessages(const json::object &Object, std::string &Prompt) {
  const BodyFault Wrong =
      makeFault("messages", "a non-empty array of {role, content}");
  const auto *Found = findMember(Object, "messages");
  const auto *List = Found ? Found->if_array() : nullptr;
  if (!List || List->empty())
    return Wrong;
  for (const auto &Message : *List)
    if (!appendMessage(Message, Prompt))
      return Wrong;
  Prompt += "assistant: ";
  return std::nullopt;
}

void readOptions(const json::object &Object, CompletionRequest &Request) {
  for (const std::string_view Name : {"max_completion_tokens", "max_tokens"})
    if (const auto *Found = findMember(Object, Name))
      Request.MaxTokens_ = static_cast<std::uint32_t>(Found->get_int64());
  if (const auto *Found = findMember(Object, "stream"))
    Request.IsStream_ = Found->get_bool();
  const auto *Options = findMember(Object, "stream_options");
  const auto *Usage =
      Options ? findMember(Options->get_object(), "include_usage") : nullptr;
  Request.IncludesUsage_ = Usage && Usage->is_bool() && Usage->get_bool();
}

} // namespace

Result<CompletionRequest, BodyFault> parseCompletion(CompletionKind Kind,
                                                     std::string_view Body) {
  json::error_code Error;
  const json::value Value = json::parse({Body.data(), Body.size()}, Error);
  if (Error)
    return BodyFault{"", "The body is not valid JSON."};
  const auto *Object = Value.if_object();
  if (!Object)
    return BodyFault{"", "The body must be a JSON object."};
  CompletionRequest Request;
  Request.Kind_ = Kind;
  const auto *Model = findMember(*Object, "model");
  if (!Model || !Model->is_string())
    return makeFault("model", "a string");
  append(Request.Model_.Value_, Model->get_string());
  if (auto Found = checkMembers(*Object))
    return std::move(*Found);
  const auto Read = Kind == CompletionKind::Text ? &readPrompt : &readMessages;
  if (auto Found = Read(*Object, Request.Prompt_))
    return std::move(*Found);
  readOptions(*Object, Request);
  return Request;
}

} // namespace gooseberry

#include "gbload/AnswerCheck.h"

#include "common/JsonFields.h"
#include "common/Tokens.h"

#include <algorithm>

namespace gooseberry {
namespace {

namespace json = boost::json;

json::object childOf(const json::object &Object, std::string_view Name) {
  const auto *Field = Object.if_contains(Name);
  return Field != nullptr && Field->is_object() ? Field->get_object()
                                                : json::object();
}

json::object firstChoice(const json::object &Object) {
  const auto *Field = Object.if_contains("choices");
  if (Field == nullptr || !Field->is_array() || Field->get_array().empty())
    return {};
  const auto &First = Field->get_array().front();
  return First.is_object() ? First.get_object() : json::object();
}

} // namespace

StreamEvent parseStreamEvent(std::string_view Data) {
  const auto Object = parseObject(Data);
  const auto Choice = firstChoice(Object);
  return {textOf(Choice, "text"), textOf(Choice, "finish_reason"),
          textOf(childOf(Object, "error"), "code")};
}

void readRefusal(std::string_view Body, unsigned Status, Answer &Result) {
  const auto Error = childOf(parseObject(Body), "error");
  Result.End_ = AnswerEnd::Refused;
  Result.Code_ = textOf(Error, "code");
  Result.Execution_ = textOf(Error, "execution");
  if (!Result.Code_.empty())
    return;
  Result.End_ = AnswerEnd::Wrong;
  Result.Code_ = "untyped_error_" + std::to_string(Status);
}

void checkText(const Work &Sent, std::string_view Text,
               std::string_view FinishReason, Answer &Result) {
  const auto Natural = naturalLength(Sent.Prompt_);
  Result.Tokens_ = std::min(Natural, Sent.MaxTokens_);
  const auto *Reason = Natural <= Sent.MaxTokens_ ? "stop" : "length";
  Result.End_ = AnswerEnd::Wrong;
  if (Text != makeAnswer(Sent.Prompt_, 0, Result.Tokens_))
    Result.Code_ = "wrong_text";
  else if (FinishReason != Reason)
    Result.Code_ = "wrong_finish_reason";
  else
    Result.End_ = AnswerEnd::Right;
}

void checkCompletion(const Work &Sent, std::string_view Body, Answer &Result) {
  const auto Choice = firstChoice(parseObject(Body));
  checkText(Sent, textOf(Choice, "text"), textOf(Choice, "finish_reason"),
            Result);
}

} // namespace gooseberry

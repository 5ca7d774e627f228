#include "gooseberrybeam/http/CompletionRequest.h"
#include "gooseberrybeam/http/CompletionWriter.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <catch2/catch.hpp>

using namespace gooseberry;

namespace {

Result<CompletionRequest, BodyFault> parseText(std::string_view Body) {
  return parseCompletion(CompletionKind::Text, Body);
}

std::string paramOf(std::string_view Body) {
  const auto Parsed = parseText(Body);
  REQUIRE_FALSE(isOk(Parsed));
  return errorOf(Parsed).Param_;
}

boost::json::value eventOf(std::string_view Line) {
  constexpr std::string_view Head = "data: ";
  REQUIRE(Line.starts_with(Head));
  Line.remove_prefix(Head.size());
  return boost::json::parse({Line.data(), Line.size()});
}

} // namespace

TEST_CASE("The body of a completion is parsed", "[http]") {
  SECTION("with what it asks for") {
    const auto Parsed = parseText(
        R"({"model":"m","prompt":"p","max_tokens":7,"stream":true,
            "stream_options":{"include_usage":true},"temperature":0.5})");
    REQUIRE(isOk(Parsed));
    CHECK(valueOf(Parsed).Model_.Value_ == "m");
    CHECK(valueOf(Parsed).Prompt_ == "p");
    CHECK(valueOf(Parsed).MaxTokens_ == 7U);
    CHECK(valueOf(Parsed).IsStream_);
    CHECK(valueOf(Parsed).IncludesUsage_);
  }
  SECTION("a chat's messages become one prompt") {
    const auto Parsed = parseCompletion(
        CompletionKind::Chat,
        R"({"model":"m","messages":[{"role":"system","content":"s"},
            {"role":"user","content":[{"type":"text","text":"u"}]}]})");
    REQUIRE(isOk(Parsed));
    CHECK(valueOf(Parsed).Prompt_ == "system: s\nuser: u\nassistant: ");
  }
  SECTION("a fault names the member") {
    CHECK(paramOf("{") == "");
    CHECK(paramOf("[]") == "");
    CHECK(paramOf(R"({"prompt":"p"})") == "model");
    CHECK(paramOf(R"({"model":1,"prompt":"p"})") == "model");
    CHECK(paramOf(R"({"model":"m"})") == "prompt");
    CHECK(paramOf(R"({"model":"m","prompt":[1,2]})") == "prompt");
    CHECK(paramOf(R"({"model":"m","prompt":"p","max_tokens":0})") ==
          "max_tokens");
    CHECK(paramOf(R"({"model":"m","prompt":"p","max_tokens":"9"})") ==
          "max_tokens");
    CHECK(paramOf(R"({"model":"m","prompt":"p","stream":1})") == "stream");
    CHECK(paramOf(R"({"model":"m","prompt":"p","n":2})") == "n");
  }
}

TEST_CASE("An answer is written", "[http]") {
  CompletionRequest Request;
  Request.Model_.Value_ = "m";
  Request.IncludesUsage_ = true;
  const RequestId Id = {"r1"};

  SECTION("whole") {
    const CompletionWriter Writer(Request, Id, 1);
    const auto Body =
        boost::json::parse(Writer.whole("a \"b\"", "stop", {3, 2}));
    CHECK(Body.at("choices").at(0).at("text") == "a \"b\"");
    CHECK(Body.at("usage").at("total_tokens") == 5);
  }
  SECTION("as events that end in [DONE]") {
    const CompletionWriter Writer(Request, Id, 1);
    std::string Token;
    Writer.appendToken(Token, "line\nbreak");
    // One event is one line: a break in the text must not end it.
    CHECK(Token.find('\n') == Token.size() - 2);
    CHECK(eventOf(Token).at("choices").at(0).at("text") == "line\nbreak");
    std::string Closing;
    Writer.appendClosing(Closing, "length", {3, 2});
    CHECK(Closing.ends_with("\n\ndata: [DONE]\n\n"));
  }
  SECTION("as events of a chat") {
    Request.Kind_ = CompletionKind::Chat;
    const CompletionWriter Writer(Request, Id, 1);
    std::string Opening;
    Writer.appendOpening(Opening);
    CHECK(eventOf(Opening).at("choices").at(0).at("delta").at("role") ==
          "assistant");
    std::string Token;
    Writer.appendToken(Token, "t");
    CHECK(eventOf(Token).at("object") == "chat.completion.chunk");
  }
  SECTION("an error in mid-stream is not followed by [DONE]") {
    std::string Out;
    appendErrorEvent(
        Out, {{RefusalReason::BackendFailed, Execution::Unknown, {}}, "", ""});
    CHECK(eventOf(Out).at("error").at("execution") == "unknown");
    CHECK(Out.find("[DONE]") == std::string::npos);
  }
}

TEST_CASE("Every refusal is an error object with its own code", "[http]") {
  for (int I = 0; I != RefusalReasonCount; ++I) {
    const auto Reason = static_cast<RefusalReason>(I);
    const auto Body = boost::json::parse(
        writeErrorBody({{Reason, Execution::NotRun, {}}, "", "member"}));
    const auto &Error = Body.at("error");
    CHECK(std::string_view(Error.at("code").as_string()) == asCode(Reason));
    CHECK(Error.at("execution") == "not_run");
    CHECK(Error.at("param") == "member");
    CHECK_FALSE(Error.at("message").as_string().empty());
  }
}

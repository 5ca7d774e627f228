#include "gooseberrybeam/http/CompletionWriter.h"

#include <boost/json/serialize.hpp>
#include <boost/json/string.hpp>
#include <boost/json/value.hpp>

namespace gooseberry {
namespace {

std::string quote(std::string_view Text) {
  return boost::json::serialize(
      boost::json::string_view(Text.data(), Text.size()));
}

std::string makeHead(std::string_view Prefix, std::string_view Id,
                     std::string_view Object, std::int64_t Created,
                     std::string_view Model) {
  std::string Head = "{\"id\":";
  Head += quote(std::string(Prefix) + std::string(Id));
  Head += ",\"object\":";
  Head += quote(Object);
  Head += ",\"created\":" + std::to_string(Created);
  Head += ",\"model\":" + quote(Model);
  Head += ",\"choices\":[";
  return Head;
}

std::string writeUsage(const CompletionUsage &Usage) {
  const std::uint32_t Total = Usage.PromptTokens_ + Usage.CompletionTokens_;
  return "\"usage\":{\"prompt_tokens\":" + std::to_string(Usage.PromptTokens_) +
         ",\"completion_tokens\":" + std::to_string(Usage.CompletionTokens_) +
         ",\"total_tokens\":" + std::to_string(Total) + "}";
}

} // namespace

CompletionWriter::CompletionWriter(const CompletionRequest &Request,
                                   const RequestId &Id,
                                   std::int64_t CreatedUnixSeconds)
    : Kind_(Request.Kind_), IncludesUsage_(Request.IncludesUsage_) {
  const bool IsChat = Kind_ == CompletionKind::Chat;
  const std::string_view Prefix = IsChat ? "chatcmpl-" : "cmpl-";
  const std::string_view Chunk =
      IsChat ? "chat.completion.chunk" : "text_completion";
  const std::string_view Whole = IsChat ? "chat.completion" : "text_completion";
  ChunkHead_ = "data: " + makeHead(Prefix, Id.Value_, Chunk, CreatedUnixSeconds,
                                   Request.Model_.Value_);
  WholeHead_ = makeHead(Prefix, Id.Value_, Whole, CreatedUnixSeconds,
                        Request.Model_.Value_);
}

void CompletionWriter::appendOpening(std::string &Out) const {
  if (Kind_ == CompletionKind::Text)
    return;
  Out += ChunkHead_;
  Out += R"({"index":0,"delta":{"role":"assistant","content":""},)"
         R"("finish_reason":null}]})";
  Out += "\n\n";
}

void CompletionWriter::appendToken(std::string &Out,
                                   std::string_view Text) const {
  const bool IsChat = Kind_ == CompletionKind::Chat;
  Out += ChunkHead_;
  Out += IsChat ? R"({"index":0,"delta":{"content":)" : R"({"index":0,"text":)";
  Out += quote(Text);
  Out += IsChat ? "}" : "";
  Out += ",\"finish_reason\":null}]}\n\n";
}

void CompletionWriter::appendClosing(std::string &Out,
                                     std::string_view FinishReason,
                                     const CompletionUsage &Usage) const {
  Out += ChunkHead_;
  Out += Kind_ == CompletionKind::Chat ? R"({"index":0,"delta":{},)"
                                       : R"({"index":0,"text":"",)";
  Out += "\"finish_reason\":" + quote(FinishReason) + "}]}\n\n";
  if (IncludesUsage_)
    Out += ChunkHead_ + "]," + writeUsage(Usage) + "}\n\n";
  Out += "data: [DONE]\n\n";
}

std::string CompletionWriter::whole(std::string_view Text,
                                    std::string_view FinishReason,
                                    const CompletionUsage &Usage) const {
  std::string Body = WholeHead_;
  Body += Kind_ == CompletionKind::Chat
              ? R"({"index":0,"message":{"role":"assistant","content":)" +
                    quote(Text) + "}"
              : R"({"index":0,"text":)" + quote(Text);
  Body += ",\"logprobs\":null,\"finish_reason\":" + quote(FinishReason);
  Body += "}]," + writeUsage(Usage) + "}";
  return Body;
}

void appendErrorEvent(std::string &Out, const CallerError &Error) {
  Out += "data: ";
  Out += writeErrorBody(Error);
  Out += "\n\n";
}

} // namespace gooseberry

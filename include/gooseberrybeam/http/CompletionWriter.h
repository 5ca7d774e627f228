/// \file
/// Answers of the completion interfaces, whole and as server-sent events.
#ifndef GOOSEBERRYBEAM_HTTP_COMPLETIONWRITER_H
#define GOOSEBERRYBEAM_HTTP_COMPLETIONWRITER_H

#include "gooseberrybeam/base/Ids.h"
#include "gooseberrybeam/http/CompletionRequest.h"
#include "gooseberrybeam/http/ErrorBody.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace gooseberry {

/// Tokens that an answer is charged for.
struct CompletionUsage {
  std::uint32_t PromptTokens_ = 0;
  std::uint32_t CompletionTokens_ = 0;
};

/// Writes the answer to one request.
class CompletionWriter {
public:
  /// \param Request the request.
  /// \param Id the request's id.
  /// \param CreatedUnixSeconds the time of the answer.
  CompletionWriter(const CompletionRequest &Request, const RequestId &Id,
                   std::int64_t CreatedUnixSeconds);

  /// Appends the event that opens a stream; nothing for plain completions.
  /// \param Out takes the event.
  void appendOpening(std::string &Out) const;

  /// Appends the event of one token.
  /// \param Out takes the event.
  /// \param Text the token's text.
  void appendToken(std::string &Out, std::string_view Text) const;

  /// Appends the events that close a complete stream.
  /// \param Out takes the events.
  /// \param FinishReason why the model stopped.
  /// \param Usage token counts, written if the caller asked for them.
  void appendClosing(std::string &Out, std::string_view FinishReason,
                     const CompletionUsage &Usage) const;

  /// \param Text the whole answer.
  /// \param FinishReason why the model stopped.
  /// \param Usage token counts.
  /// \returns the body of an answer that is not a stream.
  std::string whole(std::string_view Text, std::string_view FinishReason,
                    const CompletionUsage &Usage) const;

private:
  CompletionKind Kind_;
  bool IncludesUsage_;
  std::string ChunkHead_; ///< An event up to its `choices`.
  std::string WholeHead_;
};

/// Appends the event of an error in mid-stream. No `[DONE]` follows, so that a
/// broken answer is not taken for a complete one.
/// \param Out takes the event.
/// \param Error the error.
void appendErrorEvent(std::string &Out, const CallerError &Error);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_HTTP_COMPLETIONWRITER_H

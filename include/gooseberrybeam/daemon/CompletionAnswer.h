/// \file
/// Relays the tokens of one generation to its caller.
#ifndef GOOSEBERRYBEAM_DAEMON_COMPLETIONANSWER_H
#define GOOSEBERRYBEAM_DAEMON_COMPLETIONANSWER_H

#include "gooseberrybeam/http/CallerExchange.h"
#include "gooseberrybeam/http/CompletionWriter.h"

#include <string>
#include <string_view>

namespace gooseberry {

/// Writes a stream of events as tokens arrive, or one body at the end.
class CompletionAnswer {
public:
  /// \param Exchange the request; outlives the answer.
  /// \param Request what the caller asked for; outlives the answer.
  CompletionAnswer(CallerExchange &Exchange, const CompletionRequest &Request);

  /// Takes a token; nothing is written yet.
  /// \param Text the token's text.
  void add(std::string_view Text);

  /// Writes what has been added, if the caller wants a stream.
  /// \returns whether the caller took it.
  Task<bool> flush();

  /// Ends a complete answer.
  /// \param Text the whole answer.
  /// \param FinishReason why the model stopped.
  /// \param Usage token counts.
  /// \returns whether the caller took it.
  Task<bool> finish(std::string_view Text, std::string_view FinishReason,
                    CompletionUsage Usage);

  /// Ends an answer that cannot be completed.
  /// \param Error what the caller is told.
  /// \returns whether the caller took it.
  Task<bool> fail(const CallerError &Error);

private:
  Task<bool> begin();

  CallerExchange &Exchange_;
  bool IsStream_;
  CompletionWriter Writer_;
  std::string Pending_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_DAEMON_COMPLETIONANSWER_H

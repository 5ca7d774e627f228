/// \file
/// Structured log lines with a fixed prefix for each part.
#ifndef GOOSEBERRYBEAM_LOG_LOG_H
#define GOOSEBERRYBEAM_LOG_LOG_H

#include <cstdint>
#include <initializer_list>
#include <string_view>

namespace gooseberry {

/// The part that a line is about.
enum class LogPart : std::uint8_t {
  Daemon,
  Http,
  Engine,
  Service,
  Config,
  Membership,
  Limits,
  Leases,
  Peers,
  Operator,
  Table,
  Routing,
};

/// Severity of a line.
enum class LogLevel : std::uint8_t { Debug, Info, Warn, Error };

/// One field of a line. Values are never keys of callers and never prompts.
struct LogField {
  std::string_view Name_;
  std::string_view Value_;
};

/// Starts logging to standard output. Lines beyond a bounded rate, or without
/// room in a pipe, are dropped and counted; logging never waits.
/// \param Level `debug`, `info`, `warn` or `error`.
void startLog(std::string_view Level);

/// \param Level a level.
/// \returns whether lines of that level are written.
bool isLogged(LogLevel Level);

/// Writes one line: the part's prefix, a short sentence and a JSON object.
/// \param Part the part.
/// \param Level the severity.
/// \param Sentence a short sentence.
/// \param Fields the fields of the object.
void logLine(LogPart Part, LogLevel Level, std::string_view Sentence,
             std::initializer_list<LogField> Fields);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_LOG_LOG_H

#include "gooseberrybeam/log/Log.h"

#include "log/LineAppender.h"

#include <boost/json/serialize.hpp>
#include <boost/json/string_view.hpp>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

#include <array>
#include <string>

namespace gooseberry {
namespace {

constexpr std::array<std::string_view, 12> Prefixes = {
    "daemon: ", "http: ",       "engine: ", "service: ",
    "config: ", "membership: ", "limits: ", "leases: ",
    "peers: ",  "operator: ",   "table: ",  "routing: "};

log4cxx::LoggerPtr logger() {
  static const log4cxx::LoggerPtr Root =
      log4cxx::Logger::getLogger("gooseberry");
  return Root;
}

log4cxx::LevelPtr asLevel(LogLevel Level) {
  if (Level == LogLevel::Debug)
    return log4cxx::Level::getDebug();
  if (Level == LogLevel::Info)
    return log4cxx::Level::getInfo();
  return Level == LogLevel::Warn ? log4cxx::Level::getWarn()
                                 : log4cxx::Level::getError();
}

std::string quote(std::string_view Text) {
  return boost::json::serialize(
      boost::json::string_view(Text.data(), Text.size()));
}

} // namespace

void startLog(std::string_view Level) {
  const auto Layout =
      std::make_shared<log4cxx::PatternLayout>("%d{ISO8601} %p %m%n");
  const auto Appender = std::make_shared<log4cxx::LineAppender>(Layout);
  log4cxx::BasicConfigurator::configure(Appender);
  logger()->setLevel(
      log4cxx::Level::toLevel(std::string(Level), log4cxx::Level::getInfo()));
}

bool isLogged(LogLevel Level) { return logger()->isEnabledFor(asLevel(Level)); }

void logLine(LogPart Part, LogLevel Level, std::string_view Sentence,
             std::initializer_list<LogField> Fields) {
  if (!isLogged(Level))
    return;
  std::string Line(Prefixes[static_cast<std::size_t>(Part)]);
  Line += Sentence;
  std::string_view Separator = " {";
  for (const auto &Field : Fields) {
    Line += Separator;
    Line += quote(Field.Name_) + ":" + quote(Field.Value_);
    Separator = ",";
  }
  if (Fields.size() > 0)
    Line += '}';
  logger()->forcedLog(asLevel(Level), Line);
}

} // namespace gooseberry

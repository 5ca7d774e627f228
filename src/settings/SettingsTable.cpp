#include "settings/SettingsTable.h"

#include "gooseberrybeam/http/Endpoint.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace gooseberry {
namespace {

constexpr std::size_t MaxName = 63;
constexpr std::int64_t MaxMilliseconds = 24LL * 3600 * 1000;
constexpr std::uint32_t MaxThreads = 256;
constexpr std::uint32_t MinHeaderBytes = 1024;

constexpr std::string_view AddressForm = "ip:port";
constexpr std::string_view TimeForm = "milliseconds from 1 to 86400000";
constexpr std::string_view NameForm =
    "1 to 63 letters, digits, '-', '_' or '.'";

template <typename T>
bool parseNumber(std::string_view Text, T Least, T Most, T &Into) {
  T Value = 0;
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Value);
  if (Parsed.ec != std::errc() || Parsed.ptr != End)
    return false;
  if (Value < Least || Value > Most)
    return false;
  Into = Value;
  return true;
}

bool isNameChar(char Char) {
  return (Char >= 'a' && Char <= 'z') || (Char >= 'A' && Char <= 'Z') ||
         (Char >= '0' && Char <= '9') || Char == '-' || Char == '_' ||
         Char == '.';
}

bool isName(std::string_view Text) {
  return !Text.empty() && Text.size() <= MaxName &&
         std::all_of(Text.begin(), Text.end(), &isNameChar);
}

template <std::string Settings::*Member>
bool parseAddress(std::string_view Text, Settings &Into) {
  Into.*Member = std::string(Text);
  return parseEndpoint(Text).has_value();
}

template <std::string Settings::*Member>
bool parseText(std::string_view Text, Settings &Into) {
  Into.*Member = std::string(Text);
  return !Text.empty();
}

bool parseMilliseconds(std::string_view Text, Duration &Into) {
  std::int64_t Value = 0;
  const bool IsOk = parseNumber<std::int64_t>(Text, 1, MaxMilliseconds, Value);
  Into = std::chrono::milliseconds(Value);
  return IsOk;
}

template <Duration Settings::*Member>
bool parseTime(std::string_view Text, Settings &Into) {
  return parseMilliseconds(Text, Into.*Member);
}

template <Duration CallerLimits::*Member>
bool parseCallerTime(std::string_view Text, Settings &Into) {
  return parseMilliseconds(Text, Into.Caller_.*Member);
}

bool parseName(std::string_view Text, Settings &Into) {
  Into.Name_.Value_ = std::string(Text);
  return isName(Text);
}

bool parseDataCentre(std::string_view Text, Settings &Into) {
  Into.DataCentre_.Value_ = std::string(Text);
  return isName(Text);
}

bool parsePeers(std::string_view Text, Settings &Into) {
  Into.Peers_.clear();
  while (!Text.empty()) {
    const std::size_t Comma = Text.find(',');
    const std::string_view Item = Text.substr(0, Comma);
    if (!parseEndpoint(Item))
      return false;
    Into.Peers_.emplace_back(Item);
    Text = Comma == std::string_view::npos ? "" : Text.substr(Comma + 1);
  }
  return true;
}

bool parseThreads(std::string_view Text, Settings &Into) {
  return parseNumber<std::uint32_t>(Text, 1, MaxThreads, Into.Threads_);
}

bool parseHeaderBytes(std::string_view Text, Settings &Into) {
  return parseNumber<std::uint32_t>(Text, MinHeaderBytes, 1 << 20,
                                    Into.Caller_.MaxHeaderBytes_);
}

bool parseBodyBytes(std::string_view Text, Settings &Into) {
  return parseNumber<std::uint64_t>(Text, 1, std::uint64_t{1} << 30,
                                    Into.Caller_.MaxBodyBytes_);
}

bool parseLevel(std::string_view Text, Settings &Into) {
  constexpr std::array<std::string_view, 4> Levels = {"debug", "info", "warn",
                                                      "error"};
  Into.LogLevel_ = std::string(Text);
  return std::find(Levels.begin(), Levels.end(), Text) != Levels.end();
}

constexpr SettingRule Rules[] = {
    {"listen", &parseAddress<&Settings::Listen_>, AddressForm,
     "address for callers"},
    {"peer-listen", &parseAddress<&Settings::PeerListen_>, AddressForm,
     "address for peers"},
    {"operator-listen", &parseAddress<&Settings::OperatorListen_>, AddressForm,
     "address for operators"},
    {"data-centre", &parseDataCentre, NameForm, "data centre of this instance"},
    {"name", &parseName, NameForm, "name of this instance (required)"},
    {"table", &parseAddress<&Settings::Table_>, AddressForm,
     "address of the table service (required)"},
    {"peers", &parsePeers, "ip:port[,ip:port]...",
     "peer addresses of some other instances"},
    {"operator-key-file", &parseText<&Settings::OperatorKeyFile_>,
     "the name of a readable, non-empty file", "file with the operators' key"},
    {"operator-key", &parseText<&Settings::OperatorKey_>, "a non-empty key",
     "the operators' key; prefer the file or the environment", true},
    {"peer-key-file", &parseText<&Settings::PeerKeyFile_>,
     "the name of a readable, non-empty file", "file with the peers' key"},
    {"peer-key", &parseText<&Settings::PeerKey_>, "a non-empty key",
     "the peers' key; prefer the file or the environment", true},
    {"threads", &parseThreads, "a number from 1 to 256", "worker threads"},
    {"max-header-bytes", &parseHeaderBytes, "a number from 1024 to 1048576",
     "largest head of a request"},
    {"max-body-bytes", &parseBodyBytes, "a number from 1 to 1073741824",
     "largest body of a request"},
    {"header-timeout-ms", &parseCallerTime<&CallerLimits::HeaderTimeout_>,
     TimeForm, "time for a request's head"},
    {"body-timeout-ms", &parseCallerTime<&CallerLimits::BodyTimeout_>, TimeForm,
     "time for a request's body"},
    {"keep-alive-ms", &parseCallerTime<&CallerLimits::KeepAlive_>, TimeForm,
     "time a caller's connection may be idle"},
    {"write-timeout-ms", &parseCallerTime<&CallerLimits::WriteTimeout_>,
     TimeForm, "time for a caller to take bytes"},
    {"default-deadline-ms", &parseCallerTime<&CallerLimits::DefaultDeadline_>,
     TimeForm, "deadline of requests that name none"},
    {"prefill-timeout-ms", &parseTime<&Settings::PrefillTimeout_>, TimeForm,
     "time for an engine to answer a prefill"},
    {"token-timeout-ms", &parseTime<&Settings::TokenTimeout_>, TimeForm,
     "time for a decode stream to bring a byte"},
    {"service-timeout-ms", &parseTime<&Settings::ServiceTimeout_>, TimeForm,
     "time for a plain service to bring a byte"},
    {"table-timeout-ms", &parseTime<&Settings::TableTimeout_>, TimeForm,
     "time for the table service to answer"},
    {"load-poll-ms", &parseTime<&Settings::LoadPoll_>, TimeForm,
     "interval of reads of each engine's load"},
    {"list-poll-ms", &parseTime<&Settings::ListPoll_>, TimeForm,
     "interval of reads of the platform's list"},
    {"drain-notice-ms", &parseTime<&Settings::DrainNotice_>, TimeForm,
     "time from readiness off to refusing new requests"},
    {"drain-deadline-ms", &parseTime<&Settings::DrainDeadline_>, TimeForm,
     "time after which a drain ends what is left"},
    {"log-level", &parseLevel, "debug, info, warn or error",
     "least severe level that is logged"},
};

} // namespace

std::span<const SettingRule> settingRules() { return Rules; }

} // namespace gooseberry

/// \file
/// Settings of a daemon.
#ifndef GOOSEBERRYBEAM_SETTINGS_SETTINGS_H
#define GOOSEBERRYBEAM_SETTINGS_SETTINGS_H

#include "gooseberrybeam/base/Ids.h"
#include "gooseberrybeam/base/Time.h"
#include "gooseberrybeam/http/CallerLimits.h"

#include <cstdint>
#include <string>
#include <vector>

namespace gooseberry {

/// What the command line asks for besides the settings.
enum class SettingsMode : std::uint8_t { Run, Check, Help, Version };

/// Settings from flags and environment variables.
struct Settings {
  SettingsMode Mode_ = SettingsMode::Run;
  std::string Listen_ = "127.0.0.1:8080";         ///< Callers, `ip:port`.
  std::string PeerListen_ = "127.0.0.1:8081";     ///< Peers, `ip:port`.
  std::string OperatorListen_ = "127.0.0.1:8082"; ///< Operators, `ip:port`.
  DataCentreId DataCentre_{"default"};
  InstanceId Name_;
  std::string Table_; ///< The table service, `ip:port`.
  std::vector<std::string> Peers_;
  std::string OperatorKeyFile_;
  std::string OperatorKey_;
  std::string PeerKeyFile_;
  std::string PeerKey_;
  std::uint32_t Threads_ = 2;
  CallerLimits Caller_;
  Duration PrefillTimeout_ = std::chrono::seconds(20);
  Duration TokenTimeout_ = std::chrono::seconds(3);
  Duration ServiceTimeout_ = std::chrono::seconds(5);
  Duration TableTimeout_ = std::chrono::milliseconds(800);
  Duration LoadPoll_ = std::chrono::milliseconds(50);
  Duration ListPoll_ = std::chrono::milliseconds(500);
  Duration DrainNotice_ = std::chrono::seconds(1);
  Duration DrainDeadline_ = std::chrono::seconds(60);
  std::string LogLevel_ = "info";
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_SETTINGS_SETTINGS_H

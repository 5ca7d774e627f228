#include "gbsoak/RelayProcess.h"

#include "standin_platform/PlatformTexts.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>

#include <array>
#include <fstream>

namespace gooseberry {
namespace {

constexpr int LogMode = 0644;

std::string at(std::uint16_t Port) {
  return "127.0.0.1:" + std::to_string(Port);
}

std::string describeEnd(int Status) {
  if (WIFSIGNALED(Status))
    return "signal " + std::to_string(WTERMSIG(Status));
  return "status " + std::to_string(WEXITSTATUS(Status));
}

} // namespace

RelayProcess::RelayProcess(RelayPlace Place) : Place_(std::move(Place)) {
  writeSettings();
}

RelayProcess::~RelayProcess() {
  if (hasEnded())
    return;
  ::kill(Process_, SIGKILL);
  ::waitpid(Process_, nullptr, 0);
}

std::string RelayProcess::callers() const { return at(Place_.Port_); }

std::string RelayProcess::readiness() const {
  return at(static_cast<std::uint16_t>(Place_.Port_ + 1));
}

void RelayProcess::writeSettings() const {
  NodePlace Node;
  Node.Name_ = Place_.Name_;
  Node.Callers_ = callers();
  Node.Readiness_ = readiness();
  Node.Store_ = Place_.Store_;
  Node.FirstInnerPort_ = Place_.Port_ + 2;
  Node.LastInnerPort_ = Node.FirstInnerPort_ + 7;
  std::ofstream File(Place_.Folder_ + "/" + Place_.Name_ + ".json");
  File << writeNodeSettings(Node);
}

void RelayProcess::start() {
  const std::string Base = Place_.Folder_ + "/" + Place_.Name_;
  const std::string Log = Base + ".log";
  const std::string Variable = "GOOSEBERRYBEAM_SETTINGS=" + Base + ".json";
  std::array<char *, 2> Words = {Place_.Program_.data(), nullptr};
  std::array<char *, 2> Environment = {const_cast<char *>(Variable.c_str()),
                                       nullptr};
  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  posix_spawn_file_actions_addopen(&Actions, STDOUT_FILENO, Log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, LogMode);
  posix_spawn_file_actions_adddup2(&Actions, STDOUT_FILENO, STDERR_FILENO);
  const int Error = ::posix_spawn(&Process_, Place_.Program_.c_str(), &Actions,
                                  nullptr, Words.data(), Environment.data());
  posix_spawn_file_actions_destroy(&Actions);
  if (Error != 0) {
    Process_ = -1;
    Failure_ = "not started";
  }
}

void RelayProcess::signal(int Number) {
  if (!hasEnded())
    ::kill(Process_, Number);
}

bool RelayProcess::hasEnded() {
  if (Process_ < 0)
    return true;
  int Status = 0;
  if (::waitpid(Process_, &Status, WNOHANG) != Process_)
    return false;
  const bool IsKilled = WIFSIGNALED(Status) && WTERMSIG(Status) == SIGKILL;
  const bool IsClean = WIFEXITED(Status) && WEXITSTATUS(Status) == 0;
  if (!IsKilled && !IsClean)
    Failure_ = describeEnd(Status);
  Process_ = -1;
  return true;
}

} // namespace gooseberry

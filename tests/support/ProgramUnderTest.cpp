#include "support/ProgramUnderTest.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <filesystem>
#include <thread>

namespace gooseberry {
namespace {

using std::chrono::steady_clock;

constexpr auto Patience = std::chrono::seconds(60);
constexpr auto PollInterval = std::chrono::milliseconds(2);
constexpr auto SignalInterval = std::chrono::microseconds(200);
constexpr mode_t PipeMode = 0600;

std::vector<char *> pointersTo(std::vector<std::string> &Texts) {
  std::vector<char *> Pointers;
  Pointers.reserve(Texts.size() + 1);
  for (std::string &Each : Texts)
    Pointers.push_back(Each.data());
  Pointers.push_back(nullptr);
  return Pointers;
}

} // namespace

ProgramUnderTest::ProgramUnderTest(std::string Program,
                                   std::vector<std::string> Words,
                                   std::vector<std::string> Environment)
    : Program_(std::move(Program)), Words_(std::move(Words)),
      Environment_(std::move(Environment)) {
  std::string Template =
      (std::filesystem::temp_directory_path() / "gooseberry-XXXXXX").string();
  if (::mkdtemp(Template.data()))
    Folder_ = Template;
  Pipe_ = Folder_ + "/settings";
  ::mkfifo(Pipe_.c_str(), PipeMode);
}

ProgramUnderTest::~ProgramUnderTest() {
  if (PipeEnd_ >= 0)
    ::close(PipeEnd_);
  if (Process_ > 0 && !hasEnded()) {
    ::kill(Process_, SIGKILL);
    ::waitpid(Process_, nullptr, 0);
  }
  std::error_code Ignored;
  std::filesystem::remove_all(Folder_, Ignored);
}

std::string ProgramUnderTest::withPipe(std::string Text) const {
  constexpr std::string_view Mark = "PIPE";
  const std::size_t At = Text.find(Mark);
  return At == std::string::npos ? Text : Text.replace(At, Mark.size(), Pipe_);
}

void ProgramUnderTest::start(bool AreSignalsHeld) {
  std::vector<std::string> Words = {Program_};
  for (const std::string &Each : Words_)
    Words.push_back(withPipe(Each));
  std::vector<std::string> Variables;
  for (const std::string &Each : Environment_)
    Variables.push_back(withPipe(Each));
  sigset_t Held;
  sigemptyset(&Held);
  for (const int Number : {SIGHUP, SIGINT, SIGTERM})
    if (AreSignalsHeld)
      sigaddset(&Held, Number);
  posix_spawnattr_t Attributes;
  posix_spawnattr_init(&Attributes);
  posix_spawnattr_setflags(&Attributes, POSIX_SPAWN_SETSIGMASK);
  posix_spawnattr_setsigmask(&Attributes, &Held);
  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  posix_spawn_file_actions_addopen(&Actions, STDOUT_FILENO, "/dev/null",
                                   O_WRONLY, 0);
  if (::posix_spawn(&Process_, Program_.c_str(), &Actions, &Attributes,
                    pointersTo(Words).data(),
                    pointersTo(Variables).data()) != 0)
    Process_ = -1;
  posix_spawn_file_actions_destroy(&Actions);
  posix_spawnattr_destroy(&Attributes);
}

bool ProgramUnderTest::waitUntilReading() {
  const auto End = steady_clock::now() + Patience;
  while (steady_clock::now() < End && !hasEnded()) {
    // Fails as long as there is no reader.
    PipeEnd_ = ::open(Pipe_.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
    if (PipeEnd_ >= 0)
      return true;
    std::this_thread::sleep_for(PollInterval);
  }
  return false;
}

void ProgramUnderTest::writeSettings(const std::string &Text) {
  // Fits into a pipe's buffer; has no reader if the process has ended.
  void (*const Previous)(int) = ::signal(SIGPIPE, SIG_IGN);
  [[maybe_unused]] const ssize_t Written =
      ::write(PipeEnd_, Text.data(), Text.size());
  ::signal(SIGPIPE, Previous);
  ::close(PipeEnd_);
  PipeEnd_ = -1;
}

void ProgramUnderTest::signal(int Number) const {
  if (Process_ > 0 && !Status_)
    ::kill(Process_, Number);
}

bool ProgramUnderTest::hasEnded() {
  if (Process_ <= 0 || Status_)
    return true;
  int Status = 0;
  if (::waitpid(Process_, &Status, WNOHANG) != Process_)
    return false;
  Status_ = Status;
  return true;
}

std::optional<int> ProgramUnderTest::signalUntilEnded() {
  const auto End = steady_clock::now() + Patience;
  while (steady_clock::now() < End && !hasEnded()) {
    signal(SIGHUP);
    signal(SIGTERM);
    std::this_thread::sleep_for(SignalInterval);
  }
  return Status_;
}

} // namespace gooseberry

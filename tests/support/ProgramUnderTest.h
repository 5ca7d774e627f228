/// \file
/// One of our programs as a process of its own.
#ifndef GOOSEBERRYBEAM_TESTS_SUPPORT_PROGRAMUNDERTEST_H
#define GOOSEBERRYBEAM_TESTS_SUPPORT_PROGRAMUNDERTEST_H

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace gooseberry {

/// Starts a program whose settings come from a pipe: it cannot pass the reading
/// of its settings until they are written. Ends only what it started.
class ProgramUnderTest {
public:
  /// \param Program path of the program.
  /// \param Words its arguments; `PIPE` stands for the name of the pipe.
  /// \param Environment its variables; `PIPE` as in \p Words.
  ProgramUnderTest(std::string Program, std::vector<std::string> Words,
                   std::vector<std::string> Environment);
  ~ProgramUnderTest();
  ProgramUnderTest(const ProgramUnderTest &) = delete;
  ProgramUnderTest &operator=(const ProgramUnderTest &) = delete;

  /// Starts the process.
  /// \param AreSignalsHeld whether it inherits a mask that holds back SIGHUP,
  /// SIGINT and SIGTERM.
  void start(bool AreSignalsHeld);
  /// Waits until the process opens the pipe.
  /// \returns whether it did.
  bool waitUntilReading();
  /// Writes the settings and closes the pipe.
  /// \param Text the settings.
  void writeSettings(const std::string &Text);
  /// \param Number a signal; ignored if the process has ended.
  void signal(int Number) const;
  /// Sends SIGHUP and SIGTERM again and again until the process has ended.
  /// \returns its status as of `waitpid`, or none if it does not end.
  std::optional<int> signalUntilEnded();

private:
  bool hasEnded();
  std::string withPipe(std::string Text) const;

  std::string Program_;
  std::vector<std::string> Words_;
  std::vector<std::string> Environment_;
  std::string Folder_;
  std::string Pipe_;
  int PipeEnd_ = -1;
  pid_t Process_ = -1;
  std::optional<int> Status_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_TESTS_SUPPORT_PROGRAMUNDERTEST_H

#include "gooseberrybeam/http/SpawnTask.h"

#include "gooseberrybeam/base/Time.h"
#include "gooseberrybeam/log/Log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>

#include <exception>
#include <utility>

namespace gooseberry {
namespace {

constexpr Duration RestartInterval = std::chrono::milliseconds(100);
/// The text of an exception is cut off here in the log.
constexpr std::size_t MaxReasonBytes = 200;

Task<void> runLoop(asio::io_context &Context, std::string_view Name,
                   std::function<Task<void>()> Loop) {
  asio::steady_timer Pause(Context);
  for (;;) {
    try {
      co_await Loop();
      co_return;
    } catch (...) {
      logException(Name, std::current_exception());
    }
    Pause.expires_after(RestartInterval);
    co_await Pause.async_wait(AsTuple);
  }
}

} // namespace

void logException(std::string_view Name, const std::exception_ptr &Thrown) {
  std::string Reason = "unknown";
  try {
    std::rethrow_exception(Thrown);
  } catch (const std::exception &Error) {
    Reason = std::string_view(Error.what()).substr(0, MaxReasonBytes);
  } catch (...) {
    // Not an exception of the standard library; it has no text.
  }
  logLine(LogPart::Daemon, LogLevel::Error, "Unexpected exception.",
          {{"task", Name}, {"error", Reason}});
}

void spawnTask(asio::io_context &Context, std::string_view Name,
               Task<void> Work) {
  asio::co_spawn(Context, std::move(Work),
                 [Name](const std::exception_ptr &Thrown) {
                   if (Thrown)
                     logException(Name, Thrown);
                 });
}

void spawnLoop(asio::io_context &Context, std::string_view Name,
               std::function<Task<void>()> Loop) {
  spawnTask(Context, Name, runLoop(Context, Name, std::move(Loop)));
}

Task<bool> endGuarded(std::string_view Name, Task<void> Work) {
  try {
    co_await std::move(Work);
    co_return true;
  } catch (...) {
    logException(Name, std::current_exception());
  }
  co_return false;
}

void runContext(asio::io_context &Context, std::string_view Name) {
  for (;;) {
    try {
      Context.run();
      return;
    } catch (...) {
      logException(Name, std::current_exception());
    }
  }
}

void runGuarded(std::string_view Name, const std::function<void()> &Work) {
  try {
    Work();
  } catch (...) {
    logException(Name, std::current_exception());
  }
}

} // namespace gooseberry

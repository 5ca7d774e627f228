/// \file
/// Starts coroutines that nobody waits for.
#ifndef GOOSEBERRYBEAM_HTTP_SPAWNTASK_H
#define GOOSEBERRYBEAM_HTTP_SPAWNTASK_H

#include "gooseberrybeam/http/Asio.h"

#include <exception>
#include <functional>
#include <string_view>

namespace gooseberry {

/// Starts a coroutine. An exception ends this coroutine alone and is logged.
/// \param Context runs the coroutine.
/// \param Name a literal that names the coroutine in the log.
/// \param Work the coroutine.
void spawnTask(asio::io_context &Context, std::string_view Name,
               Task<void> Work);

/// Starts a coroutine that must not end by an exception: it is logged, and the
/// coroutine is started again after a pause.
/// \param Context runs the coroutine; outlives it.
/// \param Name a literal that names the coroutine in the log.
/// \param Loop makes the coroutine; called again after each exception.
void spawnLoop(asio::io_context &Context, std::string_view Name,
               std::function<Task<void>()> Loop);

/// Calls a function on what another process sent. An exception is logged and
/// goes no further.
/// \param Name a literal that names the function in the log.
/// \param Work the function.
void runGuarded(std::string_view Name, const std::function<void()> &Work);

/// Logs an exception that nobody expected.
/// \param Name a literal that names what it ended.
/// \param Thrown the exception.
void logException(std::string_view Name, const std::exception_ptr &Thrown);

/// Waits for a coroutine. An exception is logged and goes no further.
/// \param Name a literal that names the coroutine in the log.
/// \param Work the coroutine.
/// \returns whether it ended without an exception.
Task<bool> endGuarded(std::string_view Name, Task<void> Work);

/// Runs a context until it is stopped or has no more work. An exception that
/// leaves a handler ends the operation that it belongs to and is logged.
/// \param Context the context.
/// \param Name a literal that names the context in the log.
void runContext(asio::io_context &Context, std::string_view Name);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_HTTP_SPAWNTASK_H

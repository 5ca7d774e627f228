/// \file
/// Stand-in for a plain service: bookings or deposits, availability or stock.
#include "common/Flags.h"
#include "standin_service/ServiceHandler.h"

#include <array>

int main(int Count, char **Arguments) {
  using namespace gooseberry;
  std::string Listen = "127.0.0.1:22010";
  double WorkMs = 2;
  const std::array Flags = {
      Flag{"listen", "ip:port", setText(Listen)},
      Flag{"work-ms", "time that one request takes", setNumber(WorkMs)},
  };
  const std::span<char *> All(Arguments, static_cast<std::size_t>(Count));
  if (const int Code = parseFlags(All, Flags); Code >= 0)
    return Code;
  asio::io_context Context;
  ServiceHandler Handler(
      std::chrono::milliseconds(static_cast<std::int64_t>(WorkMs)));
  return runStandin(Context, Handler, Listen);
}

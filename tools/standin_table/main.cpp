/// \file
/// Stand-in for the platform's table service and instance list.
#include "common/Flags.h"
#include "standin_table/TableHandler.h"

#include <array>

int main(int Count, char **Arguments) {
  using namespace gooseberry;
  std::string Listen = "127.0.0.1:22000";
  double ListLagMs = 500;
  const std::array Flags = {
      Flag{"listen", "ip:port", setText(Listen)},
      Flag{"list-lag-ms", "lag of the instance list", setNumber(ListLagMs)},
  };
  const std::span<char *> All(Arguments, static_cast<std::size_t>(Count));
  if (const int Code = parseFlags(All, Flags); Code >= 0)
    return Code;
  asio::io_context Context;
  TableHandler Handler(
      std::chrono::milliseconds(static_cast<std::int64_t>(ListLagMs)));
  return runStandin(Context, Handler, Listen);
}

/// \file
/// A caller that checks each answer it gets.
#ifndef TOOLS_GBSOAK_SOAKCLIENT_H
#define TOOLS_GBSOAK_SOAKCLIENT_H

#include "common/Net.h"
#include "gbsoak/LeavingCheck.h"
#include "gbsoak/PauseCheck.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace gooseberry {

/// What is sent.
enum class SoakKind {
  Check,
  Booking,
  Stream,
  Newest, ///< A check on a route of the newest configuration only.
};

/// What the callers were told, by request id.
struct SoakRecord {
  struct Answer {
    SoakKind Kind_ = SoakKind::Check;
    unsigned Status_ = 0; ///< 0: the connection ended without an answer.
    bool IsWhole_ = false;
    std::string Relay_; ///< `ip:port`.
    std::chrono::steady_clock::time_point SentAt_;
  };
  std::map<std::string, Answer> Answers_;
  std::vector<std::string> Faults_; ///< Sentences about what went wrong.
  LeavingCheck Leaving_;
  PauseCheck Pauses_;
  int ConfigurationVersion_ = 0; ///< Of the newest one.
  std::uint64_t Served_ = 0;
};

/// One caller with at most one open connection, which it keeps for as long as
/// the server does.
class SoakClient {
public:
  /// \param Context runs the client; outlives it.
  /// \param Name makes its request ids unique.
  /// \param Record takes what it sees; outlives it.
  SoakClient(asio::io_context &Context, std::string Name, SoakRecord &Record);

  /// Sends one request and checks its answer.
  /// \param Server `ip:port`.
  /// \param Kind what is sent.
  /// \param Key the caller's key.
  /// \returns the status, 0 if there was no whole answer.
  asio::awaitable<unsigned> send(std::string Server, SoakKind Kind,
                                 std::string Key);

private:
  asio::awaitable<bool> connect(const std::string &Server);
  void checkBody(const std::string &Request, SoakKind Kind,
                 const std::string &Body);

  asio::io_context &Context_;
  std::string Name_;
  SoakRecord &Record_;
  std::uint64_t Sent_ = 0;
  std::string Server_;
  std::optional<beast::tcp_stream> Stream_;
  beast::flat_buffer Buffer_;
};

} // namespace gooseberry

#endif // TOOLS_GBSOAK_SOAKCLIENT_H

/// \file
/// The platform's store as a stand-in.
#ifndef TOOLS_STANDIN_PLATFORM_STOREFACE_H
#define TOOLS_STANDIN_PLATFORM_STOREFACE_H

#include "standin_platform/HttpFace.h"
#include "standin_platform/RowTable.h"

#include <string>

namespace gooseberry {

/// Answers reads, feeds and transactions over rows of the empty part.
class StoreFace {
public:
  /// \param Context runs the store; outlives it.
  explicit StoreFace(asio::io_context &Context);
  /// Starts to listen.
  void start() { Face_.start(); }
  /// \returns the address, `ip:port`.
  std::string address() const { return Face_.address(); }
  /// \returns the rows.
  RowTable &rows() { return Rows_; }
  /// Registers a backend server, or changes its registration.
  /// \param Id the registration.
  /// \param Row the row's value.
  void putServer(const std::string &Id, std::string Row) {
    Rows_.put("servers", Id, std::move(Row));
  }
  /// \param Text the operator's newest configuration.
  void putConfiguration(std::string Text) {
    Rows_.put("op", "config", std::move(Text));
  }
  /// \param IsDown whether calls are turned away with 503.
  void setDown(bool IsDown) { IsDown_ = IsDown; }

private:
  asio::awaitable<void> serve(FaceCall &Call);
  asio::awaitable<void> feed(FaceCall &Call);
  asio::awaitable<void> reply(FaceCall &Call, unsigned Status,
                              std::string Body) const;
  std::string transact(const std::string &Body, unsigned &Status);

  RowTable Rows_;
  bool IsDown_ = false;
  HttpFace Face_;
};

} // namespace gooseberry

#endif // TOOLS_STANDIN_PLATFORM_STOREFACE_H

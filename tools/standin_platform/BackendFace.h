/// \file
/// A backend server of the platform as a stand-in.
#ifndef TOOLS_STANDIN_PLATFORM_BACKENDFACE_H
#define TOOLS_STANDIN_PLATFORM_BACKENDFACE_H

#include "standin_platform/HttpFace.h"
#include "standin_platform/RunLog.h"

#include <set>
#include <string>

namespace gooseberry {

/// What a stand-in does.
enum class BackendPart { Plain, Prefill, Decode };

/// Reads prompts, streams events, or answers plain requests; notes each run.
class BackendFace {
public:
  /// Events of each stream.
  static constexpr int EventCount = 12;

  /// \param Context runs the server; outlives it.
  /// \param Id its registration.
  /// \param Part what it does.
  /// \param Log takes what it sees; outlives it.
  BackendFace(asio::io_context &Context, std::string Id, BackendPart Part,
              RunLog &Log);
  /// Starts to listen.
  void start() { Face_.start(); }
  /// \returns the address, `ip:port`.
  std::string address() const { return Face_.address(); }
  /// \returns its registration.
  const std::string &id() const { return Id_; }
  /// \returns what it does.
  BackendPart part() const { return Part_; }
  /// \param IsFailing whether streams break off and plain answers are lost.
  void setFailing(bool IsFailing) { IsFailing_ = IsFailing; }
  /// \param IsFull whether requests are rejected as not run.
  /// \param Pause the pause that rejections ask for; zero for none.
  void setFull(bool IsFull, std::chrono::milliseconds Pause = {}) {
    IsFull_ = IsFull;
    Pause_ = Pause;
  }
  /// \param IsLeaving whether all answers say that the server leaves.
  void setLeaving(bool IsLeaving) { IsLeaving_ = IsLeaving; }
  /// \param Limit requests a second that answers state as limit; may be empty.
  void setLimit(std::string Limit) { Limit_ = std::move(Limit); }

private:
  asio::awaitable<void> serve(FaceCall &Call);
  asio::awaitable<void> reject(FaceCall &Call, unsigned Status);
  asio::awaitable<void> prefill(FaceCall &Call);
  asio::awaitable<void> stream(FaceCall &Call);
  asio::awaitable<void> plain(FaceCall &Call);
  void addFields(const FaceCall &Call, http::fields &Head) const;
  void noteRun(const FaceCall &Call);
  void check(const FaceCall &Call);
  std::string fieldOf(const FaceCall &Call, const char *Name) const;

  std::string Id_;
  BackendPart Part_;
  RunLog &Log_;
  bool IsFailing_ = false;
  bool IsFull_ = false;
  bool IsLeaving_ = false;
  std::chrono::milliseconds Pause_{0};
  std::string Limit_;
  int Handles_ = 0;
  HttpFace Face_;
};

} // namespace gooseberry

#endif // TOOLS_STANDIN_PLATFORM_BACKENDFACE_H

/// \file
/// Continuous batching of a stand-in engine.
#ifndef TOOLS_STANDIN_ENGINE_DECODEBATCH_H
#define TOOLS_STANDIN_ENGINE_DECODEBATCH_H

#include "common/Net.h"

#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace gooseberry {

/// One generation in the batch. The batch fills its lines, a connection sends
/// them.
struct Sequence {
  explicit Sequence(const asio::any_io_executor &Executor) : Wake_(Executor) {}

  /// Appends a line for the connection.
  /// \param Line a JSON object, without line end.
  void push(std::string Line);

  /// Ends the sequence with an error event.
  /// \param Code the error.
  void fail(std::string_view Code);

  std::string Request_;
  std::string Kv_;
  std::string Prompt_;
  std::uint64_t First_ = 0;
  std::uint64_t Next_ = 0; ///< Index of the next token.
  std::uint64_t End_ = 0;  ///< Index after the last token.
  bool IsDone_ = false;
  std::deque<std::string> Lines_;
  asio::steady_timer Wake_;
};

/// Speed of a batch.
struct BatchSpeed {
  std::chrono::microseconds Step_{0};           ///< Of an empty batch.
  std::chrono::microseconds StepPerRequest_{0}; ///< Added by each request.
  double Slowdown_ = 1;                         ///< Factor set as a fault.
};

/// Generates one token for each sequence in every step.
class DecodeBatch {
public:
  using DoneHandler = std::function<void(const Sequence &)>;

  /// \param Context where the steps run.
  /// \param Speed time of a step.
  /// \param Done called when a sequence has left the batch.
  DecodeBatch(asio::io_context &Context, BatchSpeed Speed, DoneHandler Done)
      : Context_(Context), Speed_(Speed), Done_(std::move(Done)) {}

  /// Adds a sequence; the batch starts if it was idle.
  /// \param Entry the sequence.
  void add(std::shared_ptr<Sequence> Entry);

  /// Takes a request's sequences out; they end with the error `cancelled`.
  /// \param Request the request.
  void cancel(std::string_view Request);

  /// \param Request a request.
  /// \returns whether one of its sequences is in the batch.
  bool contains(std::string_view Request) const;

  /// \returns the number of sequences.
  std::size_t size() const { return Sequences_.size(); }

  /// \returns the time of the next step.
  std::chrono::microseconds stepTime() const;

  /// \param Factor by which steps take longer from now on.
  void setSlowdown(double Factor) { Speed_.Slowdown_ = Factor; }

  /// \returns tokens generated so far.
  std::uint64_t tokens() const { return Tokens_; }

private:
  asio::awaitable<void> run();
  void step();
  void generate(Sequence &Entry);

  asio::io_context &Context_;
  BatchSpeed Speed_;
  DoneHandler Done_;
  bool IsRunning_ = false;
  std::uint64_t Tokens_ = 0;
  std::vector<std::shared_ptr<Sequence>> Sequences_;
};

} // namespace gooseberry

#endif // TOOLS_STANDIN_ENGINE_DECODEBATCH_H

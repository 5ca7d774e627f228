/// \file
/// A model engine in virtual time.
#ifndef GOOSEBERRYBEAM_BENCH_SUPPORT_FAKEENGINE_H
#define GOOSEBERRYBEAM_BENCH_SUPPORT_FAKEENGINE_H

#include "gooseberrybeam/routing/EngineInfo.h"
#include "gooseberrybeam/routing/GenerationProgress.h"
#include "gooseberrybeam/routing/GenerationSpec.h"
#include "support/EventLoop.h"

#include <deque>
#include <list>
#include <map>
#include <optional>
#include <unordered_map>

namespace gooseberry::bench {

/// Speeds of a fake engine.
struct EngineProfile {
  Duration PrefillBase_ = std::chrono::milliseconds(5);
  Duration PrefillPerToken_{100};
  Duration TransferPerPiece_ = std::chrono::milliseconds(8);
  Duration StepBase_ = std::chrono::milliseconds(15);
  Duration StepPerRequest_{500};
  Duration KvLifetime_ = std::chrono::milliseconds(900);
  std::size_t CachedPrefixes_ = 2000;
};

/// Continuous batching, a KV memory in pieces, a prefix cache and a link.
class FakeEngine {
public:
  /// Takes the steps of one generation; `FirstToken_` is set with the first.
  struct Event {
    ProgressKind Kind_ = ProgressKind::PrefillDone;
    std::uint32_t Tokens_ = 0;
    Duration Took_{0};
    bool IsFirstToken_ = false;
  };
  using Sink = std::function<void(const Event &)>;

  FakeEngine(EventLoop &Loop, EngineInfo Info, EngineProfile Profile)
      : Loop_(Loop), Info_(std::move(Info)), Profile_(Profile) {}

  const EngineInfo &info() const { return Info_; }
  void setRole(EngineRole Role) { Info_.Role_ = Role; }
  void prefill(const GenerationSpec &Item, Sink To);
  /// Imports from \p Source, then generates \p Tokens.
  void decode(const GenerationSpec &Item, FakeEngine &Source,
              std::uint32_t Tokens, Sink To);
  void cancel(const RequestId &Request);
  void die();
  /// \param Share of transfers to this engine that stall, 0 to 1.
  void setStalling(double Share) { Stalling_ = Share; }
  LoadReport report() const;
  /// \returns cache events since the last call.
  std::vector<CacheEvent> takeCacheEvents() { return std::move(Events_); }
  /// \returns prompt tokens computed.
  std::uint64_t computed() const { return Computed_; }
  /// \returns those whose KV cache was never imported.
  std::uint64_t wasted() const { return Wasted_; }

private:
  struct Prefill {
    GenerationSpec Work_;
    Sink To_;
  };
  struct Kv {
    std::uint32_t Computed_ = 0;
    TimePoint DiesAt_;
    bool IsImporting_ = false;
  };
  struct Decode {
    Sink To_;
    FakeEngine *Source_ = nullptr;
    std::uint64_t Number_ = 0;
    std::uint32_t Pieces_ = 0;
    std::uint32_t Left_ = 0;
    std::uint32_t Done_ = 0;
    bool IsImported_ = false;
    TimePoint Since_;
  };

  void startPrefill();
  std::uint32_t uncached(const GenerationSpec &Item);
  void cache(const GenerationSpec &Item);
  void expire(const RequestId &Request);
  void finishImport(const RequestId &Request, std::uint64_t Number);
  void step();
  std::uint32_t batch() const;
  Duration stepTime() const;

  EventLoop &Loop_;
  EngineInfo Info_;
  EngineProfile Profile_;
  std::deque<Prefill> Queue_;
  bool IsPrefilling_ = false;
  bool IsStepping_ = false;
  bool IsDead_ = false;
  double Stalling_ = 0;
  std::uint64_t Number_ = 0;
  std::uint64_t Computed_ = 0;
  std::uint64_t Wasted_ = 0;
  TimePoint LinkFreeAt_;
  std::map<RequestId, Kv> Kv_;
  std::map<RequestId, Decode> Decodes_;
  std::list<std::uint64_t> Recent_;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> Cache_;
  std::vector<CacheEvent> Events_;
};

} // namespace gooseberry::bench

#endif // GOOSEBERRYBEAM_BENCH_SUPPORT_FAKEENGINE_H

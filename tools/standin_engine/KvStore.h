/// \file
/// KV memory of a stand-in engine, handed out in pieces.
#ifndef TOOLS_STANDIN_ENGINE_KVSTORE_H
#define TOOLS_STANDIN_ENGINE_KVSTORE_H

#include "standin_engine/KvHolding.h"

#include <boost/json/array.hpp>

#include <map>
#include <string_view>
#include <vector>

namespace gooseberry {

/// Holdings by name, within a limit of pieces.
class KvStore {
public:
  /// \param Pieces the memory, in pieces.
  /// \param Prefix start of the names given, unique to this engine.
  KvStore(std::uint64_t Pieces, std::string Prefix)
      : Total_(Pieces), Prefix_(std::move(Prefix)) {}

  /// Takes memory.
  /// \param Holding what to keep; a name is given to it.
  /// \returns the holding, or null if the memory is short. It stays valid
  ///   until it is released.
  KvHolding *add(KvHolding Holding);

  /// \param Kv name of a holding.
  /// \returns the holding, or null.
  KvHolding *find(std::string_view Kv);

  /// \param Request a request.
  /// \returns whether anything is held for it.
  bool isHeldFor(std::string_view Request) const;

  /// Frees a holding. A prefilled one counts as wasted.
  /// \param Kv its name.
  /// \returns the pieces freed, 0 if it was not held.
  std::uint64_t release(std::string_view Kv);

  /// Frees a prefilled holding that was imported elsewhere.
  /// \param Kv its name.
  void finishExport(std::string_view Kv);

  /// \param Request a request.
  /// \returns the names of what is held for it.
  std::vector<std::string> namesOf(std::string_view Request) const;

  /// Frees prefilled holdings that nobody imports in time.
  /// \param Limit those older than this go.
  void evictOlderThan(std::chrono::steady_clock::time_point Limit);

  /// \returns the holdings in the form of `GET /v1/kv`.
  boost::json::array asJson() const;

  /// Counts a prefill that was cancelled while it ran.
  /// \param Tokens tokens computed.
  void addWasted(std::uint64_t Tokens) { WastedTokens_ += Tokens; }

  std::uint64_t total() const { return Total_; }
  std::uint64_t used() const { return Used_; }
  std::uint64_t wastedTokens() const { return WastedTokens_; }
  std::uint64_t evictions() const { return Evictions_; }

private:
  std::uint64_t Total_;
  std::uint64_t Used_ = 0;
  std::uint64_t WastedTokens_ = 0;
  std::uint64_t Evictions_ = 0;
  std::uint64_t NextName_ = 1;
  std::string Prefix_;
  std::map<std::string, KvHolding, std::less<>> Holdings_;
};

} // namespace gooseberry

#endif // TOOLS_STANDIN_ENGINE_KVSTORE_H

/// \file
/// Settings of a stand-in engine.
#ifndef TOOLS_STANDIN_ENGINE_ENGINESETTINGS_H
#define TOOLS_STANDIN_ENGINE_ENGINESETTINGS_H

#include <string>

namespace gooseberry {

/// What a stand-in engine can do, and how fast.
struct EngineSettings {
  std::string Listen_ = "127.0.0.1:22020"; ///< ip:port.
  std::string Role_ = "prefill";           ///< prefill, decode or both.
  std::string Model_ = "m1";               ///< Model loaded at the start.
  bool ChecksFence_ = false;      ///< Refuses orders with old fencing numbers.
  double Pieces_ = 64;            ///< KV memory, pieces.
  double Slots_ = 20;             ///< Requests decoded at once.
  double PrefillUsPerToken_ = 50; ///< Prefill time, microseconds a token.
  double StepMs_ = 8;             ///< Decode step of an empty batch.
  double StepMsPerRequest_ = 0.4; ///< Added to the step by each request.
  double LinkPiecesPerSecond_ = 400; ///< Rate of KV export.
  double KvTtlMs_ = 900;             ///< Life of a prefilled KV, unimported.
  double CacheBlocks_ = 4096;        ///< Prefix cache, blocks of 256 tokens.
  double EventDelayMs_ = 200;        ///< Delay of cache events.
  double EventLossPercent_ = 2;      ///< Cache events that are lost.
  double LoadLagMs_ = 100;           ///< Age of the load report.
  double WeightsMs_ = 500;           ///< Time to fetch a model's weights.
};

} // namespace gooseberry

#endif // TOOLS_STANDIN_ENGINE_ENGINESETTINGS_H

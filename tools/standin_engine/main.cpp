/// \file
/// Stand-in for a model engine.
#include "common/Flags.h"
#include "standin_engine/EngineHandler.h"

#include <array>

int main(int Count, char **Arguments) {
  using namespace gooseberry;
  EngineSettings Settings;
  const std::array Flags = {
      Flag{"listen", "ip:port", setText(Settings.Listen_)},
      Flag{"role", "prefill, decode or both", setText(Settings.Role_)},
      Flag{"model", "model loaded at the start", setText(Settings.Model_)},
      Flag{"check-fence", "true to refuse old fencing numbers",
           setSwitch(Settings.ChecksFence_)},
      Flag{"pieces", "KV memory, pieces", setNumber(Settings.Pieces_)},
      Flag{"slots", "requests decoded at once", setNumber(Settings.Slots_)},
      Flag{"prefill-us-per-token", "prefill time, microseconds a token",
           setNumber(Settings.PrefillUsPerToken_)},
      Flag{"step-ms", "decode step of an empty batch, ms",
           setNumber(Settings.StepMs_)},
      Flag{"step-ms-per-request", "added to the step by each request, ms",
           setNumber(Settings.StepMsPerRequest_)},
      Flag{"link-pieces-per-second", "rate of KV export",
           setNumber(Settings.LinkPiecesPerSecond_)},
      Flag{"kv-ttl-ms", "life of a prefilled KV that nobody imports",
           setNumber(Settings.KvTtlMs_)},
      Flag{"cache-blocks", "prefix cache, blocks of 256 tokens",
           setNumber(Settings.CacheBlocks_)},
      Flag{"event-delay-ms", "delay of cache events",
           setNumber(Settings.EventDelayMs_)},
      Flag{"event-loss-percent", "cache events that are lost",
           setNumber(Settings.EventLossPercent_)},
      Flag{"load-lag-ms", "age of the load report",
           setNumber(Settings.LoadLagMs_)},
      Flag{"weights-ms", "time to fetch a model's weights",
           setNumber(Settings.WeightsMs_)},
  };
  const std::span<char *> All(Arguments, static_cast<std::size_t>(Count));
  if (const int Code = parseFlags(All, Flags); Code >= 0)
    return Code;
  asio::io_context Context;
  EngineHandler Handler(Context, Settings);
  return runStandin(Context, Handler, Settings.Listen_);
}

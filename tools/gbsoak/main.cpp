/// \file
/// Randomized soak of the relay: real processes, faults from outside.

#include "common/Flags.h"
#include "gbsoak/SoakWorld.h"

#include <array>
#include <cstdio>

int main(int Count, char **Arguments) {
  using namespace gooseberry;
  SoakSettings Settings;
  double Seed = 1;
  double Seeds = 1;
  double Port = Settings.Port_;
  double Relays = static_cast<double>(Settings.Relays_);
  const std::array Flags = {
      Flag{"seed", "first seed", setNumber(Seed)},
      Flag{"seeds", "how many seeds, one after another", setNumber(Seeds)},
      Flag{"seconds", "how long each seed has faults",
           setNumber(Settings.Seconds_)},
      Flag{"relays", "how many processes", setNumber(Relays)},
      Flag{"port", "first port", setNumber(Port)},
      Flag{"program", "path of the relay", setText(Settings.Program_)},
      Flag{"folder", "folder for settings and logs", setText(Settings.Folder_)},
  };
  const std::span<char *> All(Arguments, static_cast<std::size_t>(Count));
  if (const int Code = parseFlags(All, Flags); Code >= 0)
    return Code;
  Settings.Port_ = static_cast<std::uint16_t>(Port);
  Settings.Relays_ = static_cast<std::size_t>(Relays);
  int Failed = 0;
  for (int I = 0; I < static_cast<int>(Seeds); ++I) {
    Settings.Seed_ = static_cast<std::uint32_t>(Seed) + I;
    SoakWorld World(Settings);
    const auto Faults = World.run();
    std::printf("seed %u: %llu served, %zu faults\n", Settings.Seed_,
                static_cast<unsigned long long>(World.served()), Faults.size());
    for (const auto &Each : Faults)
      std::printf("  %s\n", Each.c_str());
    std::fflush(stdout);
    Failed += Faults.empty() ? 0 : 1;
  }
  return Failed == 0 ? 0 : 1;
}

#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>

#include <cstdlib>

int main(int Count, char **Arguments) {
  // Properties are checked with the same seed on every run unless one is set.
  setenv("RC_PARAMS", "seed=1", 0);
  return Catch::Session().run(Count, Arguments);
}

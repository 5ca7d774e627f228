/// \file
/// The two deployments of the brief: engines, classes, organisations.
#ifndef GOOSEBERRYBEAM_BENCH_SUPPORT_DEPLOYMENT_H
#define GOOSEBERRYBEAM_BENCH_SUPPORT_DEPLOYMENT_H

#include "gooseberrybeam/routing/EngineInfo.h"
#include "gooseberrybeam/routing/GenerationSpec.h"
#include "support/FakeEngine.h"

#include <random>
#include <string>
#include <vector>

namespace gooseberry::bench {

/// A class of work and its share of a model's requests.
struct ClassProfile {
  std::string Name_;
  ClassTargets Targets_;
  Duration Deadline_;
  double Share_ = 1;
};

/// A model, its engines and the shape of its requests.
struct ModelProfile {
  ModelId Model_;
  std::uint32_t Prefill_ = 0; ///< Engines in the prefill role.
  std::uint32_t Decode_ = 0;  ///< Engines in the decode role.
  double PromptTokens_ = 0;   ///< Mean; lognormal.
  double OutputTokens_ = 0;   ///< Mean; uniform from half to one and a half.
  std::vector<ClassProfile> Classes_;

  /// \param Profile the engines' speeds.
  /// \returns requests a second that the scarcer role can serve, cache unused.
  double capacity(const EngineProfile &Profile) const;
};

/// A deployment.
struct Deployment {
  std::string Name_;
  std::uint32_t DataCentres_ = 1;
  std::uint32_t Instances_ = 8;
  std::vector<ModelProfile> Models_;
  /// Each organisation's share of the requests, largest first.
  std::vector<double> Organisations_{0.40, 0.30, 0.15, 0.10, 0.05};

  /// \returns the engines, spread over the data centres.
  std::vector<EngineInfo> engines() const;
};

Deployment makeQureshi();
Deployment makeTesfaye();

/// One request to come.
struct Arrival {
  GenerationSpec Work_;
  std::uint32_t Organisation_ = 0;
  std::uint32_t Class_ = 0; ///< Index among all classes of the deployment.
  std::uint32_t OutputTokens_ = 0;
};

/// Draws requests.
class ArrivalSource {
public:
  ArrivalSource(const Deployment &Of, std::uint64_t Seed)
      : Of_(Of), Random_(Seed) {}

  /// \returns a request of one organisation for one model, times unset.
  Arrival draw(std::uint32_t Model, std::uint32_t Organisation);
  /// \returns an exponentially distributed time.
  /// \param PerSecond mean events a second.
  Duration gap(double PerSecond);
  /// \returns an instance; some get more than others.
  std::uint32_t instance(std::uint32_t Count);

private:
  const Deployment &Of_;
  std::mt19937_64 Random_;
  std::uint64_t Next_ = 0;
};

} // namespace gooseberry::bench

#endif // GOOSEBERRYBEAM_BENCH_SUPPORT_DEPLOYMENT_H

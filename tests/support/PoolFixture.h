/// \file
/// A pool of engines for placement tests.
#ifndef TESTS_SUPPORT_POOLFIXTURE_H
#define TESTS_SUPPORT_POOLFIXTURE_H

#include "gooseberrybeam/relay/GenerationPlacer.h"

#include <catch2/catch.hpp>

#include <map>
#include <optional>
#include <string>

namespace gooseberry {

inline const ServiceId PoolService = {"writer"};
inline const InstanceId EdgeInstance = {"edge"};

/// A pool of two prefill and two decode engines with KV memory for 100,000
/// tokens each.
class PoolFixture {
public:
  PoolFixture() : Placer_(Directory_) {
    RelayConfigurationParts Parts;
    Parts.Version_ = 1;
    EngineTraits Traits;
    Traits.Slots_ = 16;
    Traits.KvTokens_ = 100'000;
    Parts.Services_ = {{PoolService, 100, Traits}};
    Placer_.configure(
        std::make_shared<const RelayConfiguration>(std::move(Parts)));
    addEngine("p1", EngineRole::Prefill);
    addEngine("p2", EngineRole::Prefill);
    addEngine("d1", EngineRole::Decode);
    addEngine("d2", EngineRole::Decode);
  }

  void addEngine(const std::string &Id, EngineRole Role, bool IsLeaving = false,
                 const std::string &Software = "v1") {
    BackendEntry Entry;
    Entry.Id_ = {Id};
    Entry.Address_ = {Id + ":80"};
    Entry.Service_ = PoolService;
    Entry.Role_ = Role;
    Entry.IsLeaving_ = IsLeaving;
    Entry.SoftwareVersion_ = {Software};
    Directory_.put(Entry);
  }

  static PlacementRequest makePlacement(std::string Request) {
    PlacementRequest Placement;
    Placement.Request_ = {std::move(Request)};
    Placement.Organisation_ = {"acme"};
    Placement.Service_ = PoolService;
    Placement.PromptTokens_ = 5000;
    Placement.MaxOutputTokens_ = 8000;
    Placement.TargetLeft_ = std::chrono::milliseconds(900);
    Placement.TimeLeft_ = std::chrono::seconds(14);
    return Placement;
  }

  /// Queues a generation and runs the placer.
  /// \returns the answer, or none if the generation has to wait.
  std::optional<PlacementAnswer> place(const PlacementRequest &Placement) {
    Placer_.enqueue(EdgeInstance, Placement, Now_);
    return answerFor(Placement.Request_);
  }

  std::optional<PlacementAnswer> answerFor(const RequestId &Request) {
    std::optional<PlacementAnswer> Result;
    for (auto &Each : Placer_.decide(Now_)) {
      const RequestId Id = std::visit(
          [](const auto &Answer) { return Answer.Request_; }, Each.Answer_);
      Answers_[Id] = Each.Answer_;
    }
    const auto Found = Answers_.find(Request);
    if (Found == Answers_.end())
      return std::nullopt;
    Result = Found->second;
    Answers_.erase(Found);
    return Result;
  }

  static PlacementGrant grantOf(const std::optional<PlacementAnswer> &Answer) {
    REQUIRE(Answer);
    REQUIRE(std::holds_alternative<PlacementGrant>(*Answer));
    return std::get<PlacementGrant>(*Answer);
  }

  void report(const char *Request, GenerationStep Step, const ServerId &Server,
              std::uint32_t Tokens = 0, Duration Elapsed = Duration::zero()) {
    Placer_.onReport({{Request}, Step, Server, Tokens, Elapsed, {}}, Now_);
  }

  /// Fills the pool until a generation has to wait.
  /// \returns the number of granted generations.
  int fill(const std::string &Prefix) {
    for (int I = 0; I != 100; ++I) {
      const std::string Name = Prefix + std::to_string(I);
      const auto Answer = place(makePlacement(Name));
      if (!Answer)
        return I;
      const PlacementGrant Grant = grantOf(Answer);
      if (Grant.Prefill_)
        report(Name.c_str(), GenerationStep::Prefilled, Grant.Prefill_->Id_,
               5000, std::chrono::milliseconds(100));
    }
    return 100;
  }

  BackendDirectory Directory_;
  GenerationPlacer Placer_;
  TimePoint Now_{std::chrono::seconds(100)};
  std::map<RequestId, PlacementAnswer> Answers_;
};

} // namespace gooseberry

#endif // TESTS_SUPPORT_POOLFIXTURE_H

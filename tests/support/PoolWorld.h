/// \file
/// A pool of engines for tests of placement.
#ifndef TESTS_SUPPORT_POOLWORLD_H
#define TESTS_SUPPORT_POOLWORLD_H

#include "gooseberrybeam/relay/GenerationPlacer.h"

#include <catch2/catch.hpp>

#include <map>
#include <optional>
#include <string>

namespace gooseberry {

inline const ServiceId Pool = {"writer"};
inline const InstanceId Edge = {"edge"};

/// A pool of engines that hold 100,000 tokens each.
class PoolWorld {
public:
  PoolWorld() : Placer_(Directory_) {
    RelayConfigurationParts Parts;
    Parts.Version_ = 1;
    EngineTraits Traits;
    Traits.Slots_ = 16;
    Traits.KvTokens_ = 100'000;
    Parts.Services_ = {{Pool, 100, Traits}};
    Placer_.configure(
        std::make_shared<const RelayConfiguration>(std::move(Parts)));
    addEngine("p1", EngineRole::Prefill);
    addEngine("p2", EngineRole::Prefill);
    addEngine("d1", EngineRole::Decode);
    addEngine("d2", EngineRole::Decode);
  }

  void addEngine(const std::string &Id, EngineRole Role,
                 bool IsLeaving = false) {
    BackendEntry Entry;
    Entry.Id_ = {Id};
    Entry.Address_ = {Id + ":80"};
    Entry.Service_ = Pool;
    Entry.Role_ = Role;
    Entry.IsLeaving_ = IsLeaving;
    Directory_.put(Entry);
  }

  static PlacementAsk makeAsk(std::string Request) {
    PlacementAsk Ask;
    Ask.Request_ = {std::move(Request)};
    Ask.Organisation_ = {"acme"};
    Ask.Service_ = Pool;
    Ask.PromptTokens_ = 5000;
    Ask.MaxOutputTokens_ = 8000;
    Ask.TargetLeft_ = std::chrono::milliseconds(900);
    Ask.TimeLeft_ = std::chrono::seconds(14);
    return Ask;
  }

  /// Asks for one generation and decides.
  std::optional<PlacementAnswer> place(const PlacementAsk &Ask) {
    Placer_.ask(Edge, Ask, Now_);
    return answerFor(Ask.Request_);
  }

  std::optional<PlacementAnswer> answerFor(const RequestId &Request) {
    std::optional<PlacementAnswer> Out;
    for (auto &Each : Placer_.decide(Now_)) {
      const RequestId Of = std::visit(
          [](const auto &Answer) { return Answer.Request_; }, Each.Answer_);
      Answers_[Of] = Each.Answer_;
    }
    const auto Found = Answers_.find(Request);
    if (Found == Answers_.end())
      return std::nullopt;
    Out = Found->second;
    Answers_.erase(Found);
    return Out;
  }

  static PlacementGrant grantOf(const std::optional<PlacementAnswer> &Answer) {
    REQUIRE(Answer);
    REQUIRE(std::holds_alternative<PlacementGrant>(*Answer));
    return std::get<PlacementGrant>(*Answer);
  }

  void tell(const char *Request, GenerationStep Step, const ServerId &Server,
            std::uint32_t Tokens = 0, Duration Took = Duration::zero()) {
    Placer_.report({{Request}, Step, Server, Tokens, Took}, Now_);
  }

  /// Fills the pool until a generation has to wait.
  /// \returns how many were granted.
  int fill(const std::string &Prefix) {
    for (int I = 0; I != 100; ++I) {
      const std::string Name = Prefix + std::to_string(I);
      const auto Answer = place(makeAsk(Name));
      if (!Answer)
        return I;
      const PlacementGrant Grant = grantOf(Answer);
      if (Grant.Prefill_)
        tell(Name.c_str(), GenerationStep::Prefilled, Grant.Prefill_->Id_, 5000,
             std::chrono::milliseconds(100));
    }
    return 100;
  }

  BackendDirectory Directory_;
  GenerationPlacer Placer_;
  TimePoint Now_{std::chrono::seconds(100)};
  std::map<RequestId, PlacementAnswer> Answers_;
};

} // namespace gooseberry

#endif // TESTS_SUPPORT_POOLWORLD_H

#include "gooseberrybeam/config/Configuration.h"

#include "gooseberrybeam/config/ConfigMessage.h"
#include "gooseberrybeam/config/SnapshotCell.h"
#include "support/SeededCheck.h"

#include <catch2/catch.hpp>

#include <map>
#include <thread>

using namespace gooseberry;

namespace {

Entity organisation(std::string Name, double Rate) {
  Organisation Value;
  Value.Name_.Value_ = std::move(Name);
  Value.RateTokensPerSecond_ = Rate;
  return Value;
}

EntityChange changeOf(const Entity &Value) { return {refOf(Value), Value}; }

/// A snapshot with two equal values; a torn read would show different ones.
struct PairedValues {
  std::uint64_t Left_ = 0;
  std::uint64_t Right_ = 0;
};

} // namespace

TEST_CASE("A derived configuration shares unchanged entities", "[config]") {
  ConfigDelta Delta;
  for (int I = 0; I < 500; ++I)
    Delta.push_back(changeOf(organisation("org" + std::to_string(I), I)));
  const Configuration First = Configuration().withChanges(Delta, 1);
  const ConfigDelta Change = {changeOf(organisation("org7", 70))};
  const Configuration Second = First.withChanges(Change, 2);

  SECTION("the change does not affect the predecessor") {
    CHECK(First.findOrganisation("org7")->RateTokensPerSecond_ == 7);
    CHECK(Second.findOrganisation("org7")->RateTokensPerSecond_ == 70);
    CHECK(First.revision() == 1);
    CHECK(Second.revision() == 2);
  }
  SECTION("unchanged entities are the same objects") {
    CHECK(First.findOrganisation("org8") == Second.findOrganisation("org8"));
  }
  SECTION("the parts contain all entities") {
    std::size_t Sum = 0;
    for (std::uint32_t Part = 0; Part < 8; ++Part)
      Sum += Second.entitiesOfPart(Part, 8).size();
    CHECK(Sum == Second.size());
  }
}

TEST_CASE("Encoded messages stay within the size limit of the transport",
          "[config]") {
  ConfigEntries Message;
  for (Revision Number = 1; Number <= 8; ++Number)
    Message.Entries_.push_back(
        {Number, "t", "a", {changeOf(organisation("org", 1))}});
  const std::size_t FullSize = encodeConfigMessage(Message).size();
  const auto ParsedWithBound = [&Message](std::size_t Bound) {
    const auto Bytes = encodeConfigMessageBounded(Message, Bound, 9);
    REQUIRE(Bytes);
    REQUIRE(Bytes->size() <= Bound);
    return *parseConfigMessage(*Bytes);
  };
  CHECK(std::get<ConfigEntries>(ParsedWithBound(FullSize)).Entries_.size() ==
        8);
  CHECK(
      std::get<ConfigEntries>(ParsedWithBound(FullSize - 1)).Entries_.size() ==
      4);
  SECTION("an entry that is too long is replaced by a revision notice") {
    CHECK(std::get<ConfigRevisionNotice>(ParsedWithBound(60)).Revision_ == 9);
  }
}

TEST_CASE("A key identifies its organisation until it is revoked", "[config]") {
  const KeyGrant Grant{hashKey("secret"), {"club"}};
  const ConfigDelta Delta = {changeOf(organisation("club", 5)),
                             changeOf(Grant)};
  const Configuration Config = Configuration().withChanges(Delta, 1);
  REQUIRE(Config.findOrganisationOfKey(hashKey("secret")));
  CHECK(Config.findOrganisationOfKey(hashKey("secret"))->Name_.Value_ ==
        "club");
  CHECK_FALSE(Config.findOrganisationOfKey(hashKey("Secret")));
  SECTION("a revoked key is unknown") {
    const ConfigDelta Withdrawal = {{refOf(Grant), std::nullopt}};
    CHECK_FALSE(Config.withChanges(Withdrawal, 2)
                    .findOrganisationOfKey(hashKey("secret")));
  }
  SECTION("the hash is SHA-256 and survives a round trip through hex") {
    CHECK(asHex(hashKey("abc")) == "ba7816bf8f01cfea414140de5dae2223"
                                   "b00361a396177a9cb410ff61f20015ad");
    CHECK(parseKeyHash(asHex(hashKey("abc"))) == hashKey("abc"));
    CHECK_FALSE(parseKeyHash("ba78"));
  }
}

TEST_CASE("The shared map behaves like std::map", "[config]") {
  CHECK(checkSeeded([](const std::vector<std::pair<std::uint8_t, int>> &Steps) {
    SharedMap<Organisation> Map;
    std::map<std::string, double> Model;
    for (const auto &[Number, Rate] : Steps) {
      const std::string Name = std::to_string(Number);
      if (Rate % 3 == 0) {
        Map = Map.withoutKey(Name);
        Model.erase(Name);
      } else {
        Map = Map.withValue(std::make_shared<const Organisation>(
            std::get<Organisation>(organisation(Name, Rate))));
        Model[Name] = Rate;
      }
    }
    RC_ASSERT(Map.size() == Model.size());
    for (const auto &[Name, Rate] : Model)
      RC_ASSERT(Map.find(Name) && Map.find(Name)->RateTokensPerSecond_ == Rate);
  }));
}

TEST_CASE("Readers of a snapshot cell see consistent snapshots in order",
          "[config][concurrency]") {
  constexpr int Readers = 3;
  constexpr std::uint64_t Snapshots = 300;
  SnapshotCell<PairedValues> Cell(std::make_shared<const PairedValues>());
  std::array<int, Readers> Faults{};
  std::vector<std::thread> Threads;
  Threads.reserve(Readers);
  for (int I = 0; I < Readers; ++I)
    Threads.emplace_back([&Cell, &Count = Faults[static_cast<size_t>(I)]] {
      std::uint64_t Newest = 0;
      while (Newest < Snapshots) {
        const auto Seen = Cell.read();
        Count += Seen->Left_ != Seen->Right_ || Seen->Left_ < Newest ? 1 : 0;
        Newest = Seen->Left_;
      }
    });
  for (std::uint64_t I = 1; I <= Snapshots; ++I)
    Cell.publish(std::make_shared<const PairedValues>(PairedValues{I, I}));
  for (std::thread &Reader : Threads)
    Reader.join();
  CHECK(Faults == std::array<int, Readers>{});
}

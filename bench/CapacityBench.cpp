/// \file
/// Grows one thing at a time and prints the slope of its cost: organisations,
/// instances, engines, revisions, waiting requests. One CSV line for each size
/// and one `fit` line for each series; docs/CAPACITY.md is worked out from it.
#include "gooseberrybeam/config/Configuration.h"
#include "gooseberrybeam/limits/LimitLedger.h"
#include "gooseberrybeam/membership/EpochDocument.h"
#include "gooseberrybeam/peers/PeerMessage.h"
#include "gooseberrybeam/peers/PlacementCodec.h"
#include "gooseberrybeam/routing/Dispatcher.h"
#include "support/AllocationCounter.h"

#include <chrono>
#include <cstdio>
#include <functional>
#include <vector>

using namespace gooseberry;
using namespace gooseberry::bench;

namespace {

const TimePoint Start(std::chrono::hours(1));

struct Point {
  double Size_ = 0;
  double Cost_ = 0;
};

std::string nameOf(std::string_view Kind, int Index) {
  return std::string(Kind).append(std::to_string(Index));
}

/// Prints a series with its least-squares line and the share of the variance
/// that the line explains.
void fit(const char *Series, const char *Unit, const std::vector<Point> &All) {
  double N = 0;
  double X = 0;
  double Y = 0;
  double Xx = 0;
  double Xy = 0;
  double Yy = 0;
  for (const Point &Each : All) {
    std::printf("%s,%.0f,%.4f,%s\n", Series, Each.Size_, Each.Cost_, Unit);
    N += 1;
    X += Each.Size_;
    Y += Each.Cost_;
    Xx += Each.Size_ * Each.Size_;
    Xy += Each.Size_ * Each.Cost_;
    Yy += Each.Cost_ * Each.Cost_;
  }
  const double Sxx = N * Xx - X * X;
  const double Sxy = N * Xy - X * Y;
  const double Syy = N * Yy - Y * Y;
  const double Slope = Sxx > 0 ? Sxy / Sxx : 0;
  const double R2 = Sxx > 0 && Syy > 0 ? Sxy * Sxy / (Sxx * Syy) : 1;
  std::printf("fit:%s,slope=%.6f,base=%.4f,r2=%.4f %s\n", Series, Slope,
              (Y - Slope * X) / N, R2, Unit);
}

double microsecondsOf(const std::function<void()> &Call) {
  const auto Begin = std::chrono::steady_clock::now();
  Call();
  const auto Took = std::chrono::steady_clock::now() - Begin;
  return std::chrono::duration<double, std::micro>(Took).count();
}

EpochDocument documentOf(int Members, int Shards) {
  EpochDocument Document;
  Document.Epoch_ = 1;
  for (int I = 0; I < Members; ++I) {
    EpochMember Member;
    Member.Id_.Name_.Value_ = nameOf("instance-", 1000 + I);
    Member.PeerAddress_ = "127.0.0.1:25000";
    Member.DataCentre_.Value_ = nameOf("dc", I % 14);
    Document.Members_.push_back(Member);
  }
  for (int I = 0; I < Shards; ++I)
    Document.Shards_.push_back({Document.Members_[I % Members].Id_, 1});
  return Document;
}

void measureOrganisations() {
  std::vector<Point> Snapshot;
  std::vector<Point> Limits;
  std::vector<Point> Tick;
  for (const int Count : {1000, 3000, 9000, 27000}) {
    const std::uint64_t Empty = bytesInUse();
    ConfigDelta Delta;
    for (int I = 0; I < Count; ++I) {
      Organisation Value;
      Value.Name_.Value_ = nameOf("organisation-", I);
      const KeyGrant Grant{hashKey(Value.Name_.Value_), Value.Name_};
      Delta.push_back({refOf(Value), Value});
      Delta.push_back({refOf(Grant), Grant});
    }
    Configuration Config = Configuration().withChanges(Delta, 1);
    Delta = {};
    const std::uint64_t Filled = bytesInUse();
    Snapshot.push_back({double(Count), double(Filled - Empty) / 1024});
    const EpochDocument Document = documentOf(1, 256);
    LimitLedger Ledger(Document.Members_.front().Id_);
    Ledger.adoptEpoch(Document, Start);
    for (int I = 0; I < Count; ++I)
      Ledger.setLimit({nameOf("organisation-", I)}, {1000000, 10000000}, 1,
                      Start);
    Limits.push_back({double(Count), double(bytesInUse() - Filled) / 1024});
    Ledger.tick(Start + std::chrono::seconds(1));
    Tick.push_back({double(Count), microsecondsOf([&] {
                                     for (int I = 0; I < 10; ++I)
                                       Ledger.tick(Start +
                                                   std::chrono::seconds(2 + I));
                                   }) / 10});
  }
  fit("snapshot_by_organisations", "KiB", Snapshot);
  fit("limits_by_organisations", "KiB", Limits);
  fit("limits_tick_by_organisations", "us", Tick);
}

void measureInstances() {
  std::vector<Point> Bytes;
  std::vector<Point> Parse;
  for (const int Count : {8, 40, 160, 320}) {
    const std::string Text = formatEpochDocument(documentOf(Count, 256));
    Bytes.push_back({double(Count), double(Text.size())});
    Parse.push_back({double(Count), microsecondsOf([&] {
                                      for (int I = 0; I < 10; ++I)
                                        parseEpochDocument(Text);
                                    }) / 10});
  }
  fit("epoch_document_by_instances", "bytes", Bytes);
  fit("epoch_parse_by_instances", "us", Parse);
}

void addEngines(Dispatcher &To, int Count) {
  for (int I = 0; I < Count; ++I) {
    EngineInfo Info;
    Info.Engine_.Value_ = nameOf("127.0.0.1:", 10000 + I);
    Info.Role_ = I % 3 == 0 ? EngineRole::Decode : EngineRole::Prefill;
    Info.DataCentre_.Value_ = nameOf("dc", I % 14);
    Info.Models_ = {{nameOf("model-", I % 35)}};
    To.onEngineAvailable(Info);
  }
}

void measureEngines() {
  std::vector<Point> Memory;
  std::vector<Point> Reports;
  for (const int Count : {220, 733, 2200}) {
    const std::uint64_t Empty = bytesInUse();
    Dispatcher Instance(DispatchOptions{});
    addEngines(Instance, Count);
    Memory.push_back({double(Count), double(bytesInUse() - Empty) / 1024});
    DispatchActions Out;
    Reports.push_back({double(Count), microsecondsOf([&] {
                         for (int I = 0; I < Count; ++I)
                           Instance.onLoad(
                               {nameOf("127.0.0.1:", 10000 + I)},
                               {0, 10, 30, std::chrono::milliseconds(20), {}},
                               Start, Out);
                       })});
  }
  fit("dispatcher_by_engines", "KiB", Memory);
  fit("load_reports_by_engines", "us", Reports);
}

void measureRequests() {
  std::vector<Point> Memory;
  std::vector<Point> Tick;
  for (const int Count : {500, 1500, 4500}) {
    Dispatcher Instance(DispatchOptions{});
    addEngines(Instance, 70);
    const std::uint64_t Empty = bytesInUse();
    DispatchActions Out;
    for (int I = 0; I < Count; ++I) {
      GenerationSpec Item;
      Item.Request_.Value_ = nameOf("instance-1000-1-", I);
      Item.Organisation_.Value_ = nameOf("organisation-", I % 100);
      Item.Model_ = {nameOf("model-", I % 35)};
      Item.PromptTokens_ = 4000;
      Item.MaxOutputTokens_ = 200;
      Item.PrefixHashes_.resize(16);
      Item.Arrival_ = Start;
      Item.Deadline_ = Start + std::chrono::seconds(60);
      Instance.submit(std::move(Item), Start, Out);
      Out.clear();
    }
    Memory.push_back({double(Count), double(bytesInUse() - Empty) / 1024});
    Tick.push_back({double(Count),
                    microsecondsOf([&] {
                      for (int I = 1; I <= 10; ++I)
                        Instance.tick(Start + I * std::chrono::milliseconds(10),
                                      Out);
                    }) / 10});
  }
  fit("dispatcher_by_requests", "KiB", Memory);
  fit("dispatcher_tick_by_requests", "us", Tick);
}

void measureRevisions() {
  std::vector<Point> Time;
  std::vector<Point> Memory;
  for (const int Count : {1000, 4000, 12000}) {
    ConfigDelta All;
    for (int I = 0; I < 9000; ++I) {
      Organisation Value;
      Value.Name_.Value_ = nameOf("organisation-", I);
      All.push_back({refOf(Value), Value});
    }
    Configuration Config = Configuration().withChanges(All, 1);
    const std::uint64_t Before = bytesInUse();
    Time.push_back({double(Count), microsecondsOf([&] {
                      for (int I = 0; I < Count; ++I) {
                        Organisation Value;
                        Value.Name_.Value_ = nameOf("organisation-", I % 9000);
                        const ConfigDelta One = {{refOf(Value), Value}};
                        Config = Config.withChanges(One, Config.revision() + 1);
                      }
                    })});
    const auto After = static_cast<double>(bytesInUse());
    Memory.push_back({double(Count), (After - double(Before)) / 1024});
  }
  fit("apply_by_revisions", "us", Time);
  fit("memory_by_revisions", "KiB", Memory);
}

/// Bytes on the wire, before framing.
void measureMessages() {
  std::vector<Point> Ask;
  for (const int Count : {0, 8, 16, 32}) {
    EnginePlacementRequest Message;
    Message.Spec_.Request_.Value_ = "instance-1000-1-123456";
    Message.Spec_.Organisation_.Value_ = "organisation-12345";
    Message.Spec_.Model_.Value_ = "model-12";
    Message.Spec_.PromptTokens_ = 4000;
    Message.Spec_.MaxOutputTokens_ = 500;
    Message.Spec_.PrefixHashes_.assign(static_cast<std::size_t>(Count), 7);
    Message.TimeLeft_ = std::chrono::seconds(60);
    Ask.push_back({double(Count), double(encodePlacement(Message).size())});
  }
  const RequestId Request{"instance-1000-1-123456"};
  const BackendId Engine{"127.0.0.1:25000"};
  const GenerationProgress Step{Request, ProgressKind::Imported, 4000,
                                std::chrono::milliseconds(400)};
  std::printf(
      "placed_bytes,1,%zu,bytes\n",
      encodePlacement(PlacementAssigned{Request, Engine, Engine}).size());
  std::printf("step_bytes,1,%zu,bytes\n", encodePlacement(Step).size());
  std::printf(
      "heartbeat_bytes,1,%zu,bytes\n",
      encodePeerMessage(MembershipMessage(Heartbeat{100000, 2000, 90000}))
          .size());
  fit("ask_by_prefixes", "bytes", Ask);
  std::vector<Point> Shares;
  for (const int Count : {1, 8, 64}) {
    LimitMessage Message;
    for (int I = 0; I < Count; ++I) {
      ShareTransfer Transfer;
      Transfer.Organisation_ = 0x123456789abcdef;
      Transfer.Generation_ = 2000;
      Message.Transfers_.push_back(Transfer);
      Message.Demands_.push_back({0x123456789abcdef, 4500000, 4500000, 100000});
    }
    Shares.push_back(
        {double(Count), double(encodePeerMessage(Message).size())});
  }
  fit("limit_message_by_organisations", "bytes", Shares);
}

} // namespace

int main() {
  measureMessages();
  measureOrganisations();
  measureInstances();
  measureEngines();
  measureRequests();
  measureRevisions();
  return 0;
}

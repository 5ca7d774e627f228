#include "peers/LimitCodec.h"

#include <peer.pb.h>

namespace gooseberry {

namespace {

void writeLists(const LimitMessage &Message, wire::Limits &Wire) {
  for (const ShareDemand &Each : Message.Demands_) {
    wire::Demand &To = *Wire.add_demands();
    To.set_organisation(Each.Organisation_);
    To.set_want(Each.Requested_);
    To.set_least(Each.Minimum_);
    To.set_rate(Each.RatePerSecond_);
  }
  for (const ShareRecall &Each : Message.Recalls_) {
    wire::Recall &To = *Wire.add_recalls();
    To.set_organisation(Each.Organisation_);
    To.set_keep_rate_units(Each.KeepRateUnits_);
    To.set_burst_short(Each.IsBurstShort_);
  }
  for (const ShareShortage &Each : Message.Shortages_) {
    wire::Shortage &To = *Wire.add_shortages();
    To.set_organisation(Each.Organisation_);
    To.set_available_after_us(Each.AvailableAfter_.count());
  }
}

void writeReports(const LimitMessage &Message, wire::Limits &Wire) {
  for (const ShardReport &Each : Message.Reports_) {
    wire::Report &To = *Wire.add_reports();
    To.set_shard(Each.Shard_);
    To.set_generation(Each.Generation_);
    To.set_revision(Each.Revision_);
    for (const HeldShare &Held : Each.Holdings_) {
      wire::Held &ToHeld = *To.add_holdings();
      ToHeld.set_organisation(Held.Organisation_);
      ToHeld.set_rate_units(Held.Share_.RateUnits_);
      ToHeld.set_burst_units(Held.Share_.BurstUnits_);
    }
  }
  for (const ShardReportAck &Each : Message.ReportAcks_) {
    wire::ReportAck &To = *Wire.add_report_acks();
    To.set_shard(Each.Shard_);
    To.set_generation(Each.Generation_);
  }
}

ShardReport readReport(const wire::Report &Wire) {
  ShardReport Report{Wire.shard(), Wire.generation(), Wire.revision(), {}};
  Report.Holdings_.reserve(Wire.holdings_size());
  for (const wire::Held &Each : Wire.holdings())
    Report.Holdings_.push_back(
        {Each.organisation(), {Each.rate_units(), Each.burst_units()}});
  return Report;
}

void readTransfers(const wire::Limits &Wire, LimitMessage &Message) {
  Message.Transfers_.reserve(Wire.transfers_size());
  for (const wire::Transfer &Each : Wire.transfers())
    Message.Transfers_.push_back(
        {Each.organisation(),
         Each.generation(),
         {{Each.rate_units(), Each.burst_units()}, Each.level()}});
}

} // namespace

void writeLimits(const LimitMessage &Message, wire::Limits &Wire) {
  Wire.set_first_sequence(Message.FirstSequence_);
  Wire.set_applied_up_to(Message.AppliedUpTo_);
  for (const ShareTransfer &Each : Message.Transfers_) {
    wire::Transfer &To = *Wire.add_transfers();
    To.set_organisation(Each.Organisation_);
    To.set_generation(Each.Generation_);
    To.set_rate_units(Each.Part_.Share_.RateUnits_);
    To.set_burst_units(Each.Part_.Share_.BurstUnits_);
    To.set_level(Each.Part_.Level_);
  }
  writeLists(Message, Wire);
  writeReports(Message, Wire);
}

LimitMessage readLimits(const wire::Limits &Wire) {
  LimitMessage Message;
  Message.FirstSequence_ = Wire.first_sequence();
  Message.AppliedUpTo_ = Wire.applied_up_to();
  readTransfers(Wire, Message);
  for (const wire::Demand &Each : Wire.demands())
    Message.Demands_.push_back(
        {Each.organisation(), Each.want(), Each.least(), Each.rate()});
  for (const wire::Recall &Each : Wire.recalls())
    Message.Recalls_.push_back(
        {Each.organisation(), Each.keep_rate_units(), Each.burst_short()});
  for (const wire::Shortage &Each : Wire.shortages())
    Message.Shortages_.push_back(
        {Each.organisation(), Duration(Each.available_after_us())});
  for (const wire::Report &Each : Wire.reports())
    Message.Reports_.push_back(readReport(Each));
  for (const wire::ReportAck &Each : Wire.report_acks())
    Message.ReportAcks_.push_back({Each.shard(), Each.generation()});
  return Message;
}

} // namespace gooseberry

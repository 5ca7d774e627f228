/// \file
/// What the sweep of KV holdings sees of requests and membership.
#ifndef GOOSEBERRYBEAM_DAEMON_MEMBERSHIPVIEW_H
#define GOOSEBERRYBEAM_DAEMON_MEMBERSHIPVIEW_H

#include "gooseberrybeam/daemon/GenerationDesk.h"
#include "gooseberrybeam/leases/HoldingView.h"
#include "gooseberrybeam/membership/EpochDocument.h"

#include <map>
#include <set>

namespace gooseberry {

/// Follows the membership on the control thread. A holder is known gone when
/// membership says so, or when no epoch has listed it for a while, which
/// covers processes that died before this one started.
class MembershipView : public HoldingView {
public:
  /// \param Self this process.
  /// \param Desk knows the active requests; outlives the view.
  MembershipView(Holder Self, const GenerationDesk &Desk);

  /// \param Document the epoch in force.
  void adoptEpoch(const EpochDocument &Document);

  /// \param Id a former member whose lease has lapsed for certain.
  void noteGone(const MemberId &Id) { Gone_.insert(Id); }

  /// Notices time; called at least once a second.
  /// \param Now the clock.
  /// \param IsLeaseValid whether this instance's lease, and so its epoch, is
  /// valid.
  void tick(TimePoint Now, bool IsLeaseValid);

private:
  bool onIsActive(const RequestId &Request) const override;
  HolderStatus onStatusOf(const Holder &Value) const override;
  bool onIsSweeper(const BackendId &Engine) const override;
  bool isListed(const Holder &Value) const;

  Holder Self_;
  const GenerationDesk &Desk_;
  EpochDocument Document_;
  std::set<MemberId> Gone_;
  Duration ValidFor_ = Duration::zero(); ///< Total time with a valid lease.
  TimePoint LastTick_;
  /// Holders that no epoch lists, and `ValidFor_` when first asked about.
  mutable std::map<Holder, Duration> Unlisted_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_DAEMON_MEMBERSHIPVIEW_H

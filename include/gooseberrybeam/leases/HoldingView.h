/// \file
/// The view of requests and members that `HoldingSweeper` depends on.
#ifndef GOOSEBERRYBEAM_LEASES_HOLDINGVIEW_H
#define GOOSEBERRYBEAM_LEASES_HOLDINGVIEW_H

#include "gooseberrybeam/leases/KvHolding.h"

#include <cstdint>

namespace gooseberry {

/// State of a holder as known to this instance.
enum class HolderStatus : std::uint8_t {
  Self,      ///< This process.
  Member,    ///< Another member, which may still serve.
  Gone,      ///< A process that certainly no longer serves.
  Uncertain, ///< None of these; its holdings must not be freed.
};

/// Read-only view of local requests and of the membership.
class HoldingView {
public:
  virtual ~HoldingView() = default;

  /// \param Request a request of this process.
  /// \returns whether it is still in progress here. A request is active from
  /// before its first engine call until its last one has ended, and never
  /// becomes active again.
  bool isActive(const RequestId &Request) const { return onIsActive(Request); }

  /// \param Value a holder.
  /// \returns its state.
  HolderStatus statusOf(const Holder &Value) const { return onStatusOf(Value); }

  /// \param Engine an engine.
  /// \returns whether this instance is its sweeper, which rendezvous hashing
  /// over the members selects.
  bool isSweeper(const BackendId &Engine) const { return onIsSweeper(Engine); }

private:
  virtual bool onIsActive(const RequestId &Request) const = 0;
  virtual HolderStatus onStatusOf(const Holder &Value) const = 0;
  virtual bool onIsSweeper(const BackendId &Engine) const = 0;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_LEASES_HOLDINGVIEW_H

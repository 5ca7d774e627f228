/// \file
/// What the sweep of KV holdings needs to know of requests and instances.
#ifndef GOOSEBERRYBEAM_LEASES_HOLDINGVIEW_H
#define GOOSEBERRYBEAM_LEASES_HOLDINGVIEW_H

#include "gooseberrybeam/leases/KvHolding.h"

#include <cstdint>

namespace gooseberry {

/// What is known of a holder.
enum class HolderStatus : std::uint8_t {
  Self,      ///< This process.
  Member,    ///< Another process that may still serve.
  Gone,      ///< A process that certainly serves no more.
  Uncertain, ///< Neither; its holdings are left alone.
};

/// Read-only view of local requests and of the membership.
class HoldingView {
public:
  virtual ~HoldingView() = default;

  /// \param Request a request of this process.
  /// \returns whether it is still in progress here. A request is active from
  /// before its first engine call until its last one has ended; once it is not
  /// active it never is again.
  bool isActive(const RequestId &Request) const { return onIsActive(Request); }

  /// \param Value a holder.
  /// \returns what is known of it.
  HolderStatus statusOf(const Holder &Value) const { return onStatusOf(Value); }

  /// \param Engine an engine.
  /// \returns whether this instance sweeps it, by rendezvous hashing over the
  /// members.
  bool isSweeper(const BackendId &Engine) const { return onIsSweeper(Engine); }

private:
  virtual bool onIsActive(const RequestId &Request) const = 0;
  virtual HolderStatus onStatusOf(const Holder &Value) const = 0;
  virtual bool onIsSweeper(const BackendId &Engine) const = 0;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_LEASES_HOLDINGVIEW_H

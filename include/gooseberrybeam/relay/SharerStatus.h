/// \file
/// Whether the other instances still count this one.
#ifndef GOOSEBERRYBEAM_RELAY_SHARERSTATUS_H
#define GOOSEBERRYBEAM_RELAY_SHARERSTATUS_H

#include "gooseberrybeam/base/Time.h"

#include <optional>

namespace gooseberry {

/// What an instance knows of its contact with the other instances.
struct MemberContact {
  bool KnowsMembers_ = false; ///< It has read the registered instances.
  bool IsLeaving_ = false;    ///< It shuts down and has unregistered.
  bool IsHome_ = false;
  bool IsStoreReadable_ = false;
  /// When the home was last heard; none if never, or if this is the home.
  std::optional<TimePoint> HomeHeardAt_;
};

/// Whether the other instances still count this one among those that share a
/// budget. An instance that the home no longer hears is unregistered after
/// some time, and the others then divide its share. It gives its share up
/// before that.
class SharerStatus {
public:
  /// How long an instance without contact is still counted; shorter than the
  /// time after which a silent instance is unregistered.
  static constexpr Duration CountedWithoutContact = std::chrono::seconds(10);
  /// A home that has sent nothing for longer does not hear this instance.
  static constexpr Duration MaxHomeSilence = std::chrono::seconds(1);

  /// Called several times a second.
  /// \param Contact the present contact.
  /// \param Now the current time.
  void update(const MemberContact &Contact, TimePoint Now) {
    if (hasContact(Contact, Now))
      LastContactAt_ = Now;
  }
  /// \param Now the current time.
  /// \returns whether the others still count this instance.
  bool isCounted(TimePoint Now) const {
    return LastContactAt_ && Now <= *LastContactAt_ + CountedWithoutContact;
  }

private:
  static bool hasContact(const MemberContact &Contact, TimePoint Now) {
    if (!Contact.KnowsMembers_ || Contact.IsLeaving_)
      return false;
    if (Contact.IsHome_)
      return Contact.IsStoreReadable_;
    return Contact.HomeHeardAt_ &&
           Now <= *Contact.HomeHeardAt_ + MaxHomeSilence;
  }

  std::optional<TimePoint> LastContactAt_; ///< None before the first one.
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_SHARERSTATUS_H

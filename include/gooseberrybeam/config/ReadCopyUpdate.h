/// \file
/// Read-copy-update (RCU) with liburcu, annotated for ThreadSanitizer.
#ifndef GOOSEBERRYBEAM_CONFIG_READCOPYUPDATE_H
#define GOOSEBERRYBEAM_CONFIG_READCOPYUPDATE_H

namespace gooseberry {

/// An RCU read-side critical section. Data that was reachable when the section
/// began is not freed before it ends. Takes no lock; must be short, because
/// `waitForReaders` blocks until it ends.
class ReadSection {
public:
  /// \param Address the address of the protected pointer; used only for
  ///   ThreadSanitizer annotations.
  explicit ReadSection(const void *Address);
  ~ReadSection();
  ReadSection(const ReadSection &) = delete;
  ReadSection &operator=(const ReadSection &) = delete;

private:
  const void *Address_;
};

/// Blocks until all read sections that began before the call have ended. Must
/// not be called within a read section.
/// \param Address the address of the protected pointer; used only for
///   ThreadSanitizer annotations.
void waitForReaders(const void *Address);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_CONFIG_READCOPYUPDATE_H

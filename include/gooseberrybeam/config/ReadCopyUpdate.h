/// \file
/// Read-copy-update by liburcu, annotated for ThreadSanitizer.
#ifndef GOOSEBERRYBEAM_CONFIG_READCOPYUPDATE_H
#define GOOSEBERRYBEAM_CONFIG_READCOPYUPDATE_H

namespace gooseberry {

/// A read-side critical section. What was reachable when it began is not freed
/// before it ends. It takes no lock and must be short.
class ReadSection {
public:
  /// \param Address the address whose data is read, for annotations only.
  explicit ReadSection(const void *Address);
  ~ReadSection();
  ReadSection(const ReadSection &) = delete;
  ReadSection &operator=(const ReadSection &) = delete;

private:
  const void *Address_;
};

/// Waits until every read section that had begun has ended. Not to be called
/// within one.
/// \param Address the address whose data was unpublished.
void waitForReaders(const void *Address);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_CONFIG_READCOPYUPDATE_H

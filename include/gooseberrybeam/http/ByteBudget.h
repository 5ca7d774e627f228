/// \file
/// A bound on the bytes that all connections together hold in memory.
#ifndef GOOSEBERRYBEAM_HTTP_BYTEBUDGET_H
#define GOOSEBERRYBEAM_HTTP_BYTEBUDGET_H

#include <cstddef>
#include <memory>
#include <utility>

namespace gooseberry {

/// Bounds what all bodies that are being received hold together. A body may
/// grow while it is no larger than what would then still be free. So one body
/// may be large, many endless ones leave room for others, and small bodies are
/// always held. Used on one thread only.
class ByteBudget {
public:
  /// A body of this size is held whatever the others hold.
  static constexpr std::size_t SmallBytes = std::size_t{16} << 10;

  /// \param Total the bytes that may be held, besides those of small bodies.
  explicit ByteBudget(std::size_t Total) : Total_(Total) {}

  /// \returns the bytes that are held.
  std::size_t heldBytes() const { return Held_; }

  /// Changes the size of a body that is held.
  /// \param Present its present size.
  /// \param Next its next size.
  /// \returns false, without a change, if it may not grow so far.
  bool tryResize(std::size_t Present, std::size_t Next);

private:
  std::size_t Total_;
  std::size_t Held_ = 0;
};

/// What one body holds of a budget, for its own lifetime.
class HeldBytes {
public:
  /// Holds nothing, and has no bound.
  HeldBytes() = default;
  /// \param Budget the budget; null for no bound.
  explicit HeldBytes(std::shared_ptr<ByteBudget> Budget)
      : Budget_(std::move(Budget)) {}
  ~HeldBytes();
  HeldBytes(HeldBytes &&Other) noexcept;
  HeldBytes &operator=(HeldBytes &&Other) noexcept;

  /// \param Bytes the next size of the body.
  /// \returns false, without a change, if the budget does not allow it.
  bool tryResize(std::size_t Bytes);

private:
  std::shared_ptr<ByteBudget> Budget_;
  std::size_t Bytes_ = 0;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_HTTP_BYTEBUDGET_H

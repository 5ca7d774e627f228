/// \file
/// A persistent (immutable) map with structural sharing.
#ifndef GOOSEBERRYBEAM_CONFIG_SHAREDMAP_H
#define GOOSEBERRYBEAM_CONFIG_SHAREDMAP_H

#include <cassert>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>
#include <utility>
#include <vector>

namespace gooseberry {

/// \returns the XXH3 hash of \p Key.
std::uint64_t hashMapKey(std::string_view Key);

/// A persistent hash trie. A derived map copies only the path to the changed
/// entry; lookups do not allocate. The key of a value is `asMapKey(const T &)`,
/// found by argument-dependent lookup.
/// \tparam T the type of the values.
template <typename T> class SharedMap {
public:
  using ValuePtr = std::shared_ptr<const T>;

  /// \returns the value with \p Key, or null. The pointer is valid for the
  ///   lifetime of this map.
  const T *find(std::string_view Key) const {
    const std::uint64_t Hash = hashMapKey(Key);
    const Node *Current = Root_.get();
    for (unsigned Depth = 0; Current && !Current->Children_.empty(); ++Depth)
      Current = Current->Children_[slotOf(Hash, Depth)].get();
    if (!Current)
      return nullptr;
    const std::size_t Index = indexOf(*Current, Hash, Key);
    return Index < Current->Entries_.size()
               ? Current->Entries_[Index].Value_.get()
               : nullptr;
  }

  /// \param Value the value, not null.
  /// \returns a copy of this map in which \p Value is inserted or replaces the
  ///   value with the same key.
  SharedMap withValue(ValuePtr Value) const {
    assert(Value);
    const std::string_view Key = asMapKey(*Value);
    SharedMap Derived;
    Derived.Size_ = Size_ + (find(Key) ? 0 : 1);
    Derived.Root_ =
        inserted(Root_, Entry{hashMapKey(Key), std::move(Value)}, 0);
    return Derived;
  }

  /// \returns a copy of this map without the value with \p Key, if any.
  SharedMap withoutKey(std::string_view Key) const {
    if (!find(Key))
      return *this;
    SharedMap Derived;
    Derived.Size_ = Size_ - 1;
    Derived.Root_ = erased(Root_, hashMapKey(Key), Key, 0);
    return Derived;
  }

  std::size_t size() const { return Size_; }

  /// Visits every value, in an order determined by the hashes of the keys.
  /// \param Visit called with each value and the hash of its key.
  template <typename Visitor> void forEach(Visitor &&Visit) const {
    visit(Root_.get(), Visit);
  }

private:
  struct Node;
  using NodePtr = std::shared_ptr<const Node>;

  struct Entry {
    std::uint64_t Hash_ = 0;
    ValuePtr Value_;
  };

  /// An inner node has children, a leaf has entries.
  struct Node {
    std::vector<NodePtr> Children_;
    std::vector<Entry> Entries_;
  };

  static constexpr unsigned BitsPerLevel = 4;
  static constexpr std::size_t Fanout = 1U << BitsPerLevel;
  static constexpr unsigned MaxDepth = 64 / BitsPerLevel;
  static constexpr std::size_t LeafCapacity = 12;

  static std::size_t slotOf(std::uint64_t Hash, unsigned Depth) {
    return (Hash >> (BitsPerLevel * Depth)) & (Fanout - 1);
  }

  static std::size_t indexOf(const Node &Leaf, std::uint64_t Hash,
                             std::string_view Key) {
    std::size_t Index = 0;
    for (const Entry &Current : Leaf.Entries_) {
      if (Current.Hash_ == Hash && asMapKey(*Current.Value_) == Key)
        break;
      ++Index;
    }
    return Index;
  }

  static NodePtr inserted(const NodePtr &Original, Entry Added,
                          unsigned Depth) {
    auto Copy =
        Original ? std::make_shared<Node>(*Original) : std::make_shared<Node>();
    if (!Copy->Children_.empty()) {
      NodePtr &Child = Copy->Children_[slotOf(Added.Hash_, Depth)];
      Child = inserted(Child, std::move(Added), Depth + 1);
      return Copy;
    }
    const std::size_t Index =
        indexOf(*Copy, Added.Hash_, asMapKey(*Added.Value_));
    if (Index < Copy->Entries_.size())
      Copy->Entries_[Index] = std::move(Added);
    else
      Copy->Entries_.push_back(std::move(Added));
    if (Copy->Entries_.size() > LeafCapacity && Depth < MaxDepth)
      split(*Copy, Depth);
    return Copy;
  }

  static void split(Node &Leaf, unsigned Depth) {
    std::vector<Entry> Entries = std::move(Leaf.Entries_);
    Leaf.Entries_.clear();
    Leaf.Children_.resize(Fanout);
    for (Entry &Moved : Entries) {
      NodePtr &Child = Leaf.Children_[slotOf(Moved.Hash_, Depth)];
      Child = inserted(Child, std::move(Moved), Depth + 1);
    }
  }

  static NodePtr erased(const NodePtr &Original, std::uint64_t Hash,
                        std::string_view Key, unsigned Depth) {
    auto Copy = std::make_shared<Node>(*Original);
    if (!Copy->Children_.empty()) {
      NodePtr &Child = Copy->Children_[slotOf(Hash, Depth)];
      Child = erased(Child, Hash, Key, Depth + 1);
      return Copy;
    }
    const std::size_t Index = indexOf(*Copy, Hash, Key);
    assert(Index < Copy->Entries_.size());
    Copy->Entries_.erase(Copy->Entries_.begin() +
                         static_cast<std::ptrdiff_t>(Index));
    return Copy;
  }

  template <typename Visitor>
  static void visit(const Node *Current, Visitor &Visit) {
    if (!Current)
      return;
    for (const NodePtr &Child : Current->Children_)
      visit(Child.get(), Visit);
    for (const Entry &Found : Current->Entries_)
      Visit(*Found.Value_, Found.Hash_);
  }

  NodePtr Root_;
  std::size_t Size_ = 0;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_CONFIG_SHAREDMAP_H

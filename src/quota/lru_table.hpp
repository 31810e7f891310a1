// Entries by key with their order of use, the least recent first. It never evicts by itself: who may go is
// the owner's to decide. References stay good until their entry goes. Cost: a hash look-up and a splice a
// touch; two allocations an entry.
#pragma once

#include <cstddef>
#include <list>
#include <unordered_map>

namespace burlwind::quota {

template <class Key, class Entry>
class LruTable {
 public:
  using Place = typename std::list<Entry>::iterator;
  // The entry, left where it is; nullptr: none.
  Entry* peek(const Key& key) {
    const auto found = places_.find(key);
    return found == places_.end() ? nullptr : &*found->second;
  }
  const Entry* peek(const Key& key) const {
    const auto found = places_.find(key);
    return found == places_.end() ? nullptr : &*found->second;
  }
  // The entry, moved to the recent end; nullptr: none.
  Entry* touch(const Key& key) {
    const auto found = places_.find(key);
    if (found == places_.end()) return nullptr;
    entries_.splice(entries_.end(), entries_, found->second);
    return &*found->second;
  }
  // A new entry at the recent end. There must be none of this key.
  Entry& add(const Key& key, Entry entry = {}) {
    entries_.push_back(std::move(entry));
    places_[key] = std::prev(entries_.end());
    return entries_.back();
  }
  void drop(const Key& key, Place place) {
    places_.erase(key);
    entries_.erase(place);
  }
  std::size_t size() const { return entries_.size(); }
  Place begin() { return entries_.begin(); }
  Place end() { return entries_.end(); }
  auto begin() const { return entries_.begin(); }
  auto end() const { return entries_.end(); }

 private:
  std::list<Entry> entries_;
  std::unordered_map<Key, Place> places_;
};

}  // namespace burlwind::quota

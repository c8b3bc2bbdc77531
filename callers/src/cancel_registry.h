/// Finds the session a cancel key belongs to, from any thread.
#ifndef CARDAMOMCHUTE_CALLERS_SRC_CANCEL_REGISTRY_H_
#define CARDAMOMCHUTE_CALLERS_SRC_CANCEL_REGISTRY_H_

#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace cardamomchute {

/// What a caller must send to cancel its own statement. Keys are random: a key
/// of another VM is not known here, and is ignored.
struct CancelKey {
  uint32_t pid = 0;
  uint32_t secret = 0;

  friend bool operator==(const CancelKey&, const CancelKey&) = default;
};

template <typename Target>
class CancelRegistry {
 public:
  /// A fresh key for `target`.
  CancelKey Add(Target target, const std::function<uint32_t()>& random) {
    std::lock_guard<std::mutex> lock(mutex_);
    CancelKey key{0, random()};
    do {
      key.pid = random() & kPidMask;
    } while (key.pid == 0 || entries_.contains(key.pid));
    entries_.emplace(key.pid, Entry{key.secret, std::move(target)});
    return key;
  }

  void Remove(const CancelKey& key) {
    std::lock_guard<std::mutex> lock(mutex_);
    entries_.erase(key.pid);
  }

  std::optional<Target> Find(const CancelKey& key) const {
    std::lock_guard<std::mutex> lock(mutex_);
    typename std::unordered_map<uint32_t, Entry>::const_iterator found =
        entries_.find(key.pid);
    bool known = found != entries_.end() && found->second.secret == key.secret;
    if (!known) return std::nullopt;
    return found->second.target;
  }

 private:
  static constexpr uint32_t kPidMask = 0x7fffffff;
  struct Entry {
    uint32_t secret;
    Target target;
  };
  mutable std::mutex mutex_;
  std::unordered_map<uint32_t, Entry> entries_;
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_CALLERS_SRC_CANCEL_REGISTRY_H_

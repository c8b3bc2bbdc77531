/// Weights for rendezvous hashing (FNV-1a with a final mix), equal on every VM.
#ifndef CARDAMOMCHUTE_POLICY_SRC_RENDEZVOUS_H_
#define CARDAMOMCHUTE_POLICY_SRC_RENDEZVOUS_H_

#include <cstdint>
#include <string_view>

namespace cardamomchute::detail {

inline constexpr uint64_t kHashStart = 1469598103934665603ULL;
inline constexpr uint64_t kHashPrime = 1099511628211ULL;

/// Continues a hash with `text` and a separator.
inline uint64_t ContinueHash(uint64_t hash, std::string_view text) {
  for (char c : text)
    hash = (hash ^ static_cast<unsigned char>(c)) * kHashPrime;
  return (hash ^ '/') * kHashPrime;
}

/// Ends a hash: without this, similar texts have similar weights.
inline uint64_t MixHash(uint64_t hash) {
  hash ^= hash >> 33;
  hash *= 0xff51afd7ed558ccdULL;
  return hash ^ (hash >> 33);
}

}  // namespace cardamomchute::detail

#endif  // CARDAMOMCHUTE_POLICY_SRC_RENDEZVOUS_H_

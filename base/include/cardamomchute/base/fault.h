/// One fault of a file that people write: where, what, and what to write
/// instead.
#ifndef CARDAMOMCHUTE_BASE_FAULT_H_
#define CARDAMOMCHUTE_BASE_FAULT_H_

#include <cstdint>
#include <string>

namespace cardamomchute {

struct Fault {
  std::string key;
  uint32_t line = 0;  ///< from 1; 0 when the key is missing
  std::string what;
  std::string remedy;

  friend bool operator==(const Fault&, const Fault&) = default;
};

/// "line 4: listen.callers: not an address; write \"IP:port\""
std::string ToString(const Fault& fault);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_BASE_FAULT_H_

#include "cardamomchute/base/ids.h"

namespace cardamomchute {

std::string ToString(const Address& address) {
  bool is_v6 = address.host.find(':') != std::string::npos;
  std::string host = is_v6 ? "[" + address.host + "]" : address.host;
  return host + ":" + std::to_string(address.port);
}

std::string ToString(const Floor& floor) {
  return std::to_string(floor.term.value()) + "/" +
         std::to_string(floor.position.value());
}

}  // namespace cardamomchute

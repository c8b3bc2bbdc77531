#include "cardamomchute/policy/quorum/control_choice.h"

#include <algorithm>

#include "rendezvous.h"

namespace cardamomchute {
namespace {

uint64_t Weight(const VmId& relay, const Address& member) {
  uint64_t hash = detail::ContinueHash(detail::kHashStart, relay.value());
  return detail::MixHash(detail::ContinueHash(hash, ToString(member)));
}

}  // namespace

std::vector<Address> RankMembers(const VmId& relay,
                                 std::vector<Address> members) {
  std::sort(members.begin(), members.end(),
            [&relay](const Address& a, const Address& b) {
              return Weight(relay, a) > Weight(relay, b);
            });
  return members;
}

}  // namespace cardamomchute

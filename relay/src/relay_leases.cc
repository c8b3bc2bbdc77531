/// A relay's leases on the primaries of groups.
#include "cardamomchute/base/log.h"
#include "cardamomchute/relay/relay.h"

namespace cardamomchute {

void Relay::AskLease(const GroupId& group) {
  Time now = Now();
  auto asked = lease_asked_.find(group);
  bool recent = asked != lease_asked_.end() &&
                now - asked->second < kLeaseRequestInterval;
  if (recent) return;
  lease_asked_[group] = now;
  lease_requests_[++next_lease_request_] = LeaseRequest{group, now};
  params_.ask_leases(next_lease_request_, {group});
}

void Relay::OnLeases(uint64_t number, Duration valid,
                     const std::map<GroupId, EndpointId>& primaries,
                     const std::map<GroupId, Term>& terms) {
  auto request = lease_requests_.find(number);
  if (request == lease_requests_.end()) return;
  Time asked = request->second.asked;
  lease_requests_.erase(request);
  for (const auto& [group, endpoint] : primaries) {
    auto term = terms.find(group);
    HeldLease& lease = leases_[group];
    lease = ExtendLease(lease, endpoint, asked, valid,
                        term == terms.end() ? Term() : term->second);
    auto pool = pools_.find(endpoint);
    if (pool != pools_.end()) pool->second->SetLease(lease);
  }
}

void Relay::RevokeLease(const GroupId& group) {
  bool held = leases_.erase(group) > 0;
  lease_asked_.erase(group);
  size_t dropped = std::erase_if(lease_requests_, [&group](const auto& item) {
    return item.second.group == group;
  });
  LogLine(LogLevel::kInfo, "lease_revoked")
      .Field("group", group)
      .Field("held", held)
      .Field("requests_dropped", dropped);
  for (const auto& [id, pool] : pools_) {
    if (pool->group() == group) pool->SetLease(HeldLease());
  }
}

}  // namespace cardamomchute

#include "cardamomchute/policy/primary_lease.h"

#include <algorithm>

namespace cardamomchute {

Time LeaseEnd(Time confirmed) { return confirmed + kPrimaryLease; }

void BeginLeadership(LeaseLedger& ledger, Time now) {
  ledger.ends.clear();
  ledger.inherited = LeaseEnd(now);
}

void RecordGrants(LeaseLedger& ledger, const GrantableLeases& granted) {
  for (const auto& [group, endpoint] : granted.primaries) {
    Time& end = ledger.ends[group];
    end = std::max(end, granted.until);
  }
}

Time LeasesEnd(const LeaseLedger& ledger, const GroupId& group) {
  auto end = ledger.ends.find(group);
  if (end == ledger.ends.end()) return ledger.inherited;
  return std::max(end->second, ledger.inherited);
}

HeldLease ExtendLease(const HeldLease& held, const EndpointId& endpoint,
                      Time asked, Duration valid, Term term) {
  Time until = asked + valid;
  bool unbroken =
      held.endpoint == endpoint && held.term == term && asked <= held.until;
  if (!unbroken) return HeldLease{endpoint, asked, until, term};
  return HeldLease{endpoint, held.since, std::max(held.until, until), term};
}

bool LeaseCovers(const HeldLease& lease, const EndpointId& endpoint, Time at,
                 Duration slack) {
  return lease.endpoint == endpoint && lease.since <= at &&
         at < lease.until + slack;
}

}  // namespace cardamomchute

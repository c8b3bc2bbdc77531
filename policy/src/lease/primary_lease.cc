#include "cardamomchute/policy/lease/primary_lease.h"

#include <algorithm>

namespace cardamomchute {

Time LeaseEnd(Time confirmed) { return confirmed + kPrimaryLease; }

Time OrderWindowEnd(Time confirmed) { return confirmed + kOrderWindow; }

void RecordGrant(LeaseEnds& ends, LeaseHolder holder, Time until) {
  Time& end = ends[holder];
  end = std::max(end, until);
}

LeaseEnds StillHeld(const LeaseEnds& ends, Time now) {
  LeaseEnds held = ends;
  std::erase_if(held, [now](const auto& item) { return item.second <= now; });
  return held;
}

void BeginLeadership(LeaseLedger& ledger, Time now) {
  ledger = LeaseLedger();
  ledger.since = now;
  ledger.inherited = LeaseEnd(now);
}

void RecordGrants(LeaseLedger& ledger, const GrantableLeases& granted) {
  for (const auto& [group, primary] : granted.primaries) {
    Time& end = ledger.ends[group];
    end = std::max(end, granted.until);
  }
}

Time LeasesEnd(const LeaseLedger& ledger, const GroupId& group) {
  Time end = ledger.given_back.contains(group) ? Time() : ledger.inherited;
  auto own = ledger.ends.find(group);
  return own == ledger.ends.end() ? end : std::max(end, own->second);
}

LeaseEnds MembersHolding(const LeaseLedger& ledger, const GroupId& group,
                         const std::vector<LeaseHolder>& members, Time now) {
  LeaseEnds holding;
  auto own = ledger.ends.find(group);
  if (own != ledger.ends.end()) {
    for (const auto& [member, until] : ledger.members)
      RecordGrant(holding, member, std::min(until, own->second));
  }
  if (!ledger.given_back.contains(group)) {
    for (LeaseHolder member : members)
      RecordGrant(holding, member, ledger.inherited);
  }
  return StillHeld(holding, now);
}

void RecordGivenBack(LeaseLedger& ledger, const GroupId& group) {
  ledger.ends.erase(group);
  ledger.given_back.insert(group);
}

uint64_t RevocationNumber(QuorumTerm term, uint64_t count) {
  return term.value() * kRevocationsPerTerm + count;
}

QuorumTerm RevocationTerm(uint64_t number) {
  return QuorumTerm(number / kRevocationsPerTerm);
}

Revocation BeginRevocation(uint64_t number, const LeaseEnds& holders,
                           Time now) {
  Revocation revocation;
  revocation.number = number;
  revocation.awaited = StillHeld(holders, now);
  return revocation;
}

bool ConfirmRevocation(Revocation& revocation, LeaseHolder holder,
                       uint64_t number) {
  if (number != revocation.number) return false;
  if (revocation.awaited.erase(holder) == 0) return false;
  ++revocation.confirmed;
  return true;
}

void ExpireAwaited(Revocation& revocation, Time now) {
  size_t awaited = revocation.awaited.size();
  revocation.awaited = StillHeld(revocation.awaited, now);
  revocation.expired += awaited - revocation.awaited.size();
}

void LeaveOutRevoked(const std::map<GroupId, TakenRevocation>& taken,
                     uint64_t request, GrantableLeases& leases) {
  for (const auto& [group, revocation] : taken) {
    if (request <= revocation.last_request) leases.primaries.erase(group);
  }
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

/// Which holder of an endpoint an organisation's statements go to. Pure
/// functions without I/O.
#ifndef CARDAMOMCHUTE_POLICY_ROUTING_HOLDER_CHOICE_H_
#define CARDAMOMCHUTE_POLICY_ROUTING_HOLDER_CHOICE_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "cardamomchute/policy/documents/layout.h"
#include "cardamomchute/policy/routing/directory.h"

namespace cardamomchute {

/// Returns the indexes of `holders` in the order in which the organisation's
/// statements prefer them (rendezvous hashing): a connection belongs to one
/// organisation, so that it is used most if few holders have one. VMs with the
/// same holders return the same order.
std::vector<size_t> HolderPreference(const OrganisationName& organisation,
                                     const EndpointId& endpoint,
                                     const std::vector<RelayRecord>& holders);

/// Moves holders that have more than `most_waiting` statements behind the
/// others, those with the fewest first. `waiting` is by index; 0 if unknown.
std::vector<size_t> SpillOver(std::vector<size_t> preference,
                              const std::vector<uint64_t>& waiting,
                              uint64_t most_waiting);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_POLICY_ROUTING_HOLDER_CHOICE_H_

/// Asks other VMs whether they reach an endpoint, and answers them.
#ifndef CARDAMOMCHUTE_APPS_OBSERVERS_H_
#define CARDAMOMCHUTE_APPS_OBSERVERS_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "cardamomchute/endpoints/owner.h"
#include "cardamomchute/peers/channel_mesh.h"
#include "cardamomchute/policy/quorum/view.h"

namespace cardamomchute {

/// How many other VMs are asked about one endpoint.
inline constexpr size_t kObservers = 4;

/// The live VMs to ask, those of other zones first, at most kObservers.
std::vector<VmState> ChooseObservers(const ClusterView& view, const VmId& self,
                                     const Zone& zone);

/// Asks the observers through the mesh; call on the mesh's thread.
AskObservers MakeAskObservers(std::shared_ptr<ChannelMesh> mesh, VmId self,
                              Zone zone, std::function<ViewPtr()> view);

/// Probes for other VMs from `thread`, which is the mesh's.
PeerRequestHandler MakeObserver(boost::asio::io_context* thread, VmId self,
                                std::function<ViewPtr()> view);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_APPS_OBSERVERS_H_

/// Multiplexes the channels between two VMs over one link in each direction.
/// Answers are sent in pieces, so that a large answer does not block the
/// others.
#ifndef CARDAMOMCHUTE_PEERS_CHANNEL_MESH_H_
#define CARDAMOMCHUTE_PEERS_CHANNEL_MESH_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cardamomchute/base/error.h"
#include "cardamomchute/base/ids.h"
#include "cardamomchute/base/tcp_listener.h"
#include "cardamomchute/channel/channel.h"
#include "cardamomchute/peers/link.h"

namespace cardamomchute {

inline constexpr uint32_t kMeshProtocol = 1;
inline constexpr Duration kConnectTimeout = Millis(1000);

/// First frame on every link of the mesh, sent by both ends.
struct MeshHello {
  uint32_t protocol = kMeshProtocol;
  VmId vm;
  MSGPACK_DEFINE(protocol, vm)
};

/// Handles a request of another VM. Calls `reply` exactly once, possibly
/// later.
using PeerRequestHandler = std::function<void(
    std::string request, std::function<void(std::string answer)> reply)>;

struct MeshParams {
  VmId vm;
  boost::asio::io_context* thread = nullptr;
  /// Opens a channel on this VM for another one; its sink runs on `thread`.
  ChannelOpener open_local;
  /// Handles requests of other VMs; may be empty, then they time out.
  PeerRequestHandler on_peer_request;
};

/// The links of one traffic thread. Not thread-safe: call it on that thread.
class ChannelMesh : public std::enable_shared_from_this<ChannelMesh> {
 public:
  explicit ChannelMesh(MeshParams params);

  /// Opens a channel to the VM that listens at `address`; connects first if
  /// there is no link. If the connection fails or is lost, the sink receives a
  /// ChannelReset.
  ToOwnerSink Open(const Address& address, const OpenChannel& open,
                   FromOwnerSink sink);

  /// Serves a connection that was accepted from another VM.
  void AddInbound(boost::asio::ip::tcp::socket socket);

  /// Sends a request to another VM. `done` receives the response, or nullopt
  /// if the link failed or no response arrived within `timeout`.
  void SendRequest(const Address& address, std::string request,
                   Duration timeout,
                   std::function<void(std::optional<std::string>)> done);

  /// Closes all links, with the effects of a lost link.
  void Close();
  size_t links() const { return outbound_.size() + inbound_.size(); }

 private:
  struct OutboundPeer;
  struct InboundPeer;

  std::shared_ptr<OutboundPeer> Dial(const Address& address);
  void OnConnected(const std::shared_ptr<OutboundPeer>& peer,
                   std::shared_ptr<Link> link);
  void OnOutboundFrame(const std::shared_ptr<OutboundPeer>& peer,
                       FrameType type, std::string_view body);
  void OnOutboundLost(const std::shared_ptr<OutboundPeer>& peer,
                      const std::string& reason);
  void OnInboundFrame(const std::shared_ptr<InboundPeer>& peer, FrameType type,
                      std::string_view body);
  void OnInboundLost(const std::shared_ptr<InboundPeer>& peer,
                     const std::string& reason);
  void OnChannelFrame(const std::shared_ptr<InboundPeer>& peer,
                      std::string_view body);

  MeshParams params_;
  uint64_t next_channel_ = 1;
  uint64_t next_request_ = 1;
  std::map<Address, std::shared_ptr<OutboundPeer>> outbound_;
  std::map<uint64_t, std::shared_ptr<InboundPeer>> inbound_;
  uint64_t next_inbound_ = 1;
};

/// Accepts connections of other VMs and assigns them to the meshes round robin.
class MeshListener {
 public:
  MeshListener(boost::asio::io_context* thread,
               std::vector<std::shared_ptr<ChannelMesh>> meshes,
               std::vector<boost::asio::io_context*> mesh_threads);
  ~MeshListener();
  MeshListener(const MeshListener&) = delete;
  MeshListener& operator=(const MeshListener&) = delete;

  /// Returns kIo if the address cannot be bound.
  Status Listen(const Address& address);
  /// The port that was bound; differs from the requested one if that was 0.
  uint16_t port() const { return listener_->port(); }
  void Close();

 private:
  void Assign(boost::asio::ip::tcp::socket socket);

  std::shared_ptr<TcpListener> listener_;
  std::vector<std::shared_ptr<ChannelMesh>> meshes_;
  std::vector<boost::asio::io_context*> mesh_threads_;
  size_t next_ = 0;  ///< mesh of the next connection
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_PEERS_CHANNEL_MESH_H_

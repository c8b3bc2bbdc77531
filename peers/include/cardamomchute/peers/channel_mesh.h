/// Channels between VMs: many channels share one link a pair of VMs, so that
/// answers overtake each other and one large answer never blocks the rest.
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
#include "cardamomchute/channel/channel.h"
#include "cardamomchute/peers/link.h"

namespace cardamomchute {

inline constexpr uint32_t kMeshProtocol = 1;
inline constexpr Duration kConnectTimeout = Millis(1000);

/// First frame on every link of the mesh, both ways.
struct MeshHello {
  uint32_t protocol = kMeshProtocol;
  VmId vm;
  MSGPACK_DEFINE(protocol, vm)
};

/// Answers another VM's question; `reply` may be called later, once.
using PeerRequestHandler = std::function<void(
    std::string question, std::function<void(std::string answer)> reply)>;

struct MeshParams {
  VmId vm;
  boost::asio::io_context* thread = nullptr;
  /// Opens a channel on this VM for another one; its sink runs on `thread`.
  ChannelOpener open_local;
  /// Answers Ask() of other VMs; may be empty.
  PeerRequestHandler on_peer_request;
};

/// The links of one traffic thread. Call from that thread only.
class ChannelMesh : public std::enable_shared_from_this<ChannelMesh> {
 public:
  explicit ChannelMesh(MeshParams params);

  /// Opens a channel at the VM that listens at `address`, connecting if need
  /// be. When the link can't be had or is lost the sink gets a ChannelReset.
  ToOwnerSink Open(const Address& address, const OpenChannel& open,
                   FromOwnerSink sink);

  /// Serves a connection that another VM made.
  void Adopt(boost::asio::ip::tcp::socket socket);

  /// Asks another VM; nothing when no answer came within `timeout`.
  void SendRequest(const Address& address, std::string question,
                   Duration timeout,
                   std::function<void(std::optional<std::string>)> done);

  void Close();
  size_t links() const { return dialed_.size() + adopted_.size(); }

 private:
  struct Dialed;
  struct Adopted;

  std::shared_ptr<Dialed> Dial(const Address& address);
  void OnDialed(const std::shared_ptr<Dialed>& peer,
                std::shared_ptr<Link> link);
  void OnDialedFrame(const std::shared_ptr<Dialed>& peer, FrameType type,
                     std::string_view body);
  void OnDialedLost(const std::shared_ptr<Dialed>& peer,
                    const std::string& reason);
  void OnAdoptedFrame(const std::shared_ptr<Adopted>& peer, FrameType type,
                      std::string_view body);
  void OnAdoptedLost(const std::shared_ptr<Adopted>& peer,
                     const std::string& reason);
  void OnChannelFrame(const std::shared_ptr<Adopted>& peer,
                      std::string_view body);

  MeshParams params_;
  uint64_t next_channel_ = 1;
  uint64_t next_question_ = 1;
  std::map<Address, std::shared_ptr<Dialed>> dialed_;
  std::map<uint64_t, std::shared_ptr<Adopted>> adopted_;
  uint64_t next_adopted_ = 1;
};

/// Accepts other VMs' connections and hands them to the meshes in turn.
class MeshListener {
 public:
  MeshListener(boost::asio::io_context* thread,
               std::vector<std::shared_ptr<ChannelMesh>> meshes,
               std::vector<boost::asio::io_context*> mesh_threads);

  /// kIo when the address can't be had.
  Status Listen(const Address& address);
  /// The port that was bound, for tests that ask for port 0.
  uint16_t port() const { return port_; }
  void Close();

 private:
  void Accept();
  void AcceptLater();

  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer retry_;
  std::vector<std::shared_ptr<ChannelMesh>> meshes_;
  std::vector<boost::asio::io_context*> mesh_threads_;
  size_t next_ = 0;
  uint16_t port_ = 0;
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_PEERS_CHANNEL_MESH_H_

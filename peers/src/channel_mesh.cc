#include "cardamomchute/peers/channel_mesh.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <utility>

#include "cardamomchute/base/log.h"
#include "channel_frame.h"

namespace cardamomchute {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

/// Delay before accepting again after an error.

/// A request, or the response to the request of the same number.
struct RequestFrame {
  uint64_t number = 0;
  bool answer = false;
  std::string body;
  MSGPACK_DEFINE(number, answer, body)
};

struct PendingRequest {
  explicit PendingRequest(asio::io_context* thread) : timer(*thread) {}
  asio::steady_timer timer;
  std::function<void(std::optional<std::string>)> done;
};

struct RemoteChannel {
  FromOwnerSink sink;
  bool statement_sent = false;
};

}  // namespace

/// A connection that this VM opened, with its channels and requests.
struct ChannelMesh::OutboundPeer {
  Address address;
  std::shared_ptr<Link> link;  ///< null while connecting
  struct Frame {
    FrameType type;
    std::string body;
  };
  std::vector<Frame> queued;  ///< to send once connected
  std::map<uint64_t, RemoteChannel> channels;
  std::map<uint64_t, std::shared_ptr<PendingRequest>> requests;
  bool closed = false;

  void Send(FrameType type, std::string body) {
    if (link) return link->Send(type, std::move(body));
    if (!closed) queued.push_back({type, std::move(body)});
  }
};

/// A connection that another VM opened, with its channels to this VM.
struct ChannelMesh::InboundPeer {
  uint64_t id = 0;
  std::shared_ptr<Link> link;
  bool hello_received = false;
  std::map<uint64_t, ToOwnerSink> channels;
};

ChannelMesh::ChannelMesh(MeshParams params) : params_(std::move(params)) {}

ToOwnerSink ChannelMesh::Open(const Address& address, const OpenChannel& open,
                              FromOwnerSink sink) {
  std::shared_ptr<OutboundPeer> peer = Dial(address);
  uint64_t channel = next_channel_++;
  peer->channels[channel].sink = std::move(sink);
  peer->Send(FrameType::kChannel, detail::EncodeOpen(channel, open));
  return [peer, channel](ToOwner message) {
    std::map<uint64_t, RemoteChannel>::iterator found =
        peer->channels.find(channel);
    if (found == peer->channels.end()) return;
    if (std::holds_alternative<Statement>(message)) {
      found->second.statement_sent = true;
    }
    peer->Send(FrameType::kChannel, detail::EncodeToOwner(channel, message));
    bool closes = std::holds_alternative<CloseChannel>(message);
    if (closes) peer->channels.erase(found);
  };
}

std::shared_ptr<ChannelMesh::OutboundPeer> ChannelMesh::Dial(
    const Address& address) {
  std::shared_ptr<OutboundPeer>& peer = outbound_[address];
  if (peer) return peer;
  peer = std::make_shared<OutboundPeer>();
  peer->address = address;
  std::shared_ptr<ChannelMesh> self = shared_from_this();
  ConnectLink(params_.thread->get_executor(), address, kConnectTimeout,
              [self, peer = peer](std::shared_ptr<Link> link) {
                self->OnConnected(peer, std::move(link));
              });
  return peer;
}

void ChannelMesh::OnConnected(const std::shared_ptr<OutboundPeer>& peer,
                              std::shared_ptr<Link> link) {
  if (peer->closed) return;
  if (!link) {
    for (std::pair<const uint64_t, RemoteChannel>& entry : peer->channels) {
      entry.second.statement_sent = false;  // nothing was sent
    }
    return OnOutboundLost(peer, "connection failed");
  }
  peer->link = std::move(link);
  std::shared_ptr<ChannelMesh> self = shared_from_this();
  peer->link->Start(
      [self, peer](FrameType type, std::string_view body) {
        self->OnOutboundFrame(peer, type, body);
      },
      [self, peer](const std::string& reason) {
        self->OnOutboundLost(peer, reason);
      });
  LogLine(LogLevel::kInfo, "link_up").Field("to", ToString(peer->address));
  peer->link->Send(FrameType::kHello,
                   Pack(MeshHello{kMeshProtocol, params_.vm}));
  for (OutboundPeer::Frame& frame : peer->queued) {
    peer->link->Send(frame.type, std::move(frame.body));
  }
  peer->queued.clear();
}

void ChannelMesh::OnOutboundFrame(const std::shared_ptr<OutboundPeer>& peer,
                                  FrameType type, std::string_view body) {
  if (type == FrameType::kRequest) {
    Result<RequestFrame> frame = Unpack<RequestFrame>(body);
    if (!frame || !frame.value().answer) return;
    std::map<uint64_t, std::shared_ptr<PendingRequest>>::iterator request =
        peer->requests.find(frame.value().number);
    if (request == peer->requests.end()) return;
    std::shared_ptr<PendingRequest> open = request->second;
    peer->requests.erase(request);
    open->timer.cancel();
    return open->done(frame.value().body);
  }
  if (type != FrameType::kChannel) return;
  Result<detail::ChannelFrame> frame = detail::DecodeChannelFrame(body);
  if (!frame) return OnOutboundLost(peer, ToString(frame.error()));
  std::map<uint64_t, RemoteChannel>::iterator found =
      peer->channels.find(frame.value().channel);
  if (found == peer->channels.end()) return;
  FromOwner* message = std::get_if<FromOwner>(&frame.value().message);
  if (message == nullptr) return;
  FromOwnerSink sink = found->second.sink;
  if (std::holds_alternative<StatementEnd>(*message)) {
    found->second.statement_sent = false;
  }
  if (std::holds_alternative<ChannelReset>(*message)) {
    peer->channels.erase(found);
  }
  sink(std::move(*message));
}

void ChannelMesh::OnOutboundLost(const std::shared_ptr<OutboundPeer>& peer,
                                 const std::string& reason) {
  if (peer->closed) return;
  peer->closed = true;
  LogLine(LogLevel::kWarn, "link_lost")
      .Field("to", ToString(peer->address))
      .Field("reason", reason)
      .Field("channels", peer->channels.size());
  if (peer->link) peer->link->Close();
  peer->queued.clear();
  std::map<Address, std::shared_ptr<OutboundPeer>>::iterator found =
      outbound_.find(peer->address);
  if (found != outbound_.end() && found->second == peer) outbound_.erase(found);
  std::map<uint64_t, RemoteChannel> channels = std::move(peer->channels);
  peer->channels.clear();
  for (std::pair<const uint64_t, RemoteChannel>& entry : channels) {
    entry.second.sink(ChannelReset{!entry.second.statement_sent, reason});
  }
  std::map<uint64_t, std::shared_ptr<PendingRequest>> requests =
      std::move(peer->requests);
  peer->requests.clear();
  for (const std::pair<const uint64_t, std::shared_ptr<PendingRequest>>& entry :
       requests) {
    entry.second->timer.cancel();
    entry.second->done(std::nullopt);
  }
}

void ChannelMesh::AddInbound(tcp::socket socket) {
  std::shared_ptr<InboundPeer> peer = std::make_shared<InboundPeer>();
  peer->id = next_inbound_++;
  peer->link = std::make_shared<Link>(std::move(socket));
  inbound_[peer->id] = peer;
  std::shared_ptr<ChannelMesh> self = shared_from_this();
  peer->link->Start(
      [self, peer](FrameType type, std::string_view body) {
        self->OnInboundFrame(peer, type, body);
      },
      [self, peer](const std::string& reason) {
        self->OnInboundLost(peer, reason);
      });
  peer->link->Send(FrameType::kHello,
                   Pack(MeshHello{kMeshProtocol, params_.vm}));
}

void ChannelMesh::OnInboundFrame(const std::shared_ptr<InboundPeer>& peer,
                                 FrameType type, std::string_view body) {
  if (!peer->hello_received) {
    Result<MeshHello> hello = Unpack<MeshHello>(body);
    bool known = type == FrameType::kHello && hello.has_value() &&
                 hello.value().protocol == kMeshProtocol;
    if (!known)
      return OnInboundLost(
          peer, "first frame is not a hello of this protocol version");
    peer->hello_received = true;
    return;
  }
  if (type == FrameType::kChannel) return OnChannelFrame(peer, body);
  if (type != FrameType::kRequest || !params_.on_peer_request) return;
  Result<RequestFrame> frame = Unpack<RequestFrame>(body);
  if (!frame || frame.value().answer) return;
  uint64_t number = frame.value().number;
  std::weak_ptr<Link> link = peer->link;
  params_.on_peer_request(std::move(frame.value().body),
                          [link, number](std::string answer) {
                            std::shared_ptr<Link> open = link.lock();
                            if (!open) return;
                            RequestFrame reply{number, true, std::move(answer)};
                            open->Send(FrameType::kRequest, Pack(reply));
                          });
}

void ChannelMesh::OnChannelFrame(const std::shared_ptr<InboundPeer>& peer,
                                 std::string_view body) {
  Result<detail::ChannelFrame> frame = detail::DecodeChannelFrame(body);
  if (!frame) return OnInboundLost(peer, ToString(frame.error()));
  uint64_t channel = frame.value().channel;
  if (OpenChannel* open = std::get_if<OpenChannel>(&frame.value().message)) {
    std::weak_ptr<InboundPeer> weak = peer;
    peer->channels[channel] =
        params_.open_local(*open, [weak, channel](FromOwner message) {
          std::shared_ptr<InboundPeer> to = weak.lock();
          if (!to || to->channels.count(channel) == 0) return;
          to->link->Send(FrameType::kChannel,
                         detail::EncodeFromOwner(channel, message));
          bool closed = std::holds_alternative<ChannelReset>(message);
          if (closed) to->channels.erase(channel);
        });
    return;
  }
  std::map<uint64_t, ToOwnerSink>::iterator found =
      peer->channels.find(channel);
  ToOwner* message = std::get_if<ToOwner>(&frame.value().message);
  if (found == peer->channels.end() || message == nullptr) return;
  ToOwnerSink sink = found->second;
  bool closes = std::holds_alternative<CloseChannel>(*message);
  if (closes) peer->channels.erase(found);
  sink(std::move(*message));
}

void ChannelMesh::OnInboundLost(const std::shared_ptr<InboundPeer>& peer,
                                const std::string& reason) {
  if (inbound_.erase(peer->id) == 0) return;
  LogLine(LogLevel::kInfo, "link_closed")
      .Field("from", peer->link->remote())
      .Field("reason", reason)
      .Field("channels", peer->channels.size());
  peer->link->Close();
  std::map<uint64_t, ToOwnerSink> channels = std::move(peer->channels);
  peer->channels.clear();
  for (std::pair<const uint64_t, ToOwnerSink>& entry : channels) {
    entry.second(CloseChannel{});
  }
}

void ChannelMesh::SendRequest(
    const Address& address, std::string request, Duration timeout,
    std::function<void(std::optional<std::string>)> done) {
  std::shared_ptr<OutboundPeer> peer = Dial(address);
  uint64_t number = next_request_++;
  std::shared_ptr<PendingRequest> open =
      std::make_shared<PendingRequest>(params_.thread);
  open->done = std::move(done);
  peer->requests[number] = open;
  open->timer.expires_after(std::chrono::milliseconds(timeout.ms()));
  open->timer.async_wait([peer, number, open](error_code error) {
    if (error || peer->requests.erase(number) == 0) return;
    open->done(std::nullopt);
  });
  RequestFrame frame{number, false, std::move(request)};
  peer->Send(FrameType::kRequest, Pack(frame));
}

void ChannelMesh::Close() {
  std::map<Address, std::shared_ptr<OutboundPeer>> outbound = outbound_;
  for (const std::pair<const Address, std::shared_ptr<OutboundPeer>>& entry :
       outbound) {
    OnOutboundLost(entry.second, "closing");
  }
  std::map<uint64_t, std::shared_ptr<InboundPeer>> inbound = inbound_;
  for (const std::pair<const uint64_t, std::shared_ptr<InboundPeer>>& entry :
       inbound) {
    OnInboundLost(entry.second, "closing");
  }
}

MeshListener::MeshListener(asio::io_context* thread,
                           std::vector<std::shared_ptr<ChannelMesh>> meshes,
                           std::vector<asio::io_context*> mesh_threads)
    : listener_(std::make_shared<TcpListener>(thread)),
      meshes_(std::move(meshes)),
      mesh_threads_(std::move(mesh_threads)) {}

MeshListener::~MeshListener() { Close(); }

Status MeshListener::Listen(const Address& address) {
  BOOST_OUTCOME_TRYV(listener_->Open(address, "listen.peers"));
  listener_->Start([this](tcp::socket socket) { Assign(std::move(socket)); },
                   [this] { return mesh_threads_[next_]; });
  return Ok();
}

/// Gives a connection to the mesh that it was accepted for.
void MeshListener::Assign(tcp::socket socket) {
  std::shared_ptr<ChannelMesh> mesh = meshes_[next_];
  std::shared_ptr<tcp::socket> accepted =
      std::make_shared<tcp::socket>(std::move(socket));
  asio::post(*mesh_threads_[next_],
             [mesh, accepted] { mesh->AddInbound(std::move(*accepted)); });
  next_ = (next_ + 1) % meshes_.size();
}

void MeshListener::Close() { listener_->Close(); }

}  // namespace cardamomchute

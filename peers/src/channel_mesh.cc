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

constexpr Duration kAcceptRetry = Millis(50);

/// A question or an answer to one, told apart by `answer`.
struct QuestionFrame {
  uint64_t number = 0;
  bool answer = false;
  std::string body;
  MSGPACK_DEFINE(number, answer, body)
};

struct OpenQuestion {
  explicit OpenQuestion(asio::io_context* thread) : timer(*thread) {}
  asio::steady_timer timer;
  std::function<void(std::optional<std::string>)> done;
};

struct RemoteChannel {
  FromOwnerSink sink;
  bool statement_sent = false;
};

}  // namespace

/// A link this VM made, with the channels and questions it carries.
struct ChannelMesh::Dialed {
  Address address;
  std::shared_ptr<Link> link;  ///< null while connecting
  struct Frame {
    FrameType type;
    std::string body;
  };
  std::vector<Frame> waiting;
  std::map<uint64_t, RemoteChannel> channels;
  std::map<uint64_t, std::shared_ptr<OpenQuestion>> questions;
  bool over = false;

  void Send(FrameType type, std::string body) {
    if (link) return link->Send(type, std::move(body));
    if (!over) waiting.push_back({type, std::move(body)});
  }
};

/// A link another VM made, with the channels it opened here.
struct ChannelMesh::Adopted {
  uint64_t id = 0;
  std::shared_ptr<Link> link;
  bool greeted = false;
  std::map<uint64_t, ToOwnerSink> channels;
};

ChannelMesh::ChannelMesh(MeshParams params) : params_(std::move(params)) {}

ToOwnerSink ChannelMesh::Open(const Address& address, const OpenChannel& open,
                              FromOwnerSink sink) {
  std::shared_ptr<Dialed> peer = Dial(address);
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

std::shared_ptr<ChannelMesh::Dialed> ChannelMesh::Dial(const Address& address) {
  std::shared_ptr<Dialed>& peer = dialed_[address];
  if (peer) return peer;
  peer = std::make_shared<Dialed>();
  peer->address = address;
  std::shared_ptr<ChannelMesh> self = shared_from_this();
  ConnectLink(params_.thread->get_executor(), address, kConnectTimeout,
              [self, peer = peer](std::shared_ptr<Link> link) {
                self->OnDialed(peer, std::move(link));
              });
  return peer;
}

void ChannelMesh::OnDialed(const std::shared_ptr<Dialed>& peer,
                           std::shared_ptr<Link> link) {
  if (peer->over) return;
  if (!link) {
    for (std::pair<const uint64_t, RemoteChannel>& entry : peer->channels) {
      entry.second.statement_sent = false;  // nothing left this VM
    }
    return OnDialedLost(peer, "connect failed");
  }
  peer->link = std::move(link);
  std::shared_ptr<ChannelMesh> self = shared_from_this();
  peer->link->Start(
      [self, peer](FrameType type, std::string_view body) {
        self->OnDialedFrame(peer, type, body);
      },
      [self, peer](const std::string& reason) {
        self->OnDialedLost(peer, reason);
      });
  LogLine(LogLevel::kInfo, "link_up").Field("to", ToString(peer->address));
  peer->link->Send(FrameType::kHello,
                   Pack(MeshHello{kMeshProtocol, params_.vm}));
  for (Dialed::Frame& frame : peer->waiting) {
    peer->link->Send(frame.type, std::move(frame.body));
  }
  peer->waiting.clear();
}

void ChannelMesh::OnDialedFrame(const std::shared_ptr<Dialed>& peer,
                                FrameType type, std::string_view body) {
  if (type == FrameType::kProbe) {
    Result<QuestionFrame> frame = Unpack<QuestionFrame>(body);
    if (!frame || !frame.value().answer) return;
    std::map<uint64_t, std::shared_ptr<OpenQuestion>>::iterator question =
        peer->questions.find(frame.value().number);
    if (question == peer->questions.end()) return;
    std::shared_ptr<OpenQuestion> open = question->second;
    peer->questions.erase(question);
    open->timer.cancel();
    return open->done(frame.value().body);
  }
  if (type != FrameType::kChannel) return;
  Result<detail::ChannelFrame> frame = detail::DecodeChannelFrame(body);
  if (!frame) return OnDialedLost(peer, ToString(frame.error()));
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

void ChannelMesh::OnDialedLost(const std::shared_ptr<Dialed>& peer,
                               const std::string& reason) {
  if (peer->over) return;
  peer->over = true;
  LogLine(LogLevel::kWarn, "link_lost")
      .Field("to", ToString(peer->address))
      .Field("reason", reason)
      .Field("channels", peer->channels.size());
  if (peer->link) peer->link->Close();
  peer->waiting.clear();
  std::map<Address, std::shared_ptr<Dialed>>::iterator found =
      dialed_.find(peer->address);
  if (found != dialed_.end() && found->second == peer) dialed_.erase(found);
  std::map<uint64_t, RemoteChannel> channels = std::move(peer->channels);
  peer->channels.clear();
  for (std::pair<const uint64_t, RemoteChannel>& entry : channels) {
    entry.second.sink(ChannelReset{!entry.second.statement_sent, reason});
  }
  std::map<uint64_t, std::shared_ptr<OpenQuestion>> questions =
      std::move(peer->questions);
  peer->questions.clear();
  for (const std::pair<const uint64_t, std::shared_ptr<OpenQuestion>>& entry :
       questions) {
    entry.second->timer.cancel();
    entry.second->done(std::nullopt);
  }
}

void ChannelMesh::Adopt(tcp::socket socket) {
  std::shared_ptr<Adopted> peer = std::make_shared<Adopted>();
  peer->id = next_adopted_++;
  peer->link = std::make_shared<Link>(std::move(socket));
  adopted_[peer->id] = peer;
  std::shared_ptr<ChannelMesh> self = shared_from_this();
  peer->link->Start(
      [self, peer](FrameType type, std::string_view body) {
        self->OnAdoptedFrame(peer, type, body);
      },
      [self, peer](const std::string& reason) {
        self->OnAdoptedLost(peer, reason);
      });
  peer->link->Send(FrameType::kHello,
                   Pack(MeshHello{kMeshProtocol, params_.vm}));
}

void ChannelMesh::OnAdoptedFrame(const std::shared_ptr<Adopted>& peer,
                                 FrameType type, std::string_view body) {
  if (!peer->greeted) {
    Result<MeshHello> hello = Unpack<MeshHello>(body);
    bool known = type == FrameType::kHello && hello.has_value() &&
                 hello.value().protocol == kMeshProtocol;
    if (!known) return OnAdoptedLost(peer, "no hello of this protocol");
    peer->greeted = true;
    return;
  }
  if (type == FrameType::kChannel) return OnChannelFrame(peer, body);
  if (type != FrameType::kProbe || !params_.on_peer_request) return;
  Result<QuestionFrame> frame = Unpack<QuestionFrame>(body);
  if (!frame || frame.value().answer) return;
  uint64_t number = frame.value().number;
  std::weak_ptr<Link> link = peer->link;
  params_.on_peer_request(
      std::move(frame.value().body), [link, number](std::string answer) {
        std::shared_ptr<Link> open = link.lock();
        if (!open) return;
        QuestionFrame reply{number, true, std::move(answer)};
        open->Send(FrameType::kProbe, Pack(reply));
      });
}

void ChannelMesh::OnChannelFrame(const std::shared_ptr<Adopted>& peer,
                                 std::string_view body) {
  Result<detail::ChannelFrame> frame = detail::DecodeChannelFrame(body);
  if (!frame) return OnAdoptedLost(peer, ToString(frame.error()));
  uint64_t channel = frame.value().channel;
  if (OpenChannel* open = std::get_if<OpenChannel>(&frame.value().message)) {
    std::weak_ptr<Adopted> weak = peer;
    peer->channels[channel] =
        params_.open_local(*open, [weak, channel](FromOwner message) {
          std::shared_ptr<Adopted> to = weak.lock();
          if (!to || to->channels.count(channel) == 0) return;
          to->link->Send(FrameType::kChannel,
                         detail::EncodeFromOwner(channel, message));
          bool over = std::holds_alternative<ChannelReset>(message);
          if (over) to->channels.erase(channel);
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

void ChannelMesh::OnAdoptedLost(const std::shared_ptr<Adopted>& peer,
                                const std::string& reason) {
  if (adopted_.erase(peer->id) == 0) return;
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
    const Address& address, std::string question, Duration timeout,
    std::function<void(std::optional<std::string>)> done) {
  std::shared_ptr<Dialed> peer = Dial(address);
  uint64_t number = next_question_++;
  std::shared_ptr<OpenQuestion> open =
      std::make_shared<OpenQuestion>(params_.thread);
  open->done = std::move(done);
  peer->questions[number] = open;
  open->timer.expires_after(std::chrono::milliseconds(timeout.ms()));
  open->timer.async_wait([peer, number, open](error_code error) {
    if (error || peer->questions.erase(number) == 0) return;
    open->done(std::nullopt);
  });
  QuestionFrame frame{number, false, std::move(question)};
  peer->Send(FrameType::kProbe, Pack(frame));
}

void ChannelMesh::Close() {
  std::map<Address, std::shared_ptr<Dialed>> dialed = dialed_;
  for (const std::pair<const Address, std::shared_ptr<Dialed>>& entry :
       dialed) {
    OnDialedLost(entry.second, "closing");
  }
  std::map<uint64_t, std::shared_ptr<Adopted>> adopted = adopted_;
  for (const std::pair<const uint64_t, std::shared_ptr<Adopted>>& entry :
       adopted) {
    OnAdoptedLost(entry.second, "closing");
  }
}

MeshListener::MeshListener(asio::io_context* thread,
                           std::vector<std::shared_ptr<ChannelMesh>> meshes,
                           std::vector<asio::io_context*> mesh_threads)
    : acceptor_(*thread),
      retry_(*thread),
      meshes_(std::move(meshes)),
      mesh_threads_(std::move(mesh_threads)) {}

Status MeshListener::Listen(const Address& address) {
  error_code error;
  asio::ip::address ip = asio::ip::make_address(address.host, error);
  tcp::endpoint endpoint(ip, address.port);
  if (!error) acceptor_.open(endpoint.protocol(), error);
  if (!error) acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor_.bind(endpoint, error);
  if (!error)
    acceptor_.listen(asio::socket_base::max_listen_connections, error);
  if (error) {
    return Error{
        ErrorKind::kIo,
        "cannot listen at " + ToString(address) + ": " + error.message(),
        "free the port or change listen.peers"};
  }
  port_ = acceptor_.local_endpoint().port();
  Accept();
  return Ok();
}

void MeshListener::Accept() {
  size_t index = next_++ % meshes_.size();
  acceptor_.async_accept(*mesh_threads_[index],
                         [this, index](error_code error, tcp::socket socket) {
                           if (error == asio::error::operation_aborted) return;
                           if (error) return AcceptLater();
                           std::shared_ptr<ChannelMesh> mesh = meshes_[index];
                           std::shared_ptr<tcp::socket> accepted =
                               std::make_shared<tcp::socket>(std::move(socket));
                           asio::post(*mesh_threads_[index], [mesh, accepted] {
                             mesh->Adopt(std::move(*accepted));
                           });
                           Accept();
                         });
}

void MeshListener::AcceptLater() {
  // Out of descriptors, most likely: connections that end free some.
  retry_.expires_after(std::chrono::milliseconds(kAcceptRetry.ms()));
  retry_.async_wait([this](error_code error) {
    if (!error) Accept();
  });
}

void MeshListener::Close() {
  error_code ignored;
  acceptor_.close(ignored);
  retry_.cancel();
}

}  // namespace cardamomchute

/// Links between relays. Requests go to the VM that holds the connections to an
/// endpoint, and that VM returns the answers. Runs on the traffic thread.
#ifndef CARDAMOMCHUTE_RELAY_RELAY_MESH_H_
#define CARDAMOMCHUTE_RELAY_RELAY_MESH_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cardamomchute/base/error.h"
#include "cardamomchute/base/tcp_listener.h"
#include "cardamomchute/peers/link.h"
#include "cardamomchute/relay/run.h"

namespace cardamomchute {

struct MeshHandlers {
  std::function<void(const RelayLink& from, RunRequest, RunDone)> on_run;
  std::function<void(const RelayLink& from, const AbandonRun&)> on_abandon;
  std::function<void(const FloorQuestion&, std::function<void(FloorAnswer)>)>
      on_floor;
  std::function<TokenAnswer(const TokenQuestion&)> on_token;
  /// The link was closed. Nothing arrives on it any more.
  std::function<void(const RelayLink& from)> on_gone;
  std::function<void(const ControlHint&)> on_control_hint;
};

class RelayMesh : public std::enable_shared_from_this<RelayMesh> {
 public:
  RelayMesh(boost::asio::io_context* io, VmId self, MeshHandlers handlers);

  Status Listen(const Address& address);
  /// `wrote`: the statement's transaction may hold writes.
  void Run(const Address& to, RunRequest request, bool wrote, RunDone done);
  /// Follows the transaction's requests on their link, also if they still wait
  /// for it; without a link, the other VM has abandoned the transaction.
  void Abandon(const Address& to, const AbandonRun& abandon);
  void AskFloor(const Address& to, FloorQuestion question,
                std::function<void(std::optional<FloorAnswer>)> done);
  /// Runs `done` once, without an answer if the link is lost.
  void AskTokens(const Address& to, TokenQuestion question,
                 std::function<void(std::optional<TokenAnswer>)> done);
  /// Returns true while that VM is avoided because its link failed recently.
  bool Avoided(const Address& to) const;
  void Close();

 private:
  using LinkPtr = std::shared_ptr<Link>;
  struct Outstanding {
    RunRequest request;  ///< without text and values
    bool wrote = false;
    bool sent = false;
    RunDone done;
  };
  struct Question {
    std::function<void(std::optional<FloorAnswer>)> done;
  };
  struct Peer {
    LinkPtr link;
    bool dialling = false;
    std::vector<std::string> queued;
    std::map<uint64_t, Outstanding> outstanding;
    std::map<uint64_t, Question> questions;
    std::map<uint64_t, std::function<void(std::optional<TokenAnswer>)>>
        token_questions;
    Time avoid_until;
    Time waiting_since;
    Time pinged;

    bool Waits() const {
      return !outstanding.empty() || !questions.empty() ||
             !token_questions.empty();
    }
  };

  void TakeConnection(boost::asio::ip::tcp::socket socket);
  void OnInbound(const LinkPtr& link, std::string_view body);
  void TakeHello(const LinkPtr& link, const RelayHello& hello);
  void LoseInbound(const LinkPtr& link);
  void OnOutbound(const Address& from, std::string_view body);
  void SendTo(const Address& to, Peer* peer, std::string message);
  void Dial(const Address& to, Peer* peer);
  void OnDialled(const Address& to, LinkPtr link);
  void LosePeer(const Address& to, const std::string& reason);
  void ScheduleWatch();
  void Watch();

  boost::asio::io_context* io_;
  VmId self_;
  MeshHandlers handlers_;
  std::shared_ptr<TcpListener> listener_;
  boost::asio::steady_timer timer_;
  bool watching_ = false;
  bool closed_ = false;
  uint64_t next_number_ = 0;
  std::map<Address, Peer> peers_;
  struct Inbound {
    LinkPtr link;
    RelayLink from;
  };
  std::map<Link*, Inbound> inbound_;
  uint64_t next_inbound_ = 0;
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_RELAY_RELAY_MESH_H_

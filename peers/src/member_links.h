/// Outgoing links of a control member to the other members. A lost link is
/// reconnected, and each link starts with a MemberHello. Messages to a member
/// without a link are dropped, since the quorum protocol tolerates loss.
#ifndef CARDAMOMCHUTE_PEERS_SRC_MEMBER_LINKS_H_
#define CARDAMOMCHUTE_PEERS_SRC_MEMBER_LINKS_H_

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "cardamomchute/base/ids.h"
#include "cardamomchute/base/time.h"
#include "cardamomchute/peers/link.h"

namespace cardamomchute {

class MemberLinks : public std::enable_shared_from_this<MemberLinks> {
 public:
  /// `make_hello` returns the packed MemberHello; `on_connected` runs after it
  /// was sent on a new link.
  MemberLinks(boost::asio::any_io_executor executor,
              std::function<std::string()> make_hello,
              std::function<void(const VmId&)> on_connected);

  /// Sets the members to connect to; closes the links to all others.
  void SetPeers(const std::map<VmId, Address>& peers);
  void Send(const VmId& vm, FrameType type, std::string message);
  void SendAll(FrameType type, const std::string& message);
  bool Connected(const VmId& vm) const;
  /// Connects to members without a link, and repeats the MemberHello at
  /// intervals.
  void Tick(Time now);
  void Close();

 private:
  struct Peer {
    Address address;
    std::shared_ptr<Link> link;
    bool dialling = false;
    Time next_dial;
    Time next_hello;
  };

  void Dial(const VmId& vm, Peer& peer, Time now);
  void OnDialled(const VmId& vm, const Address& address,
                 std::shared_ptr<Link> link);

  boost::asio::any_io_executor executor_;
  std::function<std::string()> make_hello_;
  std::function<void(const VmId&)> on_connected_;
  std::map<VmId, Peer> peers_;
  bool closed_ = false;
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_PEERS_SRC_MEMBER_LINKS_H_

#include "member_links.h"

#include "cardamomchute/base/log.h"

namespace cardamomchute {
namespace {

constexpr Duration kDialInterval = Millis(100);
/// Short, since connecting to a VM without power gets no response.
constexpr Duration kDialTimeout = Millis(250);
constexpr Duration kHelloInterval = Millis(500);

}  // namespace

MemberLinks::MemberLinks(boost::asio::any_io_executor executor,
                         std::function<std::string()> make_hello,
                         std::function<void(const VmId&)> on_connected)
    : executor_(std::move(executor)),
      make_hello_(std::move(make_hello)),
      on_connected_(std::move(on_connected)) {}

void MemberLinks::SetPeers(const std::map<VmId, Address>& peers) {
  for (auto it = peers_.begin(); it != peers_.end();) {
    auto wanted = peers.find(it->first);
    bool keep = wanted != peers.end() && wanted->second == it->second.address;
    if (keep) {
      ++it;
      continue;
    }
    if (it->second.link) it->second.link->Close();
    it = peers_.erase(it);
  }
  for (const auto& [vm, address] : peers) {
    Peer& peer = peers_[vm];
    peer.address = address;
  }
}

void MemberLinks::Send(const VmId& vm, FrameType type, std::string message) {
  auto it = peers_.find(vm);
  if (it == peers_.end() || !it->second.link) return;
  it->second.link->Send(type, std::move(message));
}

void MemberLinks::SendAll(FrameType type, const std::string& message) {
  for (auto& [vm, peer] : peers_) {
    if (peer.link) peer.link->Send(type, message);
  }
}

bool MemberLinks::Connected(const VmId& vm) const {
  auto it = peers_.find(vm);
  return it != peers_.end() && it->second.link != nullptr;
}

void MemberLinks::Tick(Time now) {
  for (auto& [vm, peer] : peers_) {
    bool send_hello = peer.link && now >= peer.next_hello;
    if (send_hello) {
      peer.next_hello = now + kHelloInterval;
      peer.link->Send(FrameType::kQuorum, make_hello_());
    }
    bool dial = !peer.link && !peer.dialling && now >= peer.next_dial;
    if (dial) Dial(vm, peer, now);
  }
}

void MemberLinks::Dial(const VmId& vm, Peer& peer, Time now) {
  peer.dialling = true;
  peer.next_dial = now + kDialInterval;
  std::weak_ptr<MemberLinks> weak = weak_from_this();
  Address address = peer.address;
  ConnectLink(executor_, address, kDialTimeout,
              [weak, vm, address](std::shared_ptr<Link> link) {
                std::shared_ptr<MemberLinks> self = weak.lock();
                if (self) return self->OnDialled(vm, address, link);
                if (link) link->Close();
              });
}

void MemberLinks::OnDialled(const VmId& vm, const Address& address,
                            std::shared_ptr<Link> link) {
  auto it = peers_.find(vm);
  bool wanted = !closed_ && it != peers_.end() && it->second.address == address;
  if (!wanted) {
    if (link) link->Close();
    return;
  }
  it->second.dialling = false;
  if (!link) return;
  it->second.link = link;
  std::weak_ptr<MemberLinks> weak = weak_from_this();
  std::weak_ptr<Link> weak_link = link;
  link->Start([](FrameType, std::string_view) {},
              [weak, weak_link, vm](const std::string& reason) {
                std::shared_ptr<MemberLinks> self = weak.lock();
                if (!self) return;
                auto peer = self->peers_.find(vm);
                if (peer == self->peers_.end()) return;
                if (peer->second.link != weak_link.lock()) return;
                peer->second.link = nullptr;
                LogLine(LogLevel::kInfo, "member_link_lost")
                    .Field("member", vm)
                    .Field("reason", reason);
              });
  link->Send(FrameType::kQuorum, make_hello_());
  if (on_connected_) on_connected_(vm);
}

void MemberLinks::Close() {
  closed_ = true;
  for (auto& [vm, peer] : peers_) {
    if (peer.link) peer.link->Close();
  }
  peers_.clear();
}

}  // namespace cardamomchute

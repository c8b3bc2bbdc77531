/// Grants relays the authority over keys, as the control leader or with what is
/// left of what the leader granted this member. Runs on the control thread.
#ifndef CARDAMOMCHUTE_FLEET_KEY_AUTHORITY_SERVER_H_
#define CARDAMOMCHUTE_FLEET_KEY_AUTHORITY_SERVER_H_

#include <functional>
#include <optional>
#include <utility>
#include <vector>

#include "cardamomchute/fleet/messages.h"
#include "cardamomchute/policy/lease/key_authority.h"

namespace cardamomchute {

class Link;

struct KeyAuthorityServerParams {
  VmId self;
  /// As the leader: what its last confirmed round allows; nullopt otherwise.
  std::function<std::optional<KeyGrant>()> own;
  /// The map of keepers in force, as the leader.
  std::function<KeeperMap()> keepers = [] { return KeeperMap(); };
  /// Sends to the leader; returns whether it could.
  std::function<bool(const FleetMessage&)> send_to_leader;
  std::function<Time()> clock = &Now;
};

class KeyAuthorityServer {
 public:
  using Send = std::function<void(const AuthorityGrant&)>;

  explicit KeyAuthorityServer(KeyAuthorityServerParams params);

  /// Answers a relay or another member, at once or when the leader has answered
  /// this member. `send` sends to the asker, whose question came on `link`.
  void OnRequest(const Link* link, const AuthorityRequest& request, Send send);
  void OnLinkLost(const Link* link);
  /// Takes the leader's answer.
  void OnGrant(const AuthorityGrant& grant);
  void OnTick(Time now);

 private:
  struct Waiting {
    const Link* link;
    AuthorityRequest request;
    Send send;
    Time since;
  };

  void AskLeader(const AuthorityRequest& request, Time now);

  KeyAuthorityServerParams params_;
  DelegatedAuthority delegated_;
  KeeperMap delegated_keepers_;   ///< granted with it
  std::vector<Waiting> waiting_;  ///< for the leader's answer
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_FLEET_KEY_AUTHORITY_SERVER_H_

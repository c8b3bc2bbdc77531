#include "observers.h"

#include <algorithm>
#include <utility>

#include "cardamomchute/base/log.h"
#include "cardamomchute/base/pack.h"
#include "cardamomchute/policy/admission/access.h"

namespace cardamomchute {
namespace {

struct ObserverQuestion {
  EndpointId endpoint;
  GroupId group;
  Address address;
  Zone zone;
  Duration timeout;
  MSGPACK_DEFINE(endpoint, group, address, zone, timeout)
};

struct ObserverAnswer {
  VmId observer;
  bool reached = false;
  Floor position;
  bool is_primary = false;
  MSGPACK_DEFINE(observer, reached, position, is_primary)
};

/// Time for the question and the answer to travel, besides the probe.
constexpr Duration kTravel = Millis(100);

struct Round {
  size_t missing = 0;
  std::vector<ProbeObservation> observations;
  std::function<void(std::vector<ProbeObservation>)> done;

  void Add(std::optional<std::string> answer) {
    --missing;
    if (answer) {
      Result<ObserverAnswer> read = Unpack<ObserverAnswer>(*answer);
      if (read) {
        const ObserverAnswer& a = read.value();
        observations.push_back(
            {a.observer, a.reached, a.position, a.is_primary});
      }
    }
    if (missing == 0) done(std::move(observations));
  }
};

}  // namespace

std::vector<VmState> ChooseObservers(const ClusterView& view, const VmId& self,
                                     const Zone& zone) {
  std::vector<VmState> other_zones;
  std::vector<VmState> same_zone;
  for (const std::pair<const VmId, VmState>& entry : view.vms) {
    const VmState& vm = entry.second;
    if (vm.id == self || !vm.alive) continue;
    (vm.zone == zone ? same_zone : other_zones).push_back(vm);
  }
  // One of each zone before a second of any.
  std::stable_sort(
      other_zones.begin(), other_zones.end(),
      [&](const VmState& a, const VmState& b) { return a.zone < b.zone; });
  std::vector<VmState> chosen;
  std::vector<VmState> rest;
  for (const VmState& vm : other_zones) {
    bool new_zone = chosen.empty() || chosen.back().zone != vm.zone;
    (new_zone ? chosen : rest).push_back(vm);
  }
  chosen.insert(chosen.end(), rest.begin(), rest.end());
  chosen.insert(chosen.end(), same_zone.begin(), same_zone.end());
  if (chosen.size() > kObservers) chosen.resize(kObservers);
  return chosen;
}

AskObservers MakeAskObservers(std::shared_ptr<ChannelMesh> mesh, VmId self,
                              Zone zone, std::function<ViewPtr()> view) {
  return [mesh, self, zone, view](
             EndpointState endpoint, Duration timeout,
             std::function<void(std::vector<ProbeObservation>)> done) {
    ViewPtr now = view();
    std::vector<VmState> observers;
    if (now) observers = ChooseObservers(*now, self, zone);
    LogLine(LogLevel::kInfo, "ask_observers")
        .Field("endpoint", endpoint.id)
        .Field("observers", observers.size());
    if (observers.empty()) return done({});
    std::shared_ptr<Round> round = std::make_shared<Round>();
    round->missing = observers.size();
    round->done = std::move(done);
    ObserverQuestion question{endpoint.id, endpoint.group, endpoint.address,
                              endpoint.zone, timeout};
    for (const VmState& vm : observers) {
      mesh->SendRequest(vm.peer_address, Pack(question), timeout + kTravel,
                        [round](std::optional<std::string> answer) {
                          round->Add(std::move(answer));
                        });
    }
  };
}

PeerRequestHandler MakeObserver(boost::asio::io_context* thread, VmId self,
                                std::function<ViewPtr()> view) {
  return [thread, self, view](std::string bytes,
                              std::function<void(std::string)> reply) {
    Result<ObserverQuestion> read = Unpack<ObserverQuestion>(bytes);
    ViewPtr now = view();
    if (!read || !now || !now->document) return;
    const ObserverQuestion& question = read.value();
    const GroupSpec* group = FindGroup(now->document->document, question.group);
    if (group == nullptr) return;
    EndpointState endpoint{question.endpoint, question.group, question.address,
                           question.zone};
    ProbeEndpointOnce(thread, endpoint, group->user, group->database,
                      question.timeout, [self, reply](ProbeObservation seen) {
                        ObserverAnswer answer{self, seen.reached, seen.position,
                                              seen.is_primary};
                        reply(Pack(answer));
                      });
  };
}

}  // namespace cardamomchute

#include "traffic.h"

#include <xxhash.h>

#include <atomic>
#include <boost/asio/post.hpp>
#include <utility>

#include "observers.h"

namespace cardamomchute {

namespace asio = boost::asio;

Traffic::Traffic(TrafficParams params) : params_(std::move(params)) {
  for (uint32_t i = 0; i < params_.settings->traffic_threads; ++i) {
    lanes_.push_back(std::make_unique<Lane>());
  }
  for (size_t i = 0; i < lanes_.size(); ++i) BuildLane(i);
}

Traffic::~Traffic() { Stop(); }

size_t Traffic::LaneOf(const GroupId& group) const {
  return XXH3_64bits(group.value().data(), group.value().size()) %
         lanes_.size();
}

ChannelOpener Traffic::OpenLocal(size_t from) {
  std::vector<ChannelOpener> bridges;
  for (const std::unique_ptr<Lane>& lane : lanes_) {
    Lane* to = lane.get();
    bridges.push_back(
        BridgeThreads(&lanes_[from]->io, &to->io,
                      [to](const OpenChannel& open, FromOwnerSink sink) {
                        return to->owner->Open(open, std::move(sink));
                      }));
  }
  return [this, bridges](const OpenChannel& open, FromOwnerSink sink) {
    return bridges[LaneOf(open.group)](open, std::move(sink));
  };
}

ProposeGroupChange Traffic::ProposeFrom(asio::io_context* io) {
  ProposeGroupChange propose = params_.propose;
  return [io, propose](GroupChange change, std::function<void(Status)> done) {
    propose(std::move(change), [io, done](Status status) {
      asio::post(*io, [done, status] { done(status); });
    });
  };
}

void Traffic::BuildLane(size_t index) {
  Lane& lane = *lanes_[index];
  const Settings& settings = *params_.settings;
  ViewStore* views = params_.views;
  std::function<ViewPtr()> view = [views] { return views->Get(); };
  MeshParams mesh;
  mesh.vm = settings.vm;
  mesh.thread = &lane.io;
  mesh.open_local = OpenLocal(index);
  mesh.on_peer_request = MakeObserver(&lane.io, settings.vm, view);
  lane.mesh = std::make_shared<ChannelMesh>(std::move(mesh));

  RouterParams router;
  router.vm = settings.vm;
  router.thread = &lane.io;
  router.view = view;
  router.open_local = OpenLocal(index);
  std::shared_ptr<ChannelMesh> to = lane.mesh;
  router.open_remote = [to](const Address& address, const OpenChannel& open,
                            FromOwnerSink sink) {
    return to->Open(address, open, std::move(sink));
  };
  lane.router = std::make_shared<ChannelRouter>(std::move(router));

  OwnerParams owner;
  owner.vm = settings.vm;
  owner.zone = settings.zone;
  owner.thread = &lane.io;
  owner.lease = params_.lease;
  owner.view = view;
  owner.propose = ProposeFrom(&lane.io);
  owner.ask_observers =
      MakeAskObservers(lane.mesh, settings.vm, settings.zone, view);
  owner.metrics = params_.metrics;
  lane.owner = std::make_unique<Owner>(std::move(owner));
}

Status Traffic::Start() {
  const Settings& settings = *params_.settings;
  std::vector<std::shared_ptr<ChannelMesh>> meshes;
  std::vector<asio::io_context*> threads;
  for (const std::unique_ptr<Lane>& lane : lanes_) {
    meshes.push_back(lane->mesh);
    threads.push_back(&lane->io);
  }
  listener_ = std::make_unique<MeshListener>(threads[0], meshes, threads);
  if (settings.peers) {
    BOOST_OUTCOME_TRYV(listener_->Listen(*settings.peers));
  }
  if (settings.callers) {
    CallerServerParams callers;
    callers.vm = settings.vm;
    callers.zone = settings.zone;
    callers.listen = *settings.callers;
    callers.threads = threads;
    callers.opener = [this](size_t thread) {
      std::shared_ptr<ChannelRouter> router = lanes_[thread]->router;
      return [router](const OpenChannel& open, FromOwnerSink sink) {
        return router->Open(open, std::move(sink));
      };
    };
    ViewStore* views = params_.views;
    callers.view = [views] { return views->Get(); };
    callers.metrics = params_.metrics;
    callers_ = std::make_unique<CallerServer>(std::move(callers));
    BOOST_OUTCOME_TRYV(callers_->Start());
  }
  for (const std::unique_ptr<Lane>& lane : lanes_) {
    Lane* run = lane.get();
    lane->thread = std::thread([run] { run->io.run(); });
  }
  return Ok();
}

ViewPtr Traffic::PartOf(const ViewPtr& view, size_t lane) const {
  if (lanes_.size() == 1) return view;
  std::shared_ptr<ClusterView> part = std::make_shared<ClusterView>(*view);
  std::erase_if(part->groups,
                [&](const std::pair<const GroupId, GroupState>& entry) {
                  return LaneOf(entry.first) != lane;
                });
  return part;
}

void Traffic::OnView(const ViewPtr& view) {
  for (size_t i = 0; i < lanes_.size(); ++i) {
    Lane* lane = lanes_[i].get();
    ViewPtr part = PartOf(view, i);
    asio::post(lane->io, [lane, part] {
      lane->owner->OnView(part);
      lane->router->OnView();
    });
  }
}

void Traffic::DrainOwners(std::function<void()> done) {
  std::shared_ptr<std::atomic<size_t>> left =
      std::make_shared<std::atomic<size_t>>(lanes_.size());
  for (const std::unique_ptr<Lane>& lane : lanes_) {
    Lane* drained = lane.get();
    asio::post(lane->io, [drained, left, done] {
      drained->owner->Drain([left, done] {
        if (--*left == 0) done();
      });
    });
  }
}

void Traffic::DrainCallers(Duration timeout, std::function<void()> done) {
  if (!callers_) return done();
  callers_->Drain(timeout, std::move(done));
}

void Traffic::Stop() {
  for (const std::unique_ptr<Lane>& lane : lanes_) {
    if (!lane->thread.joinable()) continue;
    Lane* closing = lane.get();
    asio::post(lane->io, [closing] {
      closing->mesh->Close();
      closing->work.reset();
      closing->io.stop();
    });
    lane->thread.join();
  }
}

size_t Traffic::callers() const { return callers_ ? callers_->callers() : 0; }

}  // namespace cardamomchute

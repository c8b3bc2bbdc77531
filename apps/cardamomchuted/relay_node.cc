#include "relay_node.h"

#include <signal.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <thread>
#include <utility>

#include "cardamomchute/base/log.h"
#include "cardamomchute/platform/documents.h"
#include "cardamomchute/platform/line_protocol.h"
#include "cardamomchute/platform/routes.h"
#include "cardamomchute/telemetry/health.h"

namespace cardamomchute {
namespace {

namespace asio = boost::asio;

/// Left of the grace for the end of the process itself.
constexpr Duration kExitMargin = Millis(500);

}  // namespace

RelayNode::RelayNode(NodeSettings settings, ReloadSettings reload)
    : settings_(std::move(settings)),
      reload_(std::move(reload)),
      signals_(control_, SIGTERM, SIGINT, SIGHUP) {}

Status RelayNode::Start() {
  ControlLinkParams control;
  control.io = &control_;
  control.vm = settings_.vm;
  control.zone = settings_.zone;
  control.peers = settings_.peers;
  control.slots_carried = SlotsForBandwidth(settings_.link_mbps);
  control.on_push = [this](const DirectoryPush& push) { OnPush(push); };
  control.on_lease = [this](const PrimaryLeaseGrant& grant) {
    asio::post(traffic_, [relay = relay_, grant] {
      relay->OnLeases(grant.number, grant.valid, grant.primaries, grant.terms);
    });
  };
  control.on_authority = [this](const AuthorityGrant& grant) {
    asio::post(traffic_, [relay = relay_, grant] {
      relay->OnAuthority(grant.number, grant.layout_version, grant.valid,
                         grant.keeper_version, grant.keeper_map);
    });
  };
  control.on_link = [this] {
    asio::post(traffic_, [relay = relay_] { relay->AskAuthority(); });
  };
  control.on_revocation = [this](const GroupId& group,
                                 std::function<void()> confirm) {
    asio::post(traffic_, [this, group, confirm = std::move(confirm)] {
      relay_->RevokeLease(group);
      asio::post(control_, confirm);
    });
  };
  control.seeds = [this] {
    // The file may change without a signal.
    if (std::optional<NodeSettings> now = reload_())
      settings_.seeds = now->seeds;
    return settings_.seeds;
  };
  link_ = std::make_shared<ControlLink>(std::move(control));

  RelayParams relay;
  relay.io = &traffic_;
  relay.vm = settings_.vm;
  relay.zone = settings_.zone;
  relay.callers = *settings_.callers;
  relay.peers = settings_.peers;
  relay.metrics = &metrics_;
  relay.limits = LimitsOf(settings_.memory_bytes, settings_.descriptors);
  relay.caller_protocol = LineCallerProtocol();
  relay.endpoint_protocol = LineEndpointProtocol();
  relay.report = [this](const GroupId& group, const EndpointId& endpoint,
                        EndpointProblem trouble) {
    asio::post(control_, [this, group, endpoint, trouble] {
      link_->Report(group, endpoint, trouble);
    });
  };
  relay.on_control_hint = [this](const std::vector<Address>& members) {
    asio::post(control_, [this, members] { link_->AddMembers(members); });
  };
  relay.reads_need_lease = !settings_.fencing;
  relay.ask_leases = [this](uint64_t number,
                            const std::vector<GroupId>& groups) {
    asio::post(control_, [this, number, groups] {
      link_->RequestLeases({number, groups});
    });
  };
  relay.key_revocation = settings_.key_revocation;
  relay.rate_tolerance = settings_.rate_tolerance;
  relay.ask_authority = [this](uint64_t number, uint64_t layout_version) {
    uint64_t keepers = relay_->KeeperVersion();
    asio::post(control_, [this, number, layout_version, keepers] {
      link_->RequestAuthority({number, layout_version, keepers});
    });
  };
  relay_ = std::make_shared<Relay>(std::move(relay));
  BOOST_OUTCOME_TRYV(relay_->Start());

  http_ = std::make_unique<HttpServer>(&control_);
  http_->AddRoutes(
      ReadyRoutes([this] { return layout_version_ > 0 && !draining_; }));
  http_->AddRoutes(HealthRoutes(
      [this] {
        if (draining_) return ReadyState{false, "draining"};
        if (layout_version_ == 0) return ReadyState{false, "no layout yet"};
        return ReadyState{true, "serving"};
      },
      &metrics_));
  BOOST_OUTCOME_TRYV(http_->Start(*settings_.ready));
  link_->Start();
  WaitForSignal();
  LogLine(LogLevel::kInfo, "started")
      .Field("kind", "relay")
      .Field("zone", settings_.zone)
      .Field("callers", ToString(*settings_.callers));
  return Ok();
}

void RelayNode::OnPush(const DirectoryPush& push) {
  if (push.layout) TakeLayout(*push.layout);
  if (push.delta.Empty()) return;
  asio::post(traffic_, [relay = relay_, delta = push.delta] {
    relay->OnDirectory(delta);
  });
}

void RelayNode::TakeLayout(const StoredLayout& stored) {
  if (stored.version <= layout_version_) return;
  Result<Layout> layout = DecodeLayout(stored.text);
  if (!layout) {
    LogLine(LogLevel::kError, "layout_refused")
        .Field("version", stored.version)
        .Field("error", ToString(layout.error()));
    return;
  }
  layout_version_ = stored.version;
  link_->SetLayoutVersion(stored.version);
  LogLine(LogLevel::kInfo, "layout_in_force")
      .Field("version", stored.version)
      .Field("routes", layout.value().routes.size());
  std::shared_ptr<const Layout> shared =
      std::make_shared<Layout>(std::move(layout.value()));
  asio::post(traffic_, [this, shared] {
    relay_->OnLayout(shared);
    asio::post(control_, [this, version = shared->version] {
      link_->ConfirmLayout(version);
    });
  });
}

void RelayNode::WaitForSignal() {
  signals_.async_wait([this](boost::system::error_code error, int signal) {
    if (error) return;
    if (signal != SIGHUP) return Drain();
    std::optional<NodeSettings> now = reload_();
    LogLine(LogLevel::kInfo, "reload").Field("valid", now.has_value());
    if (now) settings_.seeds = now->seeds;
    WaitForSignal();
  });
}

void RelayNode::Drain() {
  draining_ = true;
  LogLine(LogLevel::kInfo, "drain_started");
  link_->SetDraining();
  Duration transactions = settings_.grace / 2;
  Duration limit = std::max(settings_.grace - kExitMargin, Millis(1));
  asio::post(traffic_, [this, transactions, limit] {
    relay_->Drain(transactions, limit, [this] {
      relay_->Stop();
      asio::post(control_, [this] { control_.stop(); });
    });
  });
}

void RelayNode::Run() {
  std::thread traffic([this] { traffic_.run(); });
  control_.run();
  link_->Stop();
  traffic_work_.reset();
  traffic_.stop();
  traffic.join();
  LogLine(LogLevel::kInfo, "stopped");
}

}  // namespace cardamomchute

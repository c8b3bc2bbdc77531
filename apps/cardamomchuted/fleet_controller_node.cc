#include "fleet_controller_node.h"

#include <signal.h>

#include <chrono>
#include <utility>

#include "cardamomchute/base/log.h"
#include "cardamomchute/platform/documents.h"
#include "cardamomchute/platform/line_protocol.h"
#include "cardamomchute/platform/routes.h"
#include "cardamomchute/telemetry/health.h"

namespace cardamomchute {
namespace {

/// For calls under way when the process is to end.
constexpr Duration kLastCalls = Millis(300);

}  // namespace

FleetControllerNode::FleetControllerNode(NodeSettings settings,
                                         ReloadSettings reload)
    : settings_(std::move(settings)),
      reload_(std::move(reload)),
      signals_(control_, SIGTERM, SIGINT, SIGHUP),
      timer_(control_) {}

Status FleetControllerNode::Start() {
  FleetControllerParams params;
  params.io = &control_;
  params.name = settings_.vm;
  params.listen = settings_.peers;
  params.data_folder = settings_.data_folder;
  params.seeds = settings_.seeds;
  params.may_bootstrap = settings_.may_bootstrap;
  params.parse_layout = DecodeLayout;
  params.endpoint_protocol = LineEndpointProtocol();
  params.fencing = settings_.fencing;
  params.key_revocation = settings_.key_revocation;
  if (settings_.rate_tolerance && settings_.key_revocation)
    params.keeper_grant = AuthorityTime(*settings_.key_revocation);
  if (settings_.promote_address)
    params.promote = PromoteAt(&control_, *settings_.promote_address);
  else
    params.promote = [](const PromoteRequest&, auto done) {
      done(PromoteOutcome::kUnknown);
    };
  params.on_failure = [this](const Error&) {
    failed_ = true;
    control_.stop();
  };
  fleet_controller_ = std::make_unique<FleetController>(std::move(params));
  BOOST_OUTCOME_TRYV(fleet_controller_->Start());
  http_ = std::make_unique<HttpServer>(&control_);
  http_->AddRoutes(
      ControlRoutes(fleet_controller_.get(), settings_.http->port));
  http_->AddRoutes(HealthRoutes(
      [this] {
        metrics_.GetGauge("steward_leads")
            .Set(fleet_controller_->leading() ? 1 : 0);
        metrics_.GetGauge("steward_disk_refuses")
            .Set(fleet_controller_->disk_refuses() ? 1 : 0);
        metrics_.GetGauge("steward_layout_version")
            .Set(static_cast<int64_t>(fleet_controller_->layout_version()));
        metrics_.GetGauge("steward_relays")
            .Set(static_cast<int64_t>(fleet_controller_->relays()));
        metrics_.GetGauge("steward_relays_behind")
            .Set(static_cast<int64_t>(fleet_controller_->RelaysBehind()));
        return ReadyState{fleet_controller_->has_leader_contact(),
                          fleet_controller_->has_leader_contact()
                              ? "in touch with the quorum"
                              : "no leader is known"};
      },
      &metrics_));
  BOOST_OUTCOME_TRYV(http_->Start(*settings_.http));
  WaitForSignal();
  LogLine(LogLevel::kInfo, "started")
      .Field("kind", "steward")
      .Field("zone", settings_.zone)
      .Field("may_found", settings_.may_bootstrap)
      .Field("http", ToString(*settings_.http));
  return Ok();
}

void FleetControllerNode::WaitForSignal() {
  signals_.async_wait([this](boost::system::error_code error, int signal) {
    if (error) return;
    if (signal != SIGHUP) return Drain();
    std::optional<NodeSettings> now = reload_();
    LogLine(LogLevel::kInfo, "reload").Field("valid", now.has_value());
    if (now) fleet_controller_->SetSeeds(now->seeds);
    WaitForSignal();
  });
}

void FleetControllerNode::Drain() {
  LogLine(LogLevel::kInfo, "drain_started");
  http_->Stop();
  timer_.expires_after(std::chrono::milliseconds(kLastCalls.ms()));
  timer_.async_wait([this](boost::system::error_code) { control_.stop(); });
}

bool FleetControllerNode::Run() {
  control_.run();
  fleet_controller_->Stop();
  LogLine(LogLevel::kInfo, "stopped").Field("failed", failed_);
  return !failed_;
}

}  // namespace cardamomchute

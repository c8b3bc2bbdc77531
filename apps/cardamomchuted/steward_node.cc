#include "steward_node.h"

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

StewardNode::StewardNode(NodeSettings settings, ReloadSettings reload)
    : settings_(std::move(settings)),
      reload_(std::move(reload)),
      signals_(control_, SIGTERM, SIGINT, SIGHUP),
      timer_(control_) {}

Status StewardNode::Start() {
  StewardParts parts;
  parts.io = &control_;
  parts.name = settings_.vm;
  parts.listen = settings_.peers;
  parts.data_folder = settings_.data_folder;
  parts.seeds = settings_.seeds;
  parts.may_found = settings_.may_found;
  parts.read_layout = DecodeLayout;
  parts.endpoint_protocol = LineEndpointProtocol();
  if (settings_.promote_at)
    parts.promote = PromoteAt(&control_, *settings_.promote_at);
  else
    parts.promote = [](const PromoteOrder&, auto done) {
      done(PromoteOutcome::kUnclear);
    };
  parts.on_failure = [this](const Error&) {
    failed_ = true;
    control_.stop();
  };
  steward_ = std::make_unique<Steward>(std::move(parts));
  BOOST_OUTCOME_TRYV(steward_->Start());
  http_ = std::make_unique<HttpServer>(&control_);
  http_->AddRoutes(ControlRoutes(steward_.get(), settings_.http->port));
  http_->AddRoutes(HealthRoutes(
      [this] {
        metrics_.GetGauge("steward_leads").Set(steward_->leading() ? 1 : 0);
        metrics_.GetGauge("steward_layout_version")
            .Set(static_cast<int64_t>(steward_->layout_version()));
        return ReadyState{steward_->in_touch(), steward_->in_touch()
                                                    ? "in touch with the quorum"
                                                    : "no leader is known"};
      },
      &metrics_));
  BOOST_OUTCOME_TRYV(http_->Start(*settings_.http));
  WaitForSignal();
  LogLine(LogLevel::kInfo, "started")
      .Field("kind", "steward")
      .Field("zone", settings_.zone)
      .Field("may_found", settings_.may_found)
      .Field("http", ToString(*settings_.http));
  return Ok();
}

void StewardNode::WaitForSignal() {
  signals_.async_wait([this](boost::system::error_code error, int signal) {
    if (error) return;
    if (signal != SIGHUP) return Drain();
    std::optional<NodeSettings> now = reload_();
    LogLine(LogLevel::kInfo, "reload").Field("valid", now.has_value());
    if (now) steward_->SetSeeds(now->seeds);
    WaitForSignal();
  });
}

void StewardNode::Drain() {
  LogLine(LogLevel::kInfo, "drain_started");
  http_->Stop();
  timer_.expires_after(std::chrono::milliseconds(kLastCalls.ms()));
  timer_.async_wait([this](boost::system::error_code) { control_.stop(); });
}

bool StewardNode::Run() {
  control_.run();
  steward_->Stop();
  LogLine(LogLevel::kInfo, "stopped").Field("failed", failed_);
  return !failed_;
}

}  // namespace cardamomchute

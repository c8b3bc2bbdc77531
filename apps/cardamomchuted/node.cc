#include "node.h"

#include <signal.h>

#include <boost/asio/post.hpp>
#include <utility>

#include "cardamomchute/base/log.h"
#include "cardamomchute/operators/document.h"
#include "cardamomchute/operators/http_api.h"

namespace cardamomchute {
namespace {

namespace asio = boost::asio;

Result<Document> ReadDocumentText(std::string_view text) {
  DocumentOutcome outcome = ParseDocument(text);
  if (outcome.document) return std::move(*outcome.document);
  std::string faults;
  for (const Fault& fault : outcome.faults) {
    if (!faults.empty()) faults += "; ";
    faults += ToString(fault);
  }
  return Error{ErrorKind::kInvalidInput, faults,
               "check it with `cardamomchute validate`"};
}

ControlAgentSettings AgentSettings(const Settings& settings) {
  ControlAgentSettings agent;
  agent.vm = settings.vm;
  agent.zone = settings.zone;
  agent.environment = settings.environment;
  if (settings.peers) agent.peer_address = *settings.peers;
  agent.seeds = settings.control_seeds;
  return agent;
}

}  // namespace

Node::Node(Settings settings)
    : settings_(std::move(settings)), signals_(control_, SIGTERM, SIGINT) {}

Node::~Node() = default;

Status Node::Start() {
  if (settings_.member) {
    BOOST_OUTCOME_TRYV(StartMember());
  }
  agent_ = std::make_shared<ControlAgent>(control_, AgentSettings(settings_),
                                          ReadDocumentText);
  if (settings_.peers) {
    BOOST_OUTCOME_TRYV(StartTraffic());
  }
  if (settings_.http) {
    BOOST_OUTCOME_TRYV(StartHttp());
  }
  agent_->Start();
  signals_.async_wait([this](boost::system::error_code error, int signal) {
    if (error) return;
    LogLine(LogLevel::kInfo, "drain_started").Field("signal", signal);
    Drain();
  });
  LogLine(LogLevel::kInfo, "started")
      .Field("zone", settings_.zone)
      .Field("environment", settings_.environment)
      .Field("control_member", settings_.member.has_value());
  return Ok();
}

Status Node::StartMember() {
  ControlMemberSettings member;
  member.vm = settings_.vm;
  member.listen = settings_.member->listen;
  member.data_folder = settings_.member->data_folder;
  BOOST_OUTCOME_TRY(opened,
                    ControlMember::Open(control_, member, ReadDocumentText));
  member_ = opened;
  member_->OnFailure([this](Error error) {
    LogLine(LogLevel::kError, "control_member_failed")
        .Field("error", ToString(error));
    control_.stop();
  });
  member_->Start(settings_.control_seeds);
  return Ok();
}

Status Node::StartTraffic() {
  TrafficParams params;
  params.settings = &settings_;
  params.lease = &agent_->lease();
  params.views = &agent_->views();
  params.propose = agent_->group_changes();
  params.metrics = &metrics_;
  traffic_ = std::make_unique<Traffic>(std::move(params));
  agent_->views().Listen([this](ViewPtr view) {
    LogLine(LogLevel::kDebug, "view")
        .Field("revision", view->revision)
        .Field("groups", view->groups.size())
        .Field("endpoints", view->endpoints.size());
    traffic_->OnView(view);
  });
  return traffic_->Start();
}

Status Node::StartHttp() {
  http_ = std::make_unique<HttpServer>(&control_);
  http_->AddRoutes(HealthRoutes([this] { return Readiness(); }, &metrics_));
  http_->AddRoutes(OperatorRoutes(agent_->operators()));
  http_->AddRoutes(
      AnnounceRoutes(settings_.environment, agent_->announcements()));
  return http_->Start(*settings_.http);
}

ReadyState Node::Readiness() const {
  if (draining_) return {false, "draining"};
  if (settings_.callers && !agent_->Ready()) {
    return {false, "no lease and accepted document yet"};
  }
  return {true, "serving"};
}

void Node::Run() {
  control_.run();
  if (traffic_) traffic_->Stop();
  LogLine(LogLevel::kInfo, "stopped");
}

void Node::Drain() {
  if (draining_) return;
  draining_ = true;
  agent_->SetDraining(true);
  if (!traffic_) return Finish();
  traffic_->DrainOwners([this] {
    asio::post(control_, [this] {
      LogLine(LogLevel::kInfo, "groups_handed_over");
      DrainCallers();
    });
  });
}

void Node::DrainCallers() {
  traffic_->DrainCallers(settings_.drain_timeout, [this] {
    asio::post(control_, [this] {
      LogLine(LogLevel::kInfo, "callers_drained")
          .Field("left", traffic_->callers());
      Finish();
    });
  });
}

void Node::Finish() {
  if (http_) http_->Stop();
  agent_->Stop();
  if (member_) member_->Stop();
  control_.stop();
}

}  // namespace cardamomchute

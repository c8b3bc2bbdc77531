#include "cardamomchute/relay/relay_metrics.h"

#include <algorithm>
#include <string>

namespace cardamomchute {
namespace {

constexpr int64_t kMicrosPerMilli = 1000;
/// No name of an organisation has a blank.
constexpr char kOtherOrganisations[] = "all others";

std::string Label(const EndpointId& endpoint) {
  return "endpoint=\"" + endpoint.value() + "\"";
}

}  // namespace

RelayMetrics::RelayMetrics(Metrics* metrics)
    : replica_reads_(
          &metrics->GetCounter("relay_reads_total", "from=\"replica\"")),
      primary_reads_(
          &metrics->GetCounter("relay_reads_total", "from=\"leader\"")),
      sessions_(&metrics->GetGauge("relay_sessions")),
      session_bytes_(&metrics->GetGauge("relay_session_bytes")),
      metrics_(metrics) {
  for (size_t i = 0; i < kOutcomes; ++i) {
    std::string outcome(ToString(static_cast<StatementStatus>(i)));
    statements_[i] = &metrics->GetCounter("relay_statements_total",
                                          "outcome=\"" + outcome + "\"");
  }
  for (size_t i = 0; i < kRanksTold; ++i) {
    spent_[i] = &metrics->GetHistogram("relay_statement_micros",
                                       "rank=\"" + std::to_string(i) + "\"");
  }
}

void RelayMetrics::CountStatement(StatementStatus outcome, Rank rank,
                                  Duration spent) {
  statements_[static_cast<size_t>(outcome)]->Add();
  size_t told = std::min<size_t>(rank.value(), kRanksTold - 1);
  spent_[told]->Record(spent.ms() * kMicrosPerMilli);
}

void RelayMetrics::CountFor(const OrganisationName& organisation,
                            StatementStatus outcome) {
  if (organisation.empty()) return;
  OrganisationName label = organisation;
  bool is_full = !organisations_.contains(label) &&
                 organisations_.size() >= kOrganisationsTold;
  if (is_full) label = OrganisationName(kOtherOrganisations);
  Counter*& counter = organisations_[label][static_cast<size_t>(outcome)];
  if (counter == nullptr) {
    counter = &metrics_->GetCounter("relay_organisation_statements_total",
                                    "organisation=\"" + label.value() +
                                        "\",outcome=\"" +
                                        std::string(ToString(outcome)) + "\"");
  }
  counter->Add();
}

void RelayMetrics::CountRefusal(const OrganisationName& organisation,
                                StatementStatus outcome) {
  statements_[static_cast<size_t>(outcome)]->Add();
  CountFor(organisation, outcome);
}

void RelayMetrics::CountRead(bool replica) {
  (replica ? replica_reads_ : primary_reads_)->Add();
}

void RelayMetrics::SetSessions(size_t sessions, size_t bytes) {
  sessions_->Set(static_cast<int64_t>(sessions));
  session_bytes_->Set(static_cast<int64_t>(bytes));
}

void RelayMetrics::CountClosedSession(const std::string& cause) {
  metrics_->GetCounter("relay_sessions_closed_total", "cause=\"" + cause + "\"")
      .Add();
}

void RelayMetrics::SetPool(const EndpointId& endpoint, uint32_t limit,
                           uint32_t slots, Duration expected_wait) {
  bool differs = limit < slots || expected_wait > Duration();
  if (!differs && !told_pools_.contains(endpoint)) return;
  told_pools_.insert(endpoint);
  std::string label = Label(endpoint);
  metrics_->GetGauge("relay_endpoint_limit", label).Set(limit);
  metrics_->GetGauge("relay_endpoint_slots", label).Set(slots);
  metrics_->GetGauge("relay_endpoint_wait_ms", label).Set(expected_wait.ms());
}

void RelayMetrics::SetAside(const EndpointId& endpoint, bool aside) {
  metrics_->GetGauge("relay_endpoint_aside", Label(endpoint))
      .Set(aside ? 1 : 0);
}

}  // namespace cardamomchute

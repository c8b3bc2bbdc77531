/// Control state in memory behind an HTTP server on a thread of its own.
#ifndef CARDAMOMCHUTE_OPERATORS_TEST_FAKE_OPERATOR_API_H_
#define CARDAMOMCHUTE_OPERATORS_TEST_FAKE_OPERATOR_API_H_

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <map>
#include <mutex>
#include <thread>

#include "cardamomchute/operators/document.h"
#include "cardamomchute/operators/http_api.h"
#include "sample_status.h"

namespace cardamomchute {

class FakeOperatorApi {
 public:
  FakeOperatorApi() : server_(&io_) {
    server_.AddRoutes(OperatorRoutes(Api()));
    server_.AddRoutes(
        AnnounceRoutes(Environment("production"), [this](Announcement given) {
          std::lock_guard<std::mutex> lock(mutex_);
          announced_.push_back(given);
        }));
    BOOST_REQUIRE(server_.Start({"127.0.0.1", 0}).has_value());
    thread_ = std::thread([this] { io_.run(); });
  }
  ~FakeOperatorApi() {
    io_.stop();
    thread_.join();
  }

  Address address() const { return {"127.0.0.1", server_.port()}; }

  /// The next so many submissions are taken, but their answers are errors.
  void LoseAnswers(int count) {
    std::lock_guard<std::mutex> lock(mutex_);
    lost_answers_ = count;
  }
  size_t sent() const {
    std::lock_guard<std::mutex> lock(mutex_);
    return sent_;
  }
  std::vector<Announcement> announced() const {
    std::lock_guard<std::mutex> lock(mutex_);
    return announced_;
  }

 private:
  using Records = std::vector<DocumentRecord>;

  Result<SubmitOutcome> Accept(const Environment& environment, Version replaces,
                               const SubmissionId& id, DocumentRecord record) {
    std::lock_guard<std::mutex> lock(mutex_);
    ++sent_;
    auto it = answers_.find(id);
    if (it == answers_.end()) {
      Records& records = records_[environment];
      if (replaces != Version(records.size())) {
        return Error{
            ErrorKind::kConflict,
            "version " + std::to_string(records.size()) + " is current",
            "read it and submit again"};
      }
      record.version = Version(records.size() + 1);
      record.hash = Sha256Hex(record.text);
      records.push_back(record);
      it = answers_.emplace(id, SubmitOutcome{record.version, record.hash})
               .first;
    } else {
      it->second.repeated = true;
    }
    if (lost_answers_ == 0) return it->second;
    --lost_answers_;
    return Error{ErrorKind::kTimeout, "the answer was lost", "send it again"};
  }

  std::string TextOf(const Environment& environment) {
    std::lock_guard<std::mutex> lock(mutex_);
    Records& records = records_[environment];
    return records.empty() ? "" : records.back().text;
  }

  Result<StatusReport> Status(const Environment& environment) {
    std::lock_guard<std::mutex> lock(mutex_);
    StatusReport report = SampleStatus();
    report.view.environment = environment;
    report.view.document.reset();
    const Records& records = records_[environment];
    if (!records.empty()) {
      report.view.document = SampleAccepted();
      report.view.document->version = records.back().version;
      report.view.document->text = records.back().text;
    }
    return report;
  }

  OperatorApi Api() {
    OperatorApi api;
    api.submit = [this](Submission s, auto done) {
      done(Accept(s.environment, s.replaces, s.id,
                  {Version(), "", s.submitter, "submit", s.text}));
    };
    api.promote = [this](Promotion p, auto done) {
      std::string origin = "promote " + p.from.value();
      done(Accept(p.to, p.replaces, p.id,
                  {Version(), "", p.submitter, origin, TextOf(p.from)}));
    };
    api.history = [this](Environment environment, auto done) {
      std::lock_guard<std::mutex> lock(mutex_);
      done(records_[environment]);
    };
    api.status = [this](Environment environment, auto done) {
      done(Status(environment));
    };
    return api;
  }

  mutable std::mutex mutex_;
  std::map<Environment, Records> records_;
  std::map<SubmissionId, SubmitOutcome> answers_;
  std::vector<Announcement> announced_;
  int lost_answers_ = 0;
  size_t sent_ = 0;
  boost::asio::io_context io_;
  HttpServer server_;
  std::thread thread_;
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_OPERATORS_TEST_FAKE_OPERATOR_API_H_

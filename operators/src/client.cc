#include "cardamomchute/operators/client.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <thread>

#include "cardamomchute/http/http_client.h"
#include "cardamomchute/operators/json.h"

namespace cardamomchute {
namespace {

constexpr Duration kRetryPause = Millis(200);

struct Request {
  std::string method;
  std::string target;
  std::string body;
};

/// Whether another server, or the same one later, may do better.
bool WorthRetrying(ErrorKind kind) {
  return kind == ErrorKind::kUnavailable || kind == ErrorKind::kNotLeader ||
         kind == ErrorKind::kTimeout || kind == ErrorKind::kProtocol;
}

/// Whether the request may have been taken although no answer came.
bool MayHaveRun(ErrorKind kind) {
  return kind == ErrorKind::kTimeout || kind == ErrorKind::kProtocol;
}

std::string EscapePath(const std::string& text) {
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string out;
  for (unsigned char c : text) {
    bool plain = std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
    if (plain) {
      out.push_back(static_cast<char>(c));
      continue;
    }
    out += {'%', kDigits[c >> 4], kDigits[c & 15]};
  }
  return out;
}

std::string PathOf(const Environment& environment, const std::string& verb) {
  return "/v1/environments/" + EscapePath(environment.value()) + "/" + verb;
}

Result<std::string> CallOnce(const Address& server, const Request& request,
                             Duration timeout) {
  BOOST_OUTCOME_TRY(answer, CallHttp(server, request.method, request.target,
                                     request.body, timeout));
  if (answer.status == 200) return answer.body;
  return DecodeError(answer.body);
}

/// The last error, made kTimeout when an earlier attempt may have run.
Error GiveUp(Error last, bool may_have_run) {
  if (!may_have_run) return last;
  last.kind = ErrorKind::kTimeout;
  return last;
}

Result<std::string> CallAny(const Client& client, const Request& request) {
  if (client.servers.empty()) {
    return Error{ErrorKind::kInvalidInput, "no server is given",
                 "give --server IP:port of a VM's listen.http"};
  }
  Time end = Now() + client.patience;
  bool may_have_run = false;
  for (size_t i = 0;; ++i) {
    const Address& server = client.servers[i % client.servers.size()];
    Duration left = std::max(Millis(1), end - Now());
    Result<std::string> answer =
        CallOnce(server, request, std::min(client.attempt, left));
    if (answer.has_value()) return answer;
    if (!WorthRetrying(answer.error().kind)) return answer;
    may_have_run = may_have_run || MayHaveRun(answer.error().kind);
    bool round_over = (i + 1) % client.servers.size() == 0;
    Duration pause = round_over ? kRetryPause : Duration();
    if (Now() + pause >= end) return GiveUp(answer.error(), may_have_run);
    std::this_thread::sleep_for(std::chrono::milliseconds(pause.ms()));
  }
}

}  // namespace

Result<SubmitOutcome> Submit(const Client& client,
                             const Submission& submission) {
  Request request{"POST", PathOf(submission.environment, "submit"),
                  EncodeSubmission(submission)};
  BOOST_OUTCOME_TRY(body, CallAny(client, request));
  return DecodeSubmitOutcome(body);
}

Result<SubmitOutcome> Promote(const Client& client,
                              const Promotion& promotion) {
  Request request{"POST", PathOf(promotion.to, "promote"),
                  EncodePromotion(promotion)};
  BOOST_OUTCOME_TRY(body, CallAny(client, request));
  return DecodeSubmitOutcome(body);
}

Result<std::vector<DocumentRecord>> GetHistory(const Client& client,
                                               const Environment& environment) {
  Request request{"GET", PathOf(environment, "history"), ""};
  BOOST_OUTCOME_TRY(body, CallAny(client, request));
  return DecodeHistory(body);
}

Result<StatusReport> GetStatus(const Client& client,
                               const Environment& environment) {
  Request request{"GET", PathOf(environment, "status"), ""};
  BOOST_OUTCOME_TRY(body, CallAny(client, request));
  return DecodeStatus(body);
}

}  // namespace cardamomchute

#include "cardamomchute/operators/http_api.h"

#include "cardamomchute/operators/document.h"
#include "cardamomchute/operators/json.h"

namespace cardamomchute {
namespace {

HttpResponse ErrorResponse(const Error& error) {
  return HttpResponse{
      HttpStatusOf(error.kind), "application/json", EncodeError(error), {}};
}

/// Turns a result into the response that carries it.
template <typename T>
std::function<void(Result<T>)> Responder(HttpDone done,
                                         std::string (*encode)(const T&)) {
  return [done = std::move(done), encode](Result<T> result) {
    if (!result.has_value()) return done(ErrorResponse(result.error()));
    done(HttpResponse{200, "application/json", encode(result.value()), {}});
  };
}

Environment EnvironmentOf(const HttpRequest& request) {
  return Environment(request.captures.at("env"));
}

Status CheckText(const std::string& text) {
  DocumentOutcome outcome = ParseDocument(text);
  if (outcome.document) return Ok();
  std::string message =
      "the document has " + std::to_string(outcome.faults.size()) + " fault(s)";
  for (const Fault& fault : outcome.faults) message += "\n" + ToString(fault);
  return Error{ErrorKind::kInvalidInput, message,
               "correct them and submit again; `cardamomchute validate` "
               "checks a file offline"};
}

Status CheckTtl(Duration ttl) {
  if (ttl >= kMinAnnouncementTtl && ttl <= kMaxAnnouncementTtl) return Ok();
  return Error{ErrorKind::kInvalidInput,
               "ttl_ms " + std::to_string(ttl.ms()) + " is out of range",
               "give " + std::to_string(kMinAnnouncementTtl.ms()) + " to " +
                   std::to_string(kMaxAnnouncementTtl.ms()) +
                   " and announce again within every third of it"};
}

Status CheckAnnouncement(const EndpointAnnouncement& given,
                         const Environment& environment) {
  if (given.environment != environment) {
    return Error{ErrorKind::kConflict,
                 "this VM serves environment \"" + environment.value() +
                     "\", not \"" + given.environment.value() + "\"",
                 "announce to an entry VM of the endpoint's environment"};
  }
  return CheckTtl(given.announcement.ttl);
}

void HandleSubmit(const OperatorApi& api, const HttpRequest& request,
                  HttpDone done) {
  Result<Submission> submission =
      DecodeSubmission(request.body, EnvironmentOf(request));
  if (!submission.has_value()) return done(ErrorResponse(submission.error()));
  Status checked = CheckText(submission.value().text);
  if (!checked.has_value()) return done(ErrorResponse(checked.error()));
  api.submit(std::move(submission).value(),
             Responder(std::move(done), EncodeSubmitOutcome));
}

void HandlePromote(const OperatorApi& api, const HttpRequest& request,
                   HttpDone done) {
  Result<Promotion> promotion =
      DecodePromotion(request.body, EnvironmentOf(request));
  if (!promotion.has_value()) return done(ErrorResponse(promotion.error()));
  api.promote(std::move(promotion).value(),
              Responder(std::move(done), EncodeSubmitOutcome));
}

}  // namespace

uint32_t HttpStatusOf(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kInvalidInput:
      return 400;
    case ErrorKind::kNotFound:
      return 404;
    case ErrorKind::kConflict:
      return 409;
    case ErrorKind::kUnauthorized:
      return 403;
    case ErrorKind::kUnavailable:
    case ErrorKind::kNotLeader:
      return 503;
    case ErrorKind::kTimeout:
      return 504;
    case ErrorKind::kProtocol:
      return 502;
    case ErrorKind::kCorrupt:
    case ErrorKind::kIo:
      return 500;
  }
  return 500;
}

std::vector<HttpRoute> OperatorRoutes(OperatorApi api) {
  const std::string base = "/v1/environments/{env}";
  std::vector<HttpRoute> routes;
  routes.push_back(
      {"POST", base + "/submit", [api](HttpRequest request, HttpDone done) {
         HandleSubmit(api, request, std::move(done));
       }});
  routes.push_back(
      {"POST", base + "/promote", [api](HttpRequest request, HttpDone done) {
         HandlePromote(api, request, std::move(done));
       }});
  routes.push_back(
      {"GET", base + "/history", [api](HttpRequest request, HttpDone done) {
         api.history(EnvironmentOf(request),
                     Responder(std::move(done), EncodeHistory));
       }});
  routes.push_back(
      {"GET", base + "/status", [api](HttpRequest request, HttpDone done) {
         api.status(EnvironmentOf(request),
                    Responder(std::move(done), EncodeStatus));
       }});
  return routes;
}

std::vector<HttpRoute> AnnounceRoutes(Environment environment,
                                      AnnounceSink announce) {
  auto handle = [environment = std::move(environment),
                 announce = std::move(announce)](HttpRequest request,
                                                 HttpDone done) {
    Result<EndpointAnnouncement> given = DecodeAnnouncement(request.body);
    if (!given.has_value()) return done(ErrorResponse(given.error()));
    Status checked = CheckAnnouncement(given.value(), environment);
    if (!checked.has_value()) return done(ErrorResponse(checked.error()));
    announce(given.value().announcement);
    done(HttpResponse{200, "application/json", "{\"accepted\":true}", {}});
  };
  return {{"POST", "/v1/announce", std::move(handle)}};
}

}  // namespace cardamomchute

#include "cardamomchute/operators/json.h"

#include "cardamomchute/base/settings.h"
#include "json_codec.h"

namespace cardamomchute {
namespace {

using nlohmann::json;

constexpr ErrorKind kAllErrorKinds[] = {
    ErrorKind::kInvalidInput, ErrorKind::kNotFound,  ErrorKind::kConflict,
    ErrorKind::kUnavailable,  ErrorKind::kNotLeader, ErrorKind::kCorrupt,
    ErrorKind::kIo,           ErrorKind::kProtocol,  ErrorKind::kTimeout,
    ErrorKind::kUnauthorized};

/// An error as a value that was received, apart from a Result's own.
struct WireError {
  Error error;
};

std::optional<ErrorKind> ParseErrorKind(std::string_view name) {
  for (ErrorKind kind : kAllErrorKinds) {
    if (ToString(kind) == name) return kind;
  }
  return std::nullopt;
}

json ToJson(const DocumentRecord& record) {
  return {{"version", record.version},
          {"hash", record.hash},
          {"submitter", record.submitter},
          {"origin", record.origin},
          {"text", record.text}};
}

DocumentRecord ReadRecord(const json& object) {
  DocumentRecord record;
  object.at("version").get_to(record.version);
  object.at("hash").get_to(record.hash);
  object.at("submitter").get_to(record.submitter);
  object.at("origin").get_to(record.origin);
  object.at("text").get_to(record.text);
  return record;
}

/// A number with a fraction, or beyond 64 bits, has no value as an integer.
Duration ReadMillis(const json& number) {
  if (!number.is_number_integer())
    throw std::invalid_argument("not a whole number of milliseconds");
  return Millis(number.get<int64_t>());
}

Address ReadAddress(const json& text) {
  std::optional<Address> address = ParseAddress(text.get<std::string>());
  if (!address) throw std::invalid_argument("\"address\" is not \"IP:port\"");
  return *address;
}

template <typename T>
T ReadNamed(const json& object, const char* key) {
  T id = object.at(key).get<T>();
  if (id.empty())
    throw std::invalid_argument(std::string("\"") + key + "\" is empty");
  return id;
}

}  // namespace

std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string EncodeSubmission(const Submission& submission) {
  return Dump({{"replaces", submission.replaces},
               {"submission_id", submission.id},
               {"submitter", submission.submitter},
               {"text", submission.text}});
}

Result<Submission> DecodeSubmission(std::string_view text,
                                    const Environment& environment) {
  return DecodeWith<Submission>(text, [&](const json& object) {
    Submission submission;
    submission.environment = environment;
    object.at("replaces").get_to(submission.replaces);
    submission.id = ReadNamed<SubmissionId>(object, "submission_id");
    object.at("submitter").get_to(submission.submitter);
    object.at("text").get_to(submission.text);
    return submission;
  });
}

std::string EncodePromotion(const Promotion& promotion) {
  return Dump({{"from", promotion.from},
               {"from_version", promotion.from_version},
               {"replaces", promotion.replaces},
               {"submission_id", promotion.id},
               {"submitter", promotion.submitter}});
}

Result<Promotion> DecodePromotion(std::string_view text,
                                  const Environment& to) {
  return DecodeWith<Promotion>(text, [&](const json& object) {
    Promotion promotion;
    promotion.to = to;
    promotion.from = ReadNamed<Environment>(object, "from");
    object.at("from_version").get_to(promotion.from_version);
    object.at("replaces").get_to(promotion.replaces);
    promotion.id = ReadNamed<SubmissionId>(object, "submission_id");
    object.at("submitter").get_to(promotion.submitter);
    return promotion;
  });
}

std::string EncodeSubmitOutcome(const SubmitOutcome& outcome) {
  return Dump({{"version", outcome.version},
               {"hash", outcome.hash},
               {"repeated", outcome.repeated}});
}

Result<SubmitOutcome> DecodeSubmitOutcome(std::string_view text) {
  return DecodeWith<SubmitOutcome>(text, [](const json& object) {
    SubmitOutcome outcome;
    object.at("version").get_to(outcome.version);
    object.at("hash").get_to(outcome.hash);
    object.at("repeated").get_to(outcome.repeated);
    return outcome;
  });
}

std::string EncodeHistory(const std::vector<DocumentRecord>& history) {
  json records = json::array();
  for (const DocumentRecord& record : history)
    records.push_back(ToJson(record));
  return Dump({{"history", records}});
}

Result<std::vector<DocumentRecord>> DecodeHistory(std::string_view text) {
  using History = std::vector<DocumentRecord>;
  return DecodeWith<History>(text, [](const json& object) {
    History history;
    for (const json& record : object.at("history"))
      history.push_back(ReadRecord(record));
    return history;
  });
}

std::string EncodeError(const Error& error) {
  return Dump({{"kind", ToString(error.kind)},
               {"message", error.message},
               {"remedy", error.remedy}});
}

Error DecodeError(std::string_view text) {
  Result<WireError> decoded =
      DecodeWith<WireError>(text, [](const json& object) {
        WireError wire;
        std::string kind = object.at("kind").get<std::string>();
        wire.error.kind = ParseErrorKind(kind).value_or(ErrorKind::kProtocol);
        object.at("message").get_to(wire.error.message);
        object.at("remedy").get_to(wire.error.remedy);
        return wire;
      });
  if (decoded.has_value()) return decoded.value().error;
  return Error{ErrorKind::kProtocol, std::string(text.substr(0, 200)),
               "check that the address is a VM's listen.http"};
}

std::string EncodeFaults(const std::vector<Fault>& faults) {
  json list = json::array();
  for (const Fault& fault : faults) {
    list.push_back({{"key", fault.key},
                    {"line", fault.line},
                    {"what", fault.what},
                    {"remedy", fault.remedy}});
  }
  return Dump({{"faults", list}});
}

std::string EncodeDiff(const DocumentDiff& diff) {
  return Dump({{"changes", diff.changes}, {"lines", diff.lines}});
}

std::string EncodeAnnouncement(const EndpointAnnouncement& announcement) {
  const EndpointState& endpoint = announcement.announcement.endpoint;
  return Dump({{"id", endpoint.id},
               {"group", endpoint.group},
               {"environment", announcement.environment},
               {"address", ToString(endpoint.address)},
               {"zone", endpoint.zone},
               {"ttl_ms", announcement.announcement.ttl.ms()},
               {"leaving", endpoint.leaving}});
}

Result<EndpointAnnouncement> DecodeAnnouncement(std::string_view text) {
  return DecodeWith<EndpointAnnouncement>(text, [](const json& object) {
    EndpointAnnouncement out;
    EndpointState& endpoint = out.announcement.endpoint;
    out.environment = ReadNamed<Environment>(object, "environment");
    endpoint.id = ReadNamed<EndpointId>(object, "id");
    endpoint.group = ReadNamed<GroupId>(object, "group");
    endpoint.zone = ReadNamed<Zone>(object, "zone");
    endpoint.address = ReadAddress(object.at("address"));
    endpoint.leaving = object.value("leaving", false);
    out.announcement.ttl = ReadMillis(object.at("ttl_ms"));
    return out;
  });
}

}  // namespace cardamomchute

/// JSON of the operators' HTTP interface, for the server and the CLI alike.
///
/// Decoders ignore unknown keys and answer kInvalidInput for a wrong shape.
#ifndef CARDAMOMCHUTE_OPERATORS_JSON_H_
#define CARDAMOMCHUTE_OPERATORS_JSON_H_

#include <string>
#include <string_view>
#include <vector>

#include "cardamomchute/base/fault.h"
#include "cardamomchute/operators/diff.h"
#include "cardamomchute/policy/sessions/operations.h"

namespace cardamomchute {

std::string EncodeSubmission(const Submission& submission);
/// `environment` comes from the request's path.
Result<Submission> DecodeSubmission(std::string_view json,
                                    const Environment& environment);

std::string EncodePromotion(const Promotion& promotion);
/// `to` comes from the request's path.
Result<Promotion> DecodePromotion(std::string_view json, const Environment& to);

std::string EncodeSubmitOutcome(const SubmitOutcome& outcome);
Result<SubmitOutcome> DecodeSubmitOutcome(std::string_view json);

std::string EncodeHistory(const std::vector<DocumentRecord>& history);
Result<std::vector<DocumentRecord>> DecodeHistory(std::string_view json);

std::string EncodeStatus(const StatusReport& report);
/// Documents are read again from their text.
Result<StatusReport> DecodeStatus(std::string_view json);

/// {"kind", "message", "remedy"}
std::string EncodeError(const Error& error);
/// A text that is no such object becomes kProtocol.
Error DecodeError(std::string_view json);

/// {"faults": [{"key", "line", "what", "remedy"}]}
std::string EncodeFaults(const std::vector<Fault>& faults);

/// {"changes": [...], "lines": [...]}
std::string EncodeDiff(const DocumentDiff& diff);

/// An announcement together with the environment the endpoint believes in.
struct EndpointAnnouncement {
  Environment environment;
  Announcement announcement;
};

std::string EncodeAnnouncement(const EndpointAnnouncement& announcement);
Result<EndpointAnnouncement> DecodeAnnouncement(std::string_view json);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_OPERATORS_JSON_H_

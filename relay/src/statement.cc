#include "cardamomchute/relay/statement.h"

#include <xxhash.h>

#include <cstdio>

namespace cardamomchute {

bool NotExecuted(StatementStatus outcome) {
  switch (outcome) {
    case StatementStatus::kDone:
    case StatementStatus::kFailed:
    case StatementStatus::kTimeout:
    case StatementStatus::kUnknown:
      return false;
    default:
      return true;
  }
}

bool ReachesEndpoint(CallerVerb kind) {
  switch (kind) {
    case CallerVerb::kBegin:
    case CallerVerb::kBeginReadOnly:
    case CallerVerb::kRead:
    case CallerVerb::kWrite:
    case CallerVerb::kExecute:
    case CallerVerb::kCommit:
      return true;
    default:
      return false;
  }
}

std::string_view ToString(StatementStatus outcome) {
  switch (outcome) {
    case StatementStatus::kDone:
      return "done";
    case StatementStatus::kBusy:
      return "busy";
    case StatementStatus::kAborted:
      return "aborted";
    case StatementStatus::kLagging:
      return "lagging";
    case StatementStatus::kReadOnly:
      return "read_only";
    case StatementStatus::kMisrouted:
      return "misrouted";
    case StatementStatus::kTooManyConnections:
      return "too_many_connections";
    case StatementStatus::kUnknownPreparedStatement:
      return "no_prepared_statement";
    case StatementStatus::kMalformed:
      return "malformed";
    case StatementStatus::kNoDatabase:
      return "no_database";
    case StatementStatus::kUnreachable:
      return "unreachable";
    case StatementStatus::kFailed:
      return "failed";
    case StatementStatus::kTimeout:
      return "timeout";
    case StatementStatus::kUnknown:
      return "unknown";
    case StatementStatus::kUnauthorized:
      return "unauthorized";
  }
  return "unknown";
}

std::string StatementSharedName(const std::string& shape, bool writes) {
  XXH128_hash_t hash = XXH3_128bits(shape.data(), shape.size());
  char name[40];
  std::snprintf(name, sizeof name, "%c%016llx%016llx", writes ? 'w' : 'r',
                static_cast<unsigned long long>(hash.high64),
                static_cast<unsigned long long>(hash.low64));
  return name;
}

}  // namespace cardamomchute

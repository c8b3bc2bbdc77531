#include "cardamomchute/relay/statement.h"

#include <xxhash.h>

#include <cstdio>

namespace cardamomchute {

bool NotRun(Outcome outcome) {
  switch (outcome) {
    case Outcome::kDone:
    case Outcome::kFailed:
    case Outcome::kTimeout:
    case Outcome::kUnknown:
      return false;
    default:
      return true;
  }
}

std::string_view ToString(Outcome outcome) {
  switch (outcome) {
    case Outcome::kDone:
      return "done";
    case Outcome::kBusy:
      return "busy";
    case Outcome::kAborted:
      return "aborted";
    case Outcome::kLagging:
      return "lagging";
    case Outcome::kReadOnly:
      return "read_only";
    case Outcome::kMisrouted:
      return "misrouted";
    case Outcome::kTooMany:
      return "too_many_connections";
    case Outcome::kNoStatement:
      return "no_prepared_statement";
    case Outcome::kMalformed:
      return "malformed";
    case Outcome::kNoDatabase:
      return "no_database";
    case Outcome::kUnreachable:
      return "unreachable";
    case Outcome::kFailed:
      return "failed";
    case Outcome::kTimeout:
      return "timeout";
    case Outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

std::string SharedName(const std::string& shape, bool writes) {
  XXH128_hash_t hash = XXH3_128bits(shape.data(), shape.size());
  char name[40];
  std::snprintf(name, sizeof name, "%c%016llx%016llx", writes ? 'w' : 'r',
                static_cast<unsigned long long>(hash.high64),
                static_cast<unsigned long long>(hash.low64));
  return name;
}

}  // namespace cardamomchute

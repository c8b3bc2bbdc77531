#include "cardamomchute/base/error.h"

namespace cardamomchute {

std::string_view ToString(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kInvalidInput:
      return "invalid_input";
    case ErrorKind::kNotFound:
      return "not_found";
    case ErrorKind::kConflict:
      return "conflict";
    case ErrorKind::kUnavailable:
      return "unavailable";
    case ErrorKind::kNotLeader:
      return "not_leader";
    case ErrorKind::kCorrupt:
      return "corrupt";
    case ErrorKind::kIo:
      return "io";
    case ErrorKind::kProtocol:
      return "protocol";
    case ErrorKind::kTimeout:
      return "timeout";
    case ErrorKind::kUnauthorized:
      return "unauthorized";
  }
  return "unknown";
}

std::string ToString(const Error& error) {
  std::string text(ToString(error.kind));
  text += ": " + error.message;
  if (!error.remedy.empty()) text += "; " + error.remedy;
  return text;
}

}  // namespace cardamomchute

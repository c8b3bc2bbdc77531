/// Errors as typed kinds whose message names the remedy.
#ifndef CARDAMOMCHUTE_BASE_ERROR_H_
#define CARDAMOMCHUTE_BASE_ERROR_H_

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/success_failure.hpp>
#include <boost/outcome/try.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace cardamomchute {

enum class ErrorKind {
  kInvalidInput,  ///< the input breaks a rule; the message says which
  kNotFound,      ///< nothing has that name
  kConflict,      ///< somebody else's change came first
  kUnavailable,   ///< nobody can serve this now; trying later may help
  kNotLeader,     ///< another control member leads
  kCorrupt,       ///< stored bytes fail their checksum
  kIo,            ///< the operating system refused
  kProtocol,      ///< the other end broke the protocol
  kTimeout,       ///< no answer in time
  kUnauthorized,  ///< the one who asks may not
};

std::string_view ToString(ErrorKind kind);

/// What went wrong, and what the reader can do about it.
struct Error {
  ErrorKind kind = ErrorKind::kInvalidInput;
  std::string message;
  std::string remedy;
};

/// "kind: message; remedy"
std::string ToString(const Error& error);

/// A value or an Error; `value()` on an error ends the process.
template <typename T>
using Result =
    boost::outcome_v2::basic_result<T, Error,
                                    boost::outcome_v2::policy::terminate>;

/// Nothing or an Error.
using Status = Result<void>;

inline boost::outcome_v2::success_type<void> Ok() {
  return boost::outcome_v2::success();
}

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_BASE_ERROR_H_

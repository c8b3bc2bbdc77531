/// Decides on a caller's startup packet: let in under a grant, or refused.
#ifndef CARDAMOMCHUTE_CALLERS_SRC_STARTUP_H_
#define CARDAMOMCHUTE_CALLERS_SRC_STARTUP_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cardamomchute/pgwire/message.h"
#include "cardamomchute/policy/admission/access.h"
#include "cardamomchute/policy/documents/document.h"
#include "cardamomchute/policy/quorum/view.h"
#include "cardamomchute/policy/sessions/session_options.h"

namespace cardamomchute {

/// A caller that was let in.
struct AdmittedCaller {
  Caller caller;
  Grant grant;
  SessionOptions options;
  /// SQL for the settings that came with the startup packet.
  std::vector<std::string> setup;
  /// What the caller is told of the server's settings.
  std::vector<pgwire::StartupPacket::Option> parameters;
};

struct StartupOutcome {
  std::optional<pgwire::Report> refusal;
  AdmittedCaller admitted;
};

/// Judges a version-3 startup packet under the current document. `callers` is
/// how many the VM serves already.
StartupOutcome JudgeStartup(const pgwire::StartupPacket& packet,
                            const ClusterView& view, size_t callers);

/// A refusal that ends the connection.
pgwire::Report FatalReport(std::string sqlstate, std::string message,
                           std::string hint);

/// The report for an access decision that went against the caller.
pgwire::Report AccessReport(const Error& error);

/// Splits the value of the startup key "options" ("-c a=b --c=d") into
/// settings; kInvalidInput when it holds anything else.
Result<std::vector<pgwire::StartupPacket::Option>> SplitOptions(
    std::string_view text);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_CALLERS_SRC_STARTUP_H_

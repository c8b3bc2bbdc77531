/// The errors a session tells its caller by itself, with their remedies.
#ifndef CARDAMOMCHUTE_CALLERS_SRC_SESSION_REPORTS_H_
#define CARDAMOMCHUTE_CALLERS_SRC_SESSION_REPORTS_H_

#include <string>

#include "cardamomchute/channel/channel.h"
#include "cardamomchute/pgwire/message.h"

namespace cardamomchute {

pgwire::Report MakeReport(std::string sqlstate, std::string message,
                          std::string hint);

/// 57P03: nothing reached an endpoint.
pgwire::Report NotRunReport(const std::string& reason);
/// 08007: it may or may not have run.
pgwire::Report UnknownReport(const std::string& reason);
/// 08006: a read whose answer broke off.
pgwire::Report BrokenReadReport(const std::string& reason);
/// 40001: the open transaction is rolled back.
pgwire::Report LostBlockReport(const std::string& reason);
/// 25P02: the block failed and its end has not come yet.
pgwire::Report FailedBlockReport();
/// 57P01: the VM is about to stop.
pgwire::Report ShutdownReport();

/// The report for an ending other than kAnswered; `in_block`: it also ended
/// the caller's transaction.
pgwire::Report EndingReport(const StatementEnd& end, bool in_block);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_CALLERS_SRC_SESSION_REPORTS_H_

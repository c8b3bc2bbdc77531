/// Runs SQL queries on a dedicated connection and closes it.
#ifndef CARDAMOMCHUTE_ENDPOINTS_SRC_SQL_RUNNER_H_
#define CARDAMOMCHUTE_ENDPOINTS_SRC_SQL_RUNNER_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>
#include <vector>

#include "cardamomchute/base/error.h"
#include "cardamomchute/base/time.h"
#include "endpoint_connection.h"

namespace cardamomchute {

/// DataRow bodies of all answers, in order.
using SqlRows = std::vector<std::string>;

/// Runs `queries` in order. Calls `done` once, within about `timeout` and never
/// before this function returns, with an error if the endpoint cannot be
/// reached or a query fails.
void RunSql(boost::asio::io_context& io, const EndpointLogin& login,
            std::vector<std::string> queries, Duration timeout,
            std::function<void(Result<SqlRows>)> done);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_ENDPOINTS_SRC_SQL_RUNNER_H_

/// Runs a few SQL strings on a connection of their own, then closes it.
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

/// The DataRow bodies of all answers, in order.
using SqlRows = std::vector<std::string>;

/// `done` runs once, within about `timeout`, never before this returns; an
/// error when the endpoint can't be reached or one of the strings failed.
void RunSql(boost::asio::io_context& io, const EndpointLogin& login,
            std::vector<std::string> queries, Duration timeout,
            std::function<void(Result<SqlRows>)> done);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_ENDPOINTS_SRC_SQL_RUNNER_H_

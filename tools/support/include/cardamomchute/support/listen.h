/// Addresses on the command line of a tool, and acceptors for them.
#ifndef CARDAMOMCHUTE_SUPPORT_LISTEN_H_
#define CARDAMOMCHUTE_SUPPORT_LISTEN_H_

#include <boost/asio/ip/tcp.hpp>
#include <string>

#include "cardamomchute/base/error.h"
#include "cardamomchute/base/ids.h"

namespace cardamomchute::support {

/// "host:port"; kInvalidInput otherwise.
Result<Address> ReadAddress(const std::string& text);

/// Binds and listens. Port 0 takes a free one. kIo when it can't be had.
Result<boost::asio::ip::tcp::acceptor> Listen(
    boost::asio::any_io_executor executor, const Address& address);

Result<boost::asio::ip::tcp::endpoint> ToEndpoint(const Address& address);

}  // namespace cardamomchute::support

#endif  // CARDAMOMCHUTE_SUPPORT_LISTEN_H_

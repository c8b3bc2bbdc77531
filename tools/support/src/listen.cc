#include "cardamomchute/support/listen.h"

#include <charconv>

namespace cardamomchute::support {

using boost::asio::ip::tcp;
using boost::system::error_code;

Result<Address> ReadAddress(const std::string& text) {
  size_t colon = text.rfind(':');
  Address address;
  Error malformed{ErrorKind::kInvalidInput, "\"" + text + "\" is no address",
                  "write host:port"};
  if (colon == std::string::npos || colon == 0) return malformed;
  address.host = text.substr(0, colon);
  const char* end = text.data() + text.size();
  std::from_chars_result r =
      std::from_chars(text.data() + colon + 1, end, address.port);
  if (r.ec != std::errc() || r.ptr != end) return malformed;
  return address;
}

Result<tcp::endpoint> ToEndpoint(const Address& address) {
  error_code failed;
  boost::asio::ip::address ip =
      boost::asio::ip::make_address(address.host, failed);
  if (failed) {
    return Error{ErrorKind::kInvalidInput,
                 "\"" + address.host + "\" is no IP number",
                 "write an IP number such as 127.0.0.1"};
  }
  return tcp::endpoint(ip, address.port);
}

Result<tcp::acceptor> Listen(boost::asio::any_io_executor executor,
                             const Address& address) {
  BOOST_OUTCOME_TRY(endpoint, ToEndpoint(address));
  tcp::acceptor acceptor(executor);
  error_code failed;
  acceptor.open(endpoint.protocol(), failed);
  if (!failed) acceptor.set_option(tcp::acceptor::reuse_address(true), failed);
  if (!failed) acceptor.bind(endpoint, failed);
  if (!failed) acceptor.listen(tcp::acceptor::max_listen_connections, failed);
  if (!failed) return acceptor;
  return Error{ErrorKind::kIo,
               "can't listen on " + ToString(address) + ": " + failed.message(),
               "choose a free address of this VM"};
}

}  // namespace cardamomchute::support

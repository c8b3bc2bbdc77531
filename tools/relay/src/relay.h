/// Passes TCP connections on and does nothing else: the baseline that the
/// proxy's overhead is measured against.
#ifndef CARDAMOMCHUTE_RELAY_RELAY_H_
#define CARDAMOMCHUTE_RELAY_RELAY_H_

#include <boost/asio/ip/tcp.hpp>

namespace cardamomchute::relay {

class Relay {
 public:
  Relay(boost::asio::ip::tcp::acceptor acceptor,
        boost::asio::ip::tcp::endpoint target);

  /// Accepts till the acceptor is closed.
  void Start();

 private:
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::ip::tcp::endpoint target_;
};

}  // namespace cardamomchute::relay

#endif  // CARDAMOMCHUTE_RELAY_RELAY_H_

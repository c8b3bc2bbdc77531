/// cardamomchute-relay: a bare TCP relay on one thread.
#include <tclap/CmdLine.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>

#include "cardamomchute/support/listen.h"
#include "relay.h"

namespace cardamomchute::relay {
namespace {

Status Run(const std::string& listen_text, const std::string& target_text) {
  boost::asio::io_context io(1);
  BOOST_OUTCOME_TRY(listen, support::ReadAddress(listen_text));
  BOOST_OUTCOME_TRY(target, support::ReadAddress(target_text));
  BOOST_OUTCOME_TRY(endpoint, support::ToEndpoint(target));
  BOOST_OUTCOME_TRY(acceptor, support::Listen(io.get_executor(), listen));
  Relay relay(std::move(acceptor), endpoint);
  relay.Start();
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&io](boost::system::error_code, int) { io.stop(); });
  io.run();
  return Ok();
}

int Main(int argc, char** argv) {
  TCLAP::CmdLine line("A bare TCP relay, to measure against", ' ', "0.1");
  TCLAP::ValueArg<std::string> listen("", "listen", "where clients connect",
                                      true, "", "host:port", line);
  TCLAP::ValueArg<std::string> target(
      "", "target", "where they are passed on to", true, "", "host:port", line);
  line.parse(argc, argv);
  Status done = Run(listen.getValue(), target.getValue());
  if (done) return 0;
  std::cerr << "cardamomchute-relay: " << ToString(done.error()) << "\n";
  return 1;
}

}  // namespace
}  // namespace cardamomchute::relay

int main(int argc, char** argv) {
  return cardamomchute::relay::Main(argc, argv);
}

/// cardamomchute-faultproxy: a TCP proxy that brings about network faults.
#include <tclap/CmdLine.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>

#include "cardamomchute/base/log.h"
#include "cardamomchute/support/listen.h"
#include "control.h"

namespace cardamomchute::faultproxy {
namespace {

struct Arguments {
  TCLAP::CmdLine line{"A TCP proxy that brings about network faults", ' ',
                      "0.1"};
  TCLAP::ValueArg<std::string> listen{
      "", "listen", "where clients connect", false, "", "host:port", line};
  TCLAP::ValueArg<std::string> target{
      "",          "target", "where they are passed on to", false, "",
      "host:port", line};
  TCLAP::MultiArg<std::string> routes{
      "", "route", "one more pair", false, "host:port=host:port", line};
  TCLAP::ValueArg<std::string> admin{
      "", "admin", "where it is driven over HTTP", true, "", "host:port", line};
};

Status AddRoute(boost::asio::io_context* io, const std::string& listen,
                const std::string& target, Routes* routes) {
  BOOST_OUTCOME_TRY(from, support::ReadAddress(listen));
  BOOST_OUTCOME_TRY(to, support::ReadAddress(target));
  routes->push_back(std::make_unique<Route>(io->get_executor(), from, to));
  return routes->back()->Start();
}

Status AddRoutes(boost::asio::io_context* io, Arguments& arguments,
                 Routes* routes) {
  if (arguments.listen.isSet()) {
    BOOST_OUTCOME_TRY(AddRoute(io, arguments.listen.getValue(),
                               arguments.target.getValue(), routes));
  }
  for (const std::string& pair : arguments.routes.getValue()) {
    size_t equals = pair.find('=');
    std::string target =
        equals == std::string::npos ? "" : pair.substr(equals + 1);
    BOOST_OUTCOME_TRY(AddRoute(io, pair.substr(0, equals), target, routes));
  }
  if (!routes->empty()) return Ok();
  return Error{ErrorKind::kInvalidInput, "no route",
               "pass --listen and --target, or --route"};
}

Status Run(Arguments& arguments) {
  boost::asio::io_context io(1);
  Routes routes;
  BOOST_OUTCOME_TRY(AddRoutes(&io, arguments, &routes));
  BOOST_OUTCOME_TRY(address, support::ReadAddress(arguments.admin.getValue()));
  BOOST_OUTCOME_TRY(admin, support::Listen(io.get_executor(), address));
  boost::asio::co_spawn(
      io,
      support::ServeAdmin(
          std::move(admin),
          [&routes](const support::AdminRequest& request) {
            LogLine(LogLevel::kInfo, "admin").Field("path", request.path);
            return Drive(&routes, request);
          }),
      boost::asio::detached);
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&io](boost::system::error_code, int) { io.stop(); });
  for (const std::unique_ptr<Route>& route : routes) {
    LogLine(LogLevel::kInfo, "listen").Field("route", route->StateJson());
  }
  io.run();
  return Ok();
}

int Main(int argc, char** argv) {
  Arguments arguments;
  arguments.line.parse(argc, argv);
  StartLog("faultproxy", LogLevel::kInfo);
  Status done = Run(arguments);
  if (done) return 0;
  std::cerr << "cardamomchute-faultproxy: " << ToString(done.error()) << "\n";
  return 1;
}

}  // namespace
}  // namespace cardamomchute::faultproxy

int main(int argc, char** argv) {
  return cardamomchute::faultproxy::Main(argc, argv);
}

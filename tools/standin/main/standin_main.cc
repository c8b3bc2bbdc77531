/// cardamomchute-standin: one member of a stand-in PostgreSQL group.
#include <tclap/CmdLine.h>

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>

#include "cardamomchute/base/log.h"
#include "cardamomchute/support/listen.h"
#include "server.h"

namespace cardamomchute::standin {
namespace {

constexpr char kUrlPrefix[] = "http://";

Result<Address> ReadUrl(std::string url) {
  if (url.starts_with(kUrlPrefix)) url.erase(0, sizeof kUrlPrefix - 1);
  if (url.ends_with('/')) url.pop_back();
  return support::ReadAddress(url);
}

struct Arguments {
  using Text = TCLAP::ValueArg<std::string>;
  using Number = TCLAP::ValueArg<int>;

  TCLAP::CmdLine line{"One member of a stand-in PostgreSQL group", ' ', "0.1"};
  Text id{"", "id", "name of the member", true, "", "NAME", line};
  Text group{"", "group", "name of its group", false, "group", "NAME", line};
  Text zone{"", "zone", "its availability zone", false, "zone", "NAME", line};
  Text environment{"",    "environment", "environment it announces itself to",
                   false, "production",  "NAME",
                   line};
  Text listen{"",   "listen", "where PostgreSQL clients connect",
              true, "",       "host:port",
              line};
  Text repl_listen{"",
                   "repl-listen",
                   "where members that follow it connect; without it, the "
                   "port of --listen plus --repl-offset",
                   false,
                   "",
                   "host:port",
                   line};
  Text primary{"",
               "primary",
               "replication address of the member to follow; without it, the "
               "member starts as primary of term 1",
               false,
               "",
               "host:port",
               line};
  Number repl_offset{"",
                     "repl-offset",
                     "replication port less PostgreSQL port, for all members",
                     false,
                     1000,
                     "N",
                     line};
  Text admin{"",          "admin", "where it is driven over HTTP", false, "",
             "host:port", line};
  Number slots{"",  "slots", "statements that execute at once", false, 2,
               "N", line};
  Number service{
      "",  "service-us", "time each statement takes", false, 0, "MICROSECONDS",
      line};
  Number connect{"",
                 "connect-ms",
                 "time a new connection takes",
                 false,
                 0,
                 "MILLISECONDS",
                 line};
  Number max_connections{
      "", "max-connections", "connections it takes", false, 100, "N", line};
  Number lag{"",    "lag-ms", "time from receiving to replaying",
             false, 0,        "MILLISECONDS",
             line};
  Text history{"",    "history", "file to note commits and promotions in",
               false, "",        "FILE",
               line};
  Number ttl{"",    "ttl-ms", "how long an announcement holds",
             false, 3000,     "MILLISECONDS",
             line};
  TCLAP::MultiArg<std::string> announce{
      "",    "announce",         "HTTP address of an entry VM",
      false, "http://host:port", line};
  Text announce_address{"",
                        "announce-address",
                        "the address it announces, when that is not --listen",
                        false,
                        "",
                        "host:port",
                        line};
  Text log_level{"",    "log-level", "debug, info, warn or error",
                 false, "info",      "LEVEL",
                 line};
};

Result<ServerOptions> ToOptions(Arguments& a) {
  ServerOptions o;
  o.id = EndpointId(a.id.getValue());
  o.group = GroupId(a.group.getValue());
  o.zone = Zone(a.zone.getValue());
  o.environment = Environment(a.environment.getValue());
  o.repl_offset = a.repl_offset.getValue();
  BOOST_OUTCOME_TRY(listen, support::ReadAddress(a.listen.getValue()));
  o.listen = listen;
  o.repl_listen = listen;
  o.repl_listen.port = static_cast<uint16_t>(listen.port + o.repl_offset);
  if (a.repl_listen.isSet()) {
    BOOST_OUTCOME_TRY(repl, support::ReadAddress(a.repl_listen.getValue()));
    o.repl_listen = repl;
  }
  if (a.primary.isSet()) {
    BOOST_OUTCOME_TRY(primary, support::ReadAddress(a.primary.getValue()));
    o.primary = primary;
  }
  if (a.admin.isSet()) {
    BOOST_OUTCOME_TRY(admin, support::ReadAddress(a.admin.getValue()));
    o.admin = admin;
  }
  if (a.announce_address.isSet()) {
    BOOST_OUTCOME_TRY(announced,
                      support::ReadAddress(a.announce_address.getValue()));
    o.announce_address = announced;
  }
  for (const std::string& url : a.announce.getValue()) {
    BOOST_OUTCOME_TRY(target, ReadUrl(url));
    o.announce.push_back(target);
  }
  o.slots = static_cast<size_t>(a.slots.getValue());
  o.service = std::chrono::microseconds(a.service.getValue());
  o.connect_cost = std::chrono::milliseconds(a.connect.getValue());
  o.max_connections = static_cast<size_t>(a.max_connections.getValue());
  o.lag = Millis(a.lag.getValue());
  o.history_path = a.history.getValue();
  o.ttl = Millis(a.ttl.getValue());
  return o;
}

int Fail(const Error& error) {
  std::cerr << "cardamomchute-standin: " << ToString(error) << "\n";
  return 1;
}

int Main(int argc, char** argv) {
  Arguments arguments;
  arguments.line.parse(argc, argv);
  StartLog(arguments.id.getValue(),
           ParseLogLevel(arguments.log_level.getValue()));
  Result<ServerOptions> options = ToOptions(arguments);
  if (!options) return Fail(options.error());
  boost::asio::io_context io(1);
  Server server(&io, std::move(options.value()));
  Status started = server.Start();
  if (!started) return Fail(started.error());
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&server](boost::system::error_code failed, int) {
    if (!failed) server.Shutdown();
  });
  LogLine(LogLevel::kInfo, "listen")
      .Field("port", server.port())
      .Field("repl_port", server.repl_port())
      .Field("primary", server.member().is_primary());
  io.run();
  return 0;
}

}  // namespace
}  // namespace cardamomchute::standin

int main(int argc, char** argv) {
  return cardamomchute::standin::Main(argc, argv);
}

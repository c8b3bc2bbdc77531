#include "route.h"

#include <array>
#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>
#include <string>
#include <thread>

namespace cardamomchute::faultproxy {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr std::chrono::seconds kGiveUp(20);

boost::asio::awaitable<void> Echo(tcp::socket socket) {
  std::array<char, 4096> bytes{};
  for (;;) {
    size_t size = co_await socket.async_read_some(boost::asio::buffer(bytes),
                                                  boost::asio::use_awaitable);
    co_await boost::asio::async_write(socket,
                                      boost::asio::buffer(bytes.data(), size),
                                      boost::asio::use_awaitable);
  }
}

boost::asio::awaitable<void> EchoAll(tcp::acceptor* acceptor) {
  for (;;) {
    tcp::socket socket =
        co_await acceptor->async_accept(boost::asio::use_awaitable);
    boost::asio::co_spawn(acceptor->get_executor(), Echo(std::move(socket)),
                          boost::asio::detached);
  }
}

/// A route to an echo server, all on the test's own thread.
struct Fixture {
  Fixture()
      : acceptor(io, {boost::asio::ip::address_v4::loopback(), 0}),
        route(io.get_executor(), {"127.0.0.1", 0},
              {"127.0.0.1", acceptor.local_endpoint().port()}) {
    boost::asio::co_spawn(io, EchoAll(&acceptor), boost::asio::detached);
    BOOST_REQUIRE(route.Start());
  }

  /// Runs the io_context till `done`; false when it gave up.
  template <typename Done>
  bool RunUntil(Done done) {
    std::chrono::steady_clock::time_point give_up =
        std::chrono::steady_clock::now() + kGiveUp;
    while (!done() && std::chrono::steady_clock::now() < give_up) {
      io.restart();
      io.run_one_for(std::chrono::milliseconds(10));
    }
    return done();
  }

  struct Client {
    explicit Client(Fixture* f) : fixture(f), socket(f->io) {}

    void Connect() {
      socket.connect(
          {boost::asio::ip::address_v4::loopback(), fixture->route.port()});
      Read();
    }
    void Read() {
      socket.async_read_some(boost::asio::buffer(bytes),
                             [this](error_code failed, size_t size) {
                               got.append(bytes.data(), size);
                               error = failed;
                               if (!failed) Read();
                             });
    }
    void Send(const std::string& text) {
      boost::asio::write(socket, boost::asio::buffer(text));
    }
    bool Gets(const std::string& text) {
      return fixture->RunUntil([&] { return got == text; });
    }

    Fixture* fixture;
    tcp::socket socket;
    std::array<char, 256> bytes{};
    std::string got;
    error_code error;
  };

  /// Lets the proxy do all that it can do at once.
  void Settle() {
    for (int i = 0; i < 50; ++i) {
      io.restart();
      io.run_one_for(std::chrono::milliseconds(1));
    }
  }

  boost::asio::io_context io;
  tcp::acceptor acceptor;
  Route route;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(route, Fixture)

BOOST_AUTO_TEST_CASE(PassesBytesAndEnds) {
  Client client(this);
  client.Connect();
  client.Send("hello");
  BOOST_TEST(client.Gets("hello"));
  client.socket.shutdown(tcp::socket::shutdown_send);
  BOOST_TEST(RunUntil([&] { return client.error.failed(); }));
  BOOST_TEST(RunUntil([&] { return route.connections() == 0; }));
}

BOOST_AUTO_TEST_CASE(CutHoldsAndRestoreDelivers) {
  Client client(this);
  client.Connect();
  client.Send("a");
  BOOST_TEST(client.Gets("a"));
  route.Cut();
  Client late(this);
  late.Connect();
  late.Send("late");
  client.Send("b");
  Settle();
  BOOST_TEST(client.got == "a");
  BOOST_TEST(late.got.empty());
  BOOST_TEST(!client.error.failed());
  route.Restore();
  BOOST_TEST(client.Gets("ab"));
  BOOST_TEST(late.Gets("late"));
}

BOOST_AUTO_TEST_CASE(DropStopsOneDirection) {
  Client client(this);
  client.Connect();
  client.Send("a");
  BOOST_TEST(client.Gets("a"));
  route.Drop(false);
  client.Send("b");
  bool passed = RunUntil([&] {
    std::string state = route.StateJson();
    return state.find("\"to_target\":{\"bytes\":2") != std::string::npos;
  });
  BOOST_TEST(passed);
  Settle();
  BOOST_TEST(client.got == "a");
  route.Restore();
  BOOST_TEST(client.Gets("ab"));
}

BOOST_AUTO_TEST_CASE(SilenceIsForGoodAndSparesNewConnections) {
  Client old(this);
  old.Connect();
  old.Send("a");
  BOOST_TEST(old.Gets("a"));
  route.Silence();
  old.Send("b");
  Client fresh(this);
  fresh.Connect();
  fresh.Send("c");
  BOOST_TEST(fresh.Gets("c"));
  route.Restore();
  Settle();
  BOOST_TEST(old.got == "a");
  BOOST_TEST(!old.error.failed());
}

BOOST_AUTO_TEST_CASE(ResetEndsConnectionsOnly) {
  Client client(this);
  client.Connect();
  client.Send("a");
  BOOST_TEST(client.Gets("a"));
  route.Reset();
  BOOST_TEST(RunUntil([&] { return client.error.failed(); }));
  Client fresh(this);
  fresh.Connect();
  fresh.Send("c");
  BOOST_TEST(fresh.Gets("c"));
}

BOOST_AUTO_TEST_CASE(RefuseTakesNoConnectionTillRestore) {
  route.Refuse();
  Client refused(this);
  BOOST_CHECK_THROW(refused.Connect(), boost::system::system_error);
  route.Restore();
  Client fresh(this);
  fresh.Connect();
  fresh.Send("c");
  BOOST_TEST(fresh.Gets("c"));
}

BOOST_AUTO_TEST_CASE(DelayHoldsEachByteBack) {
  constexpr std::chrono::milliseconds kDelay(100);
  route.SetDelay(std::nullopt, kDelay);
  Client client(this);
  client.Connect();
  std::chrono::steady_clock::time_point sent = std::chrono::steady_clock::now();
  client.Send("a");
  BOOST_TEST(client.Gets("a"));
  bool both_ways = std::chrono::steady_clock::now() - sent >= 2 * kDelay;
  BOOST_TEST(both_ways);
}

BOOST_AUTO_TEST_CASE(HoldsABoundedNumberOfBytes) {
  route.Drop(true);
  Client client(this);
  client.Connect();
  client.socket.non_blocking(true);
  std::string chunk(64 * 1024, 'x');
  error_code full;
  constexpr size_t kFarTooMuch = 256 * 1024 * 1024;
  size_t taken = 0;
  while (!full && taken < kFarTooMuch) {
    taken += client.socket.write_some(boost::asio::buffer(chunk), full);
    io.restart();
    io.poll();
  }
  BOOST_TEST(taken < kFarTooMuch);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace cardamomchute::faultproxy

/// Random, truncated and oversized bytes at every listening port.
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <random>

#include "cardamomchute/pgwire/message.h"
#include "cluster.h"

namespace cardamomchute::testing {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr uint64_t kSeed = 41;
constexpr int kRounds = 60;
constexpr std::chrono::milliseconds kReadFor(30);

/// Sends `bytes`, reads what comes back for a moment, and closes.
void Throw(uint16_t port, const std::string& bytes) {
  asio::io_context io;
  tcp::socket socket(io);
  boost::system::error_code error;
  socket.connect({asio::ip::address_v4::loopback(), port}, error);
  BOOST_REQUIRE_MESSAGE(!error, "port " << port << ": " << error.message());
  asio::write(socket, asio::buffer(bytes), error);
  std::string answer(4096, '\0');
  socket.async_read_some(asio::buffer(answer),
                         [](boost::system::error_code, size_t) {});
  io.run_for(kReadFor);
}

std::string RandomBytes(std::mt19937_64& random) {
  std::string bytes(random() % 2000, '\0');
  for (char& byte : bytes) byte = static_cast<char>(random());
  return bytes;
}

/// A correct beginning, then noise, cut somewhere.
std::string BrokenConversation(std::mt19937_64& random) {
  std::string bytes =
      pgwire::Startup({{"user", kUser}, {"database", kDatabase}});
  if (random() % 2 == 0) bytes += pgwire::Query("SELECT 1");
  if (random() % 2 == 0) bytes += RandomBytes(random);
  return bytes.substr(0, random() % (bytes.size() + 1));
}

std::vector<std::string> Oversized() {
  return {std::string("\x7f\xff\xff\xff", 4) + std::string(100, 'x'),
          std::string("Q\x7f\xff\xff\xff", 5) + std::string(100, 'x'),
          std::string("\0\0\0\0", 4),
          pgwire::Startup({{"user", kUser}, {"database", kDatabase}}) +
              std::string("Q\x7f\xff\xff\xff", 5),
          "GET /" + std::string(100000, 'a') + " HTTP/1.1\r\n\r\n",
          "POST /v1/announce HTTP/1.1\r\nContent-Length: "
          "99999999999\r\n\r\n{"};
}

}  // namespace

BOOST_AUTO_TEST_CASE(broken_bytes_are_refused_and_hurt_nobody) {
  Cluster cluster("hostile");
  cluster.Start();
  Client bystander(cluster.entries[0].callers_port, kUser, kDatabase);
  BOOST_REQUIRE(bystander.Run("INSERT INTO t (k, v) VALUES ('b', '1')").ok);
  std::vector<uint16_t> ports;
  for (const VmProcess& vm : cluster.control) {
    ports.insert(ports.end(), {vm.http_port, vm.control_port});
  }
  for (const VmProcess& vm : cluster.entries) {
    ports.insert(ports.end(), {vm.callers_port, vm.peers_port, vm.http_port});
  }
  std::mt19937_64 random(kSeed);
  for (uint16_t port : ports) {
    for (const std::string& bytes : Oversized()) Throw(port, bytes);
  }
  for (int round = 0; round < kRounds; ++round) {
    uint16_t port = ports[random() % ports.size()];
    Throw(port,
          round % 2 == 0 ? RandomBytes(random) : BrokenConversation(random));
  }
  BOOST_TEST(bystander.Run("SELECT v FROM t WHERE k = 'b'").value == "1");
  for (std::vector<VmProcess>* vms : {&cluster.control, &cluster.entries}) {
    for (VmProcess& vm : *vms) BOOST_TEST(vm.process->Running(), vm.id);
  }
  for (VmProcess& vm : cluster.entries) {
    BOOST_TEST(vm.process->Terminate(kGiveUpSeconds), vm.id);
  }
}

}  // namespace cardamomchute::testing

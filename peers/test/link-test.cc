#include "cardamomchute/peers/link.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <vector>

namespace cardamomchute {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

struct Pair {
  asio::io_context io;
  std::shared_ptr<Link> left;
  tcp::socket right{io};

  Pair() {
    tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
    tcp::socket client(io);
    client.connect(acceptor.local_endpoint());
    right = acceptor.accept();
    left = std::make_shared<Link>(std::move(client));
  }
};

}  // namespace

BOOST_AUTO_TEST_CASE(frames_arrive_whole_and_in_order) {
  Pair pair;
  std::shared_ptr<Link> right = std::make_shared<Link>(std::move(pair.right));
  std::vector<size_t> sizes;
  right->Start(
      [&](FrameType type, std::string_view body) {
        BOOST_TEST((type == FrameType::kChannel));
        sizes.push_back(body.size());
        if (sizes.size() == 3) pair.io.stop();
      },
      [](const std::string&) {});
  pair.left->Start([](FrameType, std::string_view) {},
                   [](const std::string&) {});
  pair.left->Send(FrameType::kChannel, std::string(10, 'a'));
  pair.left->Send(FrameType::kChannel, std::string(1000000, 'b'));
  pair.left->Send(FrameType::kChannel, std::string());
  pair.io.run_for(std::chrono::seconds(10));
  BOOST_TEST(sizes == (std::vector<size_t>{10, 1000000, 0}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(invalid_first_frame_closes_the_link) {
  Pair pair;
  std::string reason;
  pair.left->Start([](FrameType, std::string_view) {},
                   [&](const std::string& r) {
                     reason = r;
                     pair.io.stop();
                   });
  asio::write(pair.right, asio::buffer(std::string("\x7f\xff\xff\xff\1", 5)));
  pair.io.run_for(std::chrono::seconds(10));
  BOOST_TEST(reason == "frame size out of range");
}

BOOST_AUTO_TEST_CASE(silent_peer_is_lost_while_its_connection_is_open) {
  Pair pair;
  std::string reason;
  pair.left->Start([](FrameType, std::string_view) {},
                   [&](const std::string& r) {
                     reason = r;
                     pair.io.stop();
                   });
  pair.io.run_for(std::chrono::seconds(10));
  BOOST_TEST(reason.find("peer silent") == 0u);
}

}  // namespace cardamomchute

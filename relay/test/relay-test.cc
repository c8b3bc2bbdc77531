#include "cardamomchute/relay/relay.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <memory>
#include <string>

#include "scarce_descriptors.h"
#include "serving_relay.h"

namespace cardamomchute {
namespace {

using boost::asio::ip::tcp;

/// Far more than a relay without callers runs in a fifth of a second.
constexpr size_t kManyHandlers = 1000;

BOOST_AUTO_TEST_SUITE(relay)

BOOST_AUTO_TEST_CASE(a_relay_without_free_descriptors_does_not_spin) {
  LoneRelay lone;
  std::unique_ptr<tcp::socket> caller = lone.Connect(lone.callers);
  std::unique_ptr<tcp::socket> peer = lone.Connect(lone.peers);
  {
    ScarceDescriptors scarce;
    BOOST_TEST(lone.io.run_for(std::chrono::milliseconds(200)) < kManyHandlers);
  }
  // Both are served once descriptors are free again.
  std::string request = "CONNECT nobody x\r\n";
  boost::asio::write(*caller, boost::asio::buffer(request));
  size_t answered = 0;
  char answer[64];
  caller->async_read_some(
      boost::asio::buffer(answer),
      [&](boost::system::error_code, size_t count) { answered = count; });
  lone.RunUntil([&] { return answered > 0; });
  BOOST_TEST(answered > 0u);
}

/// Another writer may claim so many.
constexpr uint32_t kManySlots = 500;

/// Guards against one heartbeat that takes every relay over its memory: it
/// names a group of no layout and claims many slots, and each relay opened a
/// connection for each.
BOOST_AUTO_TEST_CASE(endpoints_of_groups_that_no_layout_names_are_not_held) {
  LoneRelay lone;
  LineGroup group(&lone.io, "g9", 1);
  EndpointRecord record = group.Record(0, "a", 1);
  record.slots = kManySlots;
  lone.Know(record);
  lone.Name("g1", 8);
  lone.io.run_for(std::chrono::milliseconds(300));
  BOOST_TEST(group.member(0).connections == 0u);
  // They are as soon as a layout names their group.
  lone.Name("g9", 8);
  lone.RunUntil([&] { return group.member(0).connections > 0; });
  BOOST_TEST(group.member(0).connections > 0u);
}

/// Guards against connections beyond what the layout allows, however many slots
/// an endpoint claims.
BOOST_AUTO_TEST_CASE(the_layout_bounds_the_connections_to_an_endpoint) {
  LoneRelay lone;
  LineGroup group(&lone.io, "g9", 1);
  constexpr uint32_t kAllowed = 8;
  lone.Name("g9", kAllowed);
  EndpointRecord record = group.Record(0, "a", 1);
  record.slots = kManySlots;
  lone.Know(record);
  lone.RunUntil([&] { return group.member(0).connections > 0; });
  lone.io.run_for(std::chrono::milliseconds(300));
  BOOST_TEST(group.member(0).connections > 0u);
  BOOST_TEST(group.member(0).connections <= kAllowed);
}

/// Guards against new work for a primary more than 7 s after it said that it
/// leaves, when nobody can replace it.
BOOST_AUTO_TEST_CASE(a_leaving_primary_gets_nothing_new_after_its_drain) {
  ServingRelay serving;
  EndpointRecord leaving = serving.group.Record(0, "a", 2);
  leaving.leaving = true;
  serving.Know(leaving);
  Time drained = Now() + kLeavingUse;
  LineCaller caller(&serving);
  LineCaller open(&serving);
  BOOST_TEST(caller.Done("WRITE k v"));
  serving.RunUntil([&] { return Now() > drained - Seconds(1); });
  BOOST_TEST(caller.Done("READ k"));
  BOOST_TEST(open.Done("BEGIN"));
  BOOST_TEST(open.Done("WRITE k w"));
  // Later announcements do not begin the time anew.
  leaving.sequence = 3;
  serving.Know(leaving);
  serving.RunUntil([&] { return Now() > drained; });
  size_t before = serving.group.member(0).runs.size();
  Time asked = Now();
  BOOST_TEST(caller.Ask("QUERY q WRITE k z").find("ERR BUSY") == 0u);
  BOOST_TEST(caller.Ask("QUERY q READ k").find("ERR BUSY") == 0u);
  BOOST_TEST(caller.Done("BEGIN"));
  BOOST_TEST(caller.Ask("QUERY q READ k").find("ERR BUSY") == 0u);
  // At once, not after the hold of 3.5 s of each.
  BOOST_TEST((Now() - asked < Seconds(3)));
  BOOST_TEST(serving.group.member(0).runs.size() == before);
  BOOST_TEST(open.Done("READ k"));
  BOOST_TEST(open.Done("COMMIT"));
  BOOST_TEST(serving.group.CountOf("w") == 1u);
}

/// Guards against a caller that takes a relay over its memory: it sends on and
/// reads no answers, and the relay kept them all.
BOOST_AUTO_TEST_CASE(a_caller_that_reads_no_answers_is_not_read_either) {
  // Far more than the buffers of both ends of a connection hold.
  constexpr size_t kManyBytes = 64 * 1024 * 1024;
  constexpr size_t kMaxIdleTurns = 50;
  ServingRelay serving;
  std::unique_ptr<tcp::socket> caller = serving.Connect(serving.callers);
  std::string line = "QUERY q SET a b\r\n";
  std::string hello = "CONNECT db x\r\n";
  boost::asio::write(*caller, boost::asio::buffer(hello));
  caller->non_blocking(true);
  std::string block;
  while (block.size() < 100 * line.size()) block += line;
  size_t sent = 0;
  size_t idle_turns = 0;
  while (sent < kManyBytes && idle_turns < kMaxIdleTurns) {
    boost::system::error_code error;
    size_t at = sent % block.size();
    size_t count = caller->write_some(
        boost::asio::buffer(block.data() + at, block.size() - at), error);
    sent += count;
    idle_turns = count > 0 ? 0 : idle_turns + 1;
    serving.io.run_for(std::chrono::milliseconds(count > 0 ? 0 : 10));
  }
  BOOST_TEST(sent < kManyBytes);
  // Once the caller reads, each whole request is answered.
  size_t asked = sent / line.size();
  size_t answered = 0;
  std::string in(64 * 1024, '\0');
  std::string last;
  serving.RunUntil([&] {
    boost::system::error_code error;
    size_t count = caller->read_some(boost::asio::buffer(in), error);
    std::string text = last + in.substr(0, count);
    for (size_t at = text.find("DONE"); at != std::string::npos;
         at = text.find("DONE", at + 1))
      ++answered;
    last = text.substr(text.size() - std::min<size_t>(text.size(), 3));
    return answered >= asked;
  });
  BOOST_TEST(answered == asked);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cardamomchute

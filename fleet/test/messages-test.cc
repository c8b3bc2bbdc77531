#include "cardamomchute/fleet/messages.h"

#include <boost/test/unit_test.hpp>

namespace cardamomchute {
namespace {

BOOST_AUTO_TEST_SUITE(messages)

BOOST_AUTO_TEST_CASE(long_messages_to_relays_are_compressed) {
  DirectoryPush push;
  for (int i = 0; i < 300; ++i) {
    RelayRecord relay;
    relay.vm = VmId("entry-" + std::to_string(i));
    relay.address = Address{"10.0.0." + std::to_string(i % 250), 7440};
    push.delta.relays.push_back(relay);
  }
  std::string plain = PackFleetMessage(push);
  std::string packed = PackForRelay(push);
  BOOST_TEST(packed.size() < plain.size() / 3);
  for (const std::string& bytes : {plain, packed}) {
    Result<FleetMessage> read = UnpackFleetMessage(bytes);
    BOOST_REQUIRE(read);
    const auto* back = std::get_if<DirectoryPush>(&read.value());
    BOOST_REQUIRE(back != nullptr);
    BOOST_TEST(back->delta.relays.size() == 300u);
  }
}

BOOST_AUTO_TEST_CASE(a_damaged_compressed_message_is_an_error) {
  BOOST_TEST(!UnpackFleetMessage(
      PackFleetMessage(CompressedMessage{"no compressed bytes"})));
}

/// The report of an older release has two fields.
BOOST_AUTO_TEST_CASE(a_report_without_the_newest_field_takes_no_changes) {
  RelayRecord relay;
  relay.vm = VmId("entry-1");
  std::string old = Pack(std::tuple<RelayRecord, uint64_t>(relay, 7));
  Result<RelayReport> report = Unpack<RelayReport>(old);
  BOOST_REQUIRE(report);
  BOOST_TEST(report.value().layout_version == 7u);
  BOOST_TEST(!report.value().takes_changes);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cardamomchute

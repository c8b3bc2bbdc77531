#include "cardamomchute/base/settings.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace cardamomchute {
namespace {

constexpr std::string_view kGood = R"(vm = "entry-1"
zone = "waikato-a"
environment = "production"
log_level = "debug"
traffic_threads = 2
drain_timeout_ms = 5000
[listen]
callers = "127.0.0.1:6432"
peers = "127.0.0.1:7001"
http = "[::1]:8001"
[control]
seeds = [{ id = "control-1", address = "127.0.0.1:7501" },
         { id = "control-2", address = "127.0.0.1:7502" }]
[member]
listen = "127.0.0.1:7501"
data_folder = "/var/lib/cardamomchute"
)";

const Fault* FindFault(const SettingsOutcome& outcome, std::string_view key) {
  auto it = std::find_if(outcome.faults.begin(), outcome.faults.end(),
                         [&](const Fault& fault) { return fault.key == key; });
  return it == outcome.faults.end() ? nullptr : &*it;
}

}  // namespace

BOOST_AUTO_TEST_CASE(a_whole_settings_file_is_read) {
  SettingsOutcome outcome = ParseSettings(kGood);
  BOOST_REQUIRE(outcome.settings);
  BOOST_TEST(outcome.faults.empty());
  const Settings& settings = *outcome.settings;
  BOOST_TEST(settings.vm.value() == "entry-1");
  BOOST_TEST(settings.traffic_threads == 2U);
  BOOST_TEST(settings.drain_timeout.ms() == 5000);
  BOOST_TEST(ToString(*settings.callers) == "127.0.0.1:6432");
  BOOST_TEST(ToString(*settings.http) == "[::1]:8001");
  BOOST_TEST(settings.control_seeds.size() == 2U);
  BOOST_TEST(settings.control_seeds[1].id.value() == "control-2");
  BOOST_TEST(settings.member->data_folder == "/var/lib/cardamomchute");
}

BOOST_AUTO_TEST_CASE(every_fault_is_listed_in_one_pass) {
  SettingsOutcome outcome = ParseSettings(R"(vm = 7
environment = "production"
log_level = "loud"
colour = "green"
traffic_threads = 1000
[listen]
callers = "localhost:6432"
[control]
seeds = [{ id = "control-1", address = "127.0.0.1:7501" },
         { id = "control-1", address = "127.0.0.1:70000" }]
[member]
listen = "127.0.0.1:7501"
)");
  BOOST_TEST(!outcome.settings);
  BOOST_TEST(FindFault(outcome, "vm")->line == 1U);
  BOOST_TEST(FindFault(outcome, "zone")->line == 0U);
  BOOST_TEST(FindFault(outcome, "log_level")->line == 3U);
  BOOST_TEST(FindFault(outcome, "colour")->line == 4U);
  BOOST_TEST(FindFault(outcome, "traffic_threads")->line == 5U);
  BOOST_TEST(FindFault(outcome, "listen.callers")->line == 7U);
  BOOST_TEST((FindFault(outcome, "listen.peers") != nullptr));
  BOOST_TEST(FindFault(outcome, "control.seeds[1].id")->line == 10U);
  BOOST_TEST(FindFault(outcome, "control.seeds[1].address")->line == 10U);
  BOOST_TEST((FindFault(outcome, "member.data_folder") != nullptr));
  for (const Fault& fault : outcome.faults)
    BOOST_TEST(!fault.remedy.empty(), ToString(fault));
}

BOOST_AUTO_TEST_CASE(missing_control_members_and_roles_are_faults) {
  SettingsOutcome outcome =
      ParseSettings("vm = \"a\"\nzone = \"z\"\nenvironment = \"e\"\n");
  BOOST_TEST((FindFault(outcome, "control.seeds") != nullptr));
  BOOST_TEST((FindFault(outcome, "listen") != nullptr));
}

BOOST_AUTO_TEST_CASE(a_syntax_error_names_its_line) {
  SettingsOutcome outcome = ParseSettings("vm = \"a\"\nzone = \n");
  BOOST_TEST(!outcome.settings);
  BOOST_REQUIRE(outcome.faults.size() == 1U);
  BOOST_TEST(outcome.faults[0].line == 2U);
}

BOOST_AUTO_TEST_CASE(addresses_are_ip_numbers_with_a_port) {
  BOOST_TEST(ParseAddress("10.0.0.5:7001")->port == 7001);
  BOOST_TEST(ParseAddress("[::1]:7001")->host == "::1");
  BOOST_TEST(!ParseAddress("::1:7001"));
  BOOST_TEST(!ParseAddress("[10.0.0.5]:7001"));
  BOOST_TEST(!ParseAddress("host:7001"));
  BOOST_TEST(!ParseAddress("10.0.0.5"));
  BOOST_TEST(!ParseAddress("10.0.0.5:0"));
  BOOST_TEST(!ParseAddress("10.0.0.5:65536"));
  BOOST_TEST(!ParseAddress("10.0.0.5:70x"));
}

BOOST_AUTO_TEST_CASE(a_fault_prints_line_key_and_remedy) {
  Fault fault{"listen.callers", 4, "is not an address", "write \"IP:port\""};
  BOOST_TEST(ToString(fault) ==
             "line 4: listen.callers: is not an address; write \"IP:port\"");
}

}  // namespace cardamomchute

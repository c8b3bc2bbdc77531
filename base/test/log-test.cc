#include "cardamomchute/base/log.h"

#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <string>

namespace cardamomchute {

BOOST_AUTO_TEST_CASE(level_names_are_read) {
  BOOST_TEST((ParseLogLevel("debug") == LogLevel::kDebug));
  BOOST_TEST((ParseLogLevel("warn") == LogLevel::kWarn));
  BOOST_TEST((ParseLogLevel("anything") == LogLevel::kInfo));
}

BOOST_AUTO_TEST_CASE(a_line_reaches_standard_output) {
  int ends[2];
  BOOST_REQUIRE(::pipe(ends) == 0);
  int kept = ::dup(STDOUT_FILENO);
  ::dup2(ends[1], STDOUT_FILENO);
  StartLog("vm-1", LogLevel::kInfo);
  LogLine(LogLevel::kInfo, "started").Field("zone", "a b");
  ::dup2(kept, STDOUT_FILENO);
  ::close(kept);
  ::close(ends[1]);
  char bytes[512];
  ssize_t count = ::read(ends[0], bytes, sizeof bytes);
  ::close(ends[0]);
  BOOST_REQUIRE(count > 0);
  std::string line(bytes, static_cast<size_t>(count));
  BOOST_TEST(line.find(" vm=vm-1 event=started zone=\"a b\"\n") !=
             std::string::npos);
}

}  // namespace cardamomchute

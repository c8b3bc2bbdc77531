#include "cardamomchute/base/log.h"

#include <boost/test/unit_test.hpp>

namespace cardamomchute {

BOOST_AUTO_TEST_CASE(level_names_are_read) {
  BOOST_TEST((ParseLogLevel("debug") == LogLevel::kDebug));
  BOOST_TEST((ParseLogLevel("warn") == LogLevel::kWarn));
  BOOST_TEST((ParseLogLevel("anything") == LogLevel::kInfo));
}

}  // namespace cardamomchute

#define BOOST_TEST_MODULE cardamomchute
#include <boost/test/unit_test.hpp>

#include "cardamomchute/base/log.h"

namespace {

struct QuietLog {
  QuietLog() {
    cardamomchute::StartLog("test", cardamomchute::LogLevel::kError);
  }
};

}  // namespace

BOOST_TEST_GLOBAL_FIXTURE(QuietLog);

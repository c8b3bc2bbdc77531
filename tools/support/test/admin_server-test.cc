#include "cardamomchute/support/admin_server.h"

#include <boost/test/unit_test.hpp>

namespace cardamomchute::support {

BOOST_AUTO_TEST_SUITE(admin_server)

BOOST_AUTO_TEST_CASE(SplitsPathAndParameters) {
  AdminRequest request = ParseTarget("POST", "/lag?ms=50&route=1");
  BOOST_TEST(request.path == "/lag");
  BOOST_TEST(request.Number("ms").value() == 50);
  BOOST_TEST(request.Number("route").value() == 1);
  BOOST_TEST(ParseTarget("GET", "/state").path == "/state");
}

BOOST_AUTO_TEST_CASE(TakesOnlyWholeNumbersFromZero) {
  AdminRequest request = ParseTarget("POST", "/lag?a=-1&b=5x&c=&d");
  BOOST_TEST(!request.Number("a").has_value());
  BOOST_TEST(!request.Number("b").has_value());
  BOOST_TEST(!request.Number("c").has_value());
  BOOST_TEST(!request.Number("d").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace cardamomchute::support

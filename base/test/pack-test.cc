#include "cardamomchute/base/pack.h"

#include <boost/test/unit_test.hpp>

namespace cardamomchute {

BOOST_AUTO_TEST_CASE(strong_types_survive_packing) {
  Floor floor{Term(3), Position(4711)};
  Result<Floor> read = Unpack<Floor>(Pack(floor));
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST((read.value() == floor));
}

BOOST_AUTO_TEST_CASE(wrong_bytes_are_a_protocol_error) {
  Result<Floor> read = Unpack<Floor>(Pack(std::string("not a floor")));
  BOOST_REQUIRE(read.has_error());
  BOOST_TEST((read.error().kind == ErrorKind::kProtocol));
}

}  // namespace cardamomchute

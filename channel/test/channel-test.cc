#include "cardamomchute/channel/channel.h"

#include <boost/test/unit_test.hpp>

namespace cardamomchute {

BOOST_AUTO_TEST_CASE(statement_survives_packing) {
  Statement statement;
  statement.number = 7;
  statement.rank = Rank(2);
  statement.setup = {"SET timezone = 'UTC'"};
  statement.bytes = std::string("Q\0\0\0\5\0", 6);
  Result<Statement> read = Unpack<Statement>(Pack(statement));
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(read.value().number == 7u);
  BOOST_TEST(read.value().bytes == statement.bytes);
  BOOST_TEST(read.value().setup == statement.setup);
}

BOOST_AUTO_TEST_CASE(absent_floor_stays_absent) {
  StatementEnd end;
  Result<StatementEnd> read = Unpack<StatementEnd>(Pack(end));
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(!read.value().floor.has_value());
}

}  // namespace cardamomchute

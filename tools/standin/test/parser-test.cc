#include "parser.h"

#include <boost/test/unit_test.hpp>
#include <string>

#include "cardamomchute/pgwire/group_sql.h"

namespace cardamomchute::standin {
namespace {

std::string StateOf(std::string_view sql) {
  SqlResult<std::vector<StatementPtr>> parsed = Parse(sql);
  return parsed ? "" : parsed.error().sqlstate;
}

template <typename T>
bool ParsesTo(std::string_view sql) {
  SqlResult<std::vector<StatementPtr>> parsed = Parse(sql);
  return parsed && parsed.value().size() == 1 &&
         std::holds_alternative<T>(parsed.value()[0]->body);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(parser)

BOOST_AUTO_TEST_CASE(KnowsTheSqlThatObservesAndDirectsAGroup) {
  BOOST_TEST(ParsesTo<Probe>(pgwire::kProbeSql));
  BOOST_TEST(ParsesTo<Select>(pgwire::kPromoteSql));
  BOOST_TEST(ParsesTo<Select>(pgwire::kReloadSql));
  BOOST_TEST(ParsesTo<Discard>(pgwire::kResetSql));
  BOOST_TEST(ParsesTo<AlterSystem>(pgwire::FollowSql({"127.0.0.1", 5432})));
}

BOOST_AUTO_TEST_CASE(SplitsStatementsOutsideOfStringsAndComments) {
  SqlResult<std::vector<StatementPtr>> parsed =
      Parse("select ';'; ; select 2 -- ; \n ; /* ; */ commit;");
  BOOST_REQUIRE(parsed);
  BOOST_TEST(parsed.value().size() == 3u);
  BOOST_REQUIRE(Parse(" ; "));
  BOOST_TEST(Parse(" ; ").value().empty());
}

BOOST_AUTO_TEST_CASE(CountsParameters) {
  SqlResult<std::vector<StatementPtr>> parsed =
      Parse("insert into t values ($1, $3 + 1)");
  BOOST_REQUIRE(parsed);
  BOOST_TEST(parsed.value()[0]->params == 3u);
}

BOOST_AUTO_TEST_CASE(RefusesWithTheRightSqlstate) {
  BOOST_TEST(StateOf("selec 1") == "42601");
  BOOST_TEST(StateOf("select 1 2 3") == "42601");
  BOOST_TEST(StateOf("select 'open") == "42601");
  BOOST_TEST(StateOf("select * from") == "42601");
  BOOST_TEST(StateOf("copy t from stdin") == "0A000");
  BOOST_TEST(StateOf("with x as (select 1) select 1") == "0A000");
  BOOST_TEST(StateOf("select " + std::string(100000, '(')) == "54001");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace cardamomchute::standin

#include "batch_plan.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace cardamomchute {
namespace {

std::string Parse(const std::string& name, const std::string& sql) {
  return pgwire::Builder()
      .Begin('P')
      .CString(name)
      .CString(sql)
      .Int16(0)
      .End()
      .Take();
}

std::string Bind(const std::string& portal, const std::string& name) {
  return pgwire::Builder()
      .Begin('B')
      .CString(portal)
      .CString(name)
      .Int16(0)
      .Int16(0)
      .Int16(0)
      .End()
      .Take();
}

std::string Execute(const std::string& portal) {
  return pgwire::Builder().Begin('E').CString(portal).Int32(0).End().Take();
}

std::string Close(const std::string& name) {
  return pgwire::Builder().Begin('C').Byte('S').CString(name).End().Take();
}

std::string Sync() { return pgwire::Builder().Begin('S').End().Take(); }

std::string Extended(const std::string& sql) {
  return Parse("", sql) + Bind("", "") + Execute("");
}

BatchPlan Plan(const std::string& bytes, const SessionState& session = {},
               bool in_block = false, bool may_write = true) {
  PlanContext context;
  context.session = &session;
  context.in_block = in_block;
  context.may_write = may_write;
  return PlanBatch(bytes, context);
}

}  // namespace

BOOST_AUTO_TEST_CASE(kinds_follow_all_that_runs) {
  BOOST_TEST((Plan(pgwire::Query("select 1")).kind == StatementKind::kRead));
  BOOST_TEST(
      (Plan(pgwire::Query("select 1; select 2")).kind == StatementKind::kRead));
  BOOST_TEST((Plan(pgwire::Query("select 1; delete from t")).kind ==
              StatementKind::kWrite));
  BOOST_TEST((Plan(pgwire::Query("begin")).kind == StatementKind::kBegin));
  BOOST_TEST(
      (Plan(Extended("select 1") + Sync()).kind == StatementKind::kRead));
  BOOST_TEST((Plan(Extended("select 1") + Extended("insert") + Sync()).kind ==
              StatementKind::kWrite));
  BOOST_TEST((Plan(Extended("begin") + Extended("select 1") + Sync()).kind ==
              StatementKind::kWrite));
  BOOST_TEST((Plan(pgwire::Query("select 1"), {}, true).kind ==
              StatementKind::kWrite));
  BOOST_TEST((Plan(Execute("unknown") + Sync()).kind == StatementKind::kWrite));
  BOOST_TEST((Plan(Bind("", "unknown") + Execute("") + Sync()).kind ==
              StatementKind::kWrite));
}

BOOST_AUTO_TEST_CASE(portals_keep_their_statements_apart) {
  std::string batch = Parse("a", "select 1") + Parse("b", "delete from t") +
                      Bind("p", "a") + Bind("q", "b") + Execute("p") + Sync();
  BatchPlan plan = Plan(batch);
  BOOST_REQUIRE(plan.steps.size() == 1u);
  BOOST_TEST(plan.steps[0].text == "select 1");
  BOOST_TEST((plan.kind == StatementKind::kWrite));
}

BOOST_AUTO_TEST_CASE(names_become_shared_names) {
  BatchPlan plan = Plan(Parse("mine", "select 1") + Bind("", "mine") + Sync());
  BOOST_REQUIRE(plan.parsed.size() == 1u);
  std::string shared = plan.parsed[0].shared_name;
  BOOST_TEST(shared.size() == 19u);
  BOOST_TEST(shared.starts_with("cc_"));
  BOOST_TEST(plan.bytes ==
             Parse(shared, "select 1") + Bind("", shared) + Sync());
  BatchPlan other = Plan(Parse("theirs", "select 1") + Sync());
  BOOST_TEST(other.parsed[0].shared_name == shared);
  BatchPlan different = Plan(Parse("mine", "select 2") + Sync());
  BOOST_TEST(different.parsed[0].shared_name != shared);
}

BOOST_AUTO_TEST_CASE(statements_of_earlier_batches_are_carried_along) {
  SessionState session;
  PutNamedStatement(Plan(Parse("n", "select 1") + Sync()).parsed[0], &session);
  std::string shared = session.named[0].shared_name;
  BatchPlan plan =
      Plan(Bind("", "n") + Execute("") + Bind("", "n") + Execute("") + Sync(),
           session);
  BOOST_REQUIRE(plan.prepared.size() == 1u);
  BOOST_TEST(plan.prepared[0] == Parse(shared, "select 1"));
  BOOST_TEST((plan.kind == StatementKind::kRead));
  BOOST_TEST(Plan(Parse("n", "select 2") + Sync(), session).refusal->sqlstate ==
             "42P05");
  BatchPlan again = Plan(
      Close("n") + Parse("n", "select 2") + Bind("", "n") + Sync(), session);
  BOOST_TEST(!again.refusal);
  BOOST_TEST(again.closed.empty());
  BOOST_TEST(again.prepared.size() <= 1u);
}

/// Owners look for names a connection has in a batch's first piece only.
BOOST_AUTO_TEST_CASE(parses_beyond_the_first_piece_have_names_of_their_own) {
  std::string filler = Parse("", std::string(kChannelChunkBytes, 'x'));
  std::string batch = filler + Parse("n", "select 1") + Bind("", "n") + Sync();
  BatchPlan plan = Plan(batch);
  std::string shared = plan.parsed[1].shared_name;
  std::string own = plan.parsed[1].batch_name;
  BOOST_TEST(own != shared);
  BOOST_TEST(plan.bytes ==
             filler + Parse(own, "select 1") + Bind("", own) + Sync());
  BOOST_TEST(plan.parsed[1].parse_message == Parse(shared, "select 1"));
}

/// Two names for one content must not be one name on the connection.
BOOST_AUTO_TEST_CASE(equal_contents_in_one_batch_stay_apart) {
  BatchPlan plan = Plan(Parse("a", "select 1") + Parse("b", "select 1") +
                        Close("a") + Bind("", "b") + Sync());
  BOOST_TEST(plan.parsed[0].shared_name == plan.parsed[1].shared_name);
  BOOST_TEST(plan.parsed[0].batch_name != plan.parsed[1].batch_name);
  SessionState session;
  PutNamedStatement(plan.parsed[0], &session);
  std::string shared = session.named[0].shared_name;
  BatchPlan mixed =
      Plan(Bind("", "a") + Parse("c", "select 1") + Sync(), session);
  BOOST_TEST(mixed.prepared.size() == 1u);
  BOOST_TEST(mixed.parsed[0].batch_name != shared);
  BatchPlan later =
      Plan(Parse("c", "select 1") + Bind("", "a") + Sync(), session);
  BOOST_TEST(later.prepared.empty());
  // Closing must not take a shared statement from other sessions.
  BatchPlan closing = Plan(Close("a") + Extended("select 2") + Sync(), session);
  BOOST_TEST(closing.bytes.find(shared) == std::string::npos);
}

/// Another session's statement must not be reached by guessing its name.
BOOST_AUTO_TEST_CASE(unknown_names_reach_nothing_shared) {
  BatchPlan plan = Plan(Bind("", "cc_0123456789abcdef") + Sync());
  BOOST_TEST(plan.bytes == Bind("", "unknown_cc_0123456789abcdef") + Sync());
}

BOOST_AUTO_TEST_CASE(sql_prepares_bind_as_they_are) {
  SessionState session;
  OnStatementCompleted(ClassifyStatements("prepare p as select 1")[0],
                       &session);
  OnBatchEnd('I', false, &session);
  BatchPlan plan = Plan(Bind("", "p") + Execute("") + Sync(), session);
  BOOST_TEST(plan.bytes == Bind("", "p") + Execute("") + Sync());
  BOOST_TEST((plan.kind == StatementKind::kRead));
  BOOST_TEST(
      (Plan(pgwire::Query("execute p"), session).kind == StatementKind::kRead));
  BOOST_TEST((Plan(pgwire::Query("execute p(f())"), session).kind ==
              StatementKind::kWrite));
}

BOOST_AUTO_TEST_CASE(some_batches_need_no_endpoint) {
  BOOST_TEST(Plan(Sync()).local);
  BOOST_TEST(Plan(pgwire::Query("")).local);
  BOOST_TEST(Plan(Close("n") + Sync()).local);
  BOOST_TEST(Plan(pgwire::Query("set cardamomchute.rank = 2")).local);
  BOOST_TEST(Plan(Extended("show cardamomchute.rank") + Sync()).local);
  BOOST_TEST(!Plan(Bind("", "unknown") + Sync()).local);
  BOOST_TEST(!Plan(pgwire::Query("select 1")).local);
  BOOST_TEST(!Plan(pgwire::Query("discard all"), {}, true).local);
  BOOST_TEST(Plan(pgwire::Query("set cardamomchute.rank = 2; select 1"))
                 .refusal->sqlstate == "0A000");
}

BOOST_AUTO_TEST_CASE(refusals_name_their_sqlstate) {
  auto refused = [](const BatchPlan& plan) {
    return plan.refusal ? plan.refusal->sqlstate : "none";
  };
  BOOST_TEST(refused(Plan(pgwire::Query("copy t from stdin"))) == "0A000");
  BOOST_TEST(refused(Plan(Parse("", "listen x") + Sync())) == "0A000");
  BOOST_TEST(refused(Plan(pgwire::Builder().Begin('F').End().Take())) ==
             "0A000");
  BOOST_TEST(refused(Plan(pgwire::Query("declare c cursor for select 1"))) ==
             "25P01");
  BOOST_TEST(refused(Plan(pgwire::Query(
                 "begin; declare c cursor for select 1"))) == "none");
  BOOST_TEST(refused(Plan(pgwire::Query("delete from t"), {}, false, false)) ==
             "42501");
  BOOST_TEST(refused(Plan(Extended("delete from t") + Sync(), {}, true,
                          false)) == "42501");
  BOOST_TEST(refused(Plan(pgwire::Query("begin"), {}, false, false)) == "none");
  BOOST_TEST(refused(Plan(pgwire::Query("fetch 1 from c"), {}, true, false)) ==
             "none");
  BOOST_TEST(refused(Plan(std::string("P\0\0\0\5x", 6) + Sync())) == "08P01");
}

BOOST_AUTO_TEST_CASE(ends_and_commits_are_noted) {
  BOOST_TEST(Plan(pgwire::Query("commit"), {}, true).ends_block);
  BOOST_TEST(Plan(pgwire::Query("commit"), {}, true).commits);
  BOOST_TEST(!Plan(pgwire::Query("rollback"), {}, true).commits);
  BatchPlan both =
      Plan(Extended("insert") + Extended("commit") + Sync(), {}, true);
  BOOST_TEST(!both.ends_block);
  BOOST_TEST(both.commits);
  BOOST_TEST(Plan(pgwire::Query("set a = 1")).changes_state);
  BOOST_TEST(!Plan(pgwire::Query("set a = 1")).writes_data);
}

}  // namespace cardamomchute

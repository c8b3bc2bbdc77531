#include "statement_plan.h"

#include <boost/test/unit_test.hpp>

#include "cardamomchute/pgwire/message.h"
#include "owner_fixture.h"

namespace cardamomchute {
namespace {

std::string Parse(const std::string& name, const std::string& sql) {
  pgwire::Builder b;
  b.Begin('P').CString(name).CString(sql).Int16(0).End();
  return b.Take();
}

std::string BindExecute(const std::string& name) {
  pgwire::Builder b;
  b.Begin('B').CString("").CString(name).Int16(0).Int16(0).Int16(0).End();
  b.Begin('E').CString("").Int32(0).End();
  return b.Take();
}

std::string Sync() { return pgwire::Builder().Begin('S').End().bytes(); }

Statement Plain(StatementKind kind) {
  Statement statement;
  statement.kind = static_cast<uint8_t>(kind);
  statement.bytes = pgwire::Query("x");
  statement.changes_state = kind != StatementKind::kRead;
  return statement;
}

}  // namespace

BOOST_AUTO_TEST_CASE(reads_of_several_sessions_need_no_reset) {
  PooledConnection c;
  BOOST_TEST(
      PlanStatement(&c, Plain(StatementKind::kRead), "a", false).steps.empty());
  BOOST_TEST(
      PlanStatement(&c, Plain(StatementKind::kRead), "b", false).steps.empty());
}

BOOST_AUTO_TEST_CASE(a_write_that_leaves_no_state_needs_no_reset) {
  PooledConnection c;
  Statement write = Plain(StatementKind::kWrite);
  write.changes_state = false;
  PlanStatement(&c, write, "a", false);
  BOOST_TEST(PlanStatement(&c, Plain(StatementKind::kWrite), "b", false)
                 .steps.empty());
}

BOOST_AUTO_TEST_CASE(what_a_statement_may_have_changed_is_reset) {
  for (const char* next_session : {"a", "b"}) {
    PooledConnection c;
    PlanStatement(&c, Plain(StatementKind::kWrite), "a", false);
    StatementPlan plan =
        PlanStatement(&c, Plain(StatementKind::kRead), next_session, false);
    BOOST_REQUIRE(plan.steps.size() == 1U);
    BOOST_TEST((plan.steps[0] == PlanStep::kReset));
    BOOST_TEST(
        PlanStatement(&c, Plain(StatementKind::kRead), next_session, false)
            .steps.empty());
  }
}

BOOST_AUTO_TEST_CASE(another_setup_is_replayed) {
  PooledConnection c;
  Statement with_setup = Plain(StatementKind::kRead);
  with_setup.setup = {"SET a = 1", "SET b = 2"};
  with_setup.setup_hash = 42;
  BOOST_TEST(PlanStatement(&c, with_setup, "a", false).steps.size() == 2U);
  BOOST_TEST(PlanStatement(&c, with_setup, "b", false).steps.empty());
  StatementPlan plan =
      PlanStatement(&c, Plain(StatementKind::kRead), "c", false);
  BOOST_REQUIRE(plan.steps.size() == 1U);
  BOOST_TEST((plan.steps[0] == PlanStep::kReset));
}

BOOST_AUTO_TEST_CASE(prepared_statements_are_parsed_where_they_are_missing) {
  PooledConnection c;
  Statement use;
  use.kind = static_cast<uint8_t>(StatementKind::kRead);
  use.prepared = {Parse("cc_1", "SELECT 1")};
  use.bytes = BindExecute("cc_1") + Sync();
  StatementPlan first = PlanStatement(&c, use, "a", false);
  BOOST_TEST(first.bytes == use.prepared[0] + Sync());
  NoteBatchEnd(&c, first.parsed, false, "SELECT 1");
  BOOST_TEST(PlanStatement(&c, use, "b", false).bytes.empty());
}

BOOST_AUTO_TEST_CASE(a_failed_batch_leaves_its_statements_uncertain) {
  PooledConnection c;
  Statement parse;
  parse.kind = static_cast<uint8_t>(StatementKind::kRead);
  parse.bytes = Parse("cc_1", "SELECT 1") + Sync();
  StatementPlan first = PlanStatement(&c, parse, "a", false);
  BOOST_TEST(first.bytes.empty());
  NoteBatchEnd(&c, first.parsed, true, "");
  StatementPlan second = PlanStatement(&c, parse, "a", false);
  pgwire::Builder close;
  close.Begin('C').Byte('S').CString("cc_1").End();
  BOOST_TEST(second.bytes == close.bytes() + Sync());
}

BOOST_AUTO_TEST_CASE(prepared_statements_work_across_connections) {
  OwnerFixture f;
  f.Start();
  std::unique_ptr<TestCaller> one = f.Connect("a");
  std::unique_ptr<TestCaller> two = f.Connect("b");
  for (int i = 0; i < 4; ++i) {
    for (TestCaller* caller : {one.get(), two.get()}) {
      Statement parse = f.Make(*caller, "", StatementKind::kWrite);
      parse.bytes = Parse("cc_1", "INSERT p") + Sync();
      BOOST_REQUIRE(f.Run(*caller, parse));
      BOOST_TEST((caller->outcome() == StatementOutcome::kAnswered));
      Statement use = f.Make(*caller, "", StatementKind::kWrite);
      use.prepared = {Parse("cc_1", "INSERT p")};
      use.bytes = BindExecute("cc_1") + Sync();
      caller->bytes.clear();
      BOOST_REQUIRE(f.Run(*caller, use));
      pgwire::Builder bound;
      bound.Begin('2').End();
      BOOST_TEST(caller->bytes ==
                 bound.bytes() + pgwire::CommandComplete("INSERT 0 1"));
    }
  }
}

BOOST_AUTO_TEST_CASE(errors_of_a_batch_do_not_shift_later_answers) {
  OwnerFixture f;
  f.spec().connections = 3;
  f.Start();
  std::unique_ptr<TestCaller> caller = f.Connect("a");
  Statement bad = f.Make(*caller, "", StatementKind::kWrite);
  bad.setup = {"SET a = 1"};
  bad.setup_hash = 1;
  bad.prepared = {Parse("cc_2", "fail parse")};
  bad.bytes = BindExecute("cc_2") + Sync();
  BOOST_REQUIRE(f.Run(*caller, bad));
  BOOST_TEST((caller->outcome() == StatementOutcome::kAnswered));
  BOOST_TEST(caller->bytes.find("26000") != std::string::npos);
  caller->bytes.clear();
  BOOST_REQUIRE(f.Run(*caller, "INSERT after"));
  BOOST_TEST(caller->bytes == pgwire::CommandComplete("INSERT 0 1"));
}

BOOST_AUTO_TEST_CASE(a_setup_that_fails_never_passes_for_success) {
  OwnerFixture f;
  f.Start();
  std::unique_ptr<TestCaller> caller = f.Connect("a");
  Statement write = f.Make(*caller, "INSERT a", StatementKind::kWrite);
  write.setup = {"fail setup"};
  write.setup_hash = 1;
  BOOST_REQUIRE(f.Run(*caller, write));
  BOOST_TEST(caller->last().sqlstate == "08007");
  Statement read = f.Make(*caller, "SELECT 1", StatementKind::kRead);
  read.setup = {"fail setup"};
  read.setup_hash = 1;
  BOOST_REQUIRE(f.Run(*caller, read));
  BOOST_TEST((caller->outcome() == StatementOutcome::kNotRun));
  BOOST_TEST(caller->bytes.empty());
}

}  // namespace cardamomchute

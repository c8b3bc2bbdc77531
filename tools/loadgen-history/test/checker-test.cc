#include "cardamomchute/loadgen_history/checker.h"

#include <boost/test/unit_test.hpp>

namespace cardamomchute::history {
namespace {

Operation Make(OperationKind kind, const std::string& id,
               const std::string& session, int64_t started, int64_t ended) {
  Operation o;
  o.kind = kind;
  o.outcome = Outcome::kOk;
  o.id = "r." + id;
  o.session = session;
  o.started = started;
  o.ended = ended;
  return o;
}

Operation Write(const std::string& id, const std::string& session,
                uint64_t written, int64_t at) {
  Operation o = Make(OperationKind::kWrite, id, session, at, at + 10);
  o.key = "r/s/" + session;
  o.written = written;
  return o;
}

Operation Read(const std::string& id, const std::string& session,
               const std::string& of, uint64_t seen, int64_t at,
               int64_t staleness_ms = -1) {
  Operation o = Make(OperationKind::kRead, id, session, at, at + 10);
  o.key = "r/s/" + of;
  o.seen = seen;
  o.staleness_ms = staleness_ms;
  return o;
}

Operation Pair(OperationKind kind, const std::string& id, int64_t at) {
  Operation o = Make(kind, id, "p", at, at + 10);
  o.key = "r/t/1";
  return o;
}

/// Two sessions, a transaction and a rollback, as they must be.
History Clean() {
  History h;
  h.operations = {Write("1", "x", 1, 100),
                  Read("2", "x", "x", 1, 200),
                  Write("3", "x", 2, 300),
                  Read("4", "y", "x", 1, 400),
                  Read("5", "y", "x", 2, 500),
                  Read("6", "y", "x", 2, 600, 0),
                  Pair(OperationKind::kTransaction, "7", 700),
                  Pair(OperationKind::kRollback, "8", 800),
                  Pair(OperationKind::kReadPair, "9", 900)};
  h.final_rows = {{"r/o/r.1", "1"}, {"r/o/r.3", "1"},   {"r/o/r.7", "1"},
                  {"r/s/x", "2"},   {"r/t/1/a", "r.7"}, {"r/t/1/b", "r.7"}};
  h.log = {{1, 10, "r/o/r.1", "1"},  {1, 10, "r/s/x", "1"},
           {1, 20, "r/o/r.3", "1"},  {1, 20, "r/s/x", "2"},
           {1, 30, "r/o/r.7", "1"},  {1, 30, "r/t/1/a", "r.7"},
           {1, 30, "r/t/1/b", "r.7"}};
  return h;
}

History CleanWithLogOnly() {
  History h = Clean();
  h.final_rows.reset();
  return h;
}

Verdict Expect(uint64_t Verdict::*counter, uint64_t count) {
  Verdict v;
  v.*counter = count;
  return v;
}

void CheckOnly(const History& history, uint64_t Verdict::*counter) {
  Verdict found = Check(history);
  uint64_t count = found.*counter;
  BOOST_TEST(count >= 1u);
  BOOST_TEST(ToString(found) == ToString(Expect(counter, count)));
  BOOST_TEST(!found.clean());
  BOOST_TEST(!found.examples.empty());
}

}  // namespace

BOOST_AUTO_TEST_SUITE(checker)

BOOST_AUTO_TEST_CASE(CleanHistoryPasses) {
  Verdict found = Check(Clean());
  BOOST_TEST(found.clean());
  BOOST_TEST(ToString(found) ==
             "checker lost_acked=0 doubled=0 stale=0 mixed=0 misdelivered=0");
  BOOST_TEST(Check(CleanWithLogOnly()).clean());
}

BOOST_AUTO_TEST_CASE(FindsALostAcknowledgement) {
  History h = Clean();
  h.final_rows->erase("r/o/r.3");
  CheckOnly(h, &Verdict::lost_acked);
}

BOOST_AUTO_TEST_CASE(FindsALostAcknowledgementInTheLog) {
  History h = CleanWithLogOnly();
  std::erase_if(*h.log,
                [](const CommittedRow& row) { return row.position == 20; });
  CheckOnly(h, &Verdict::lost_acked);
}

BOOST_AUTO_TEST_CASE(AnUnknownOutcomeMayBeEither) {
  History h = Clean();
  h.operations[2].outcome = Outcome::kUnknown;
  BOOST_TEST(Check(h).clean());
  h.final_rows->erase("r/o/r.3");
  BOOST_TEST(Check(h).clean());
}

BOOST_AUTO_TEST_CASE(FindsADoubledOperation) {
  History h = Clean();
  (*h.final_rows)["r/o/r.1"] = "2";
  CheckOnly(h, &Verdict::doubled);
}

BOOST_AUTO_TEST_CASE(FindsADoubledOperationInTheLog) {
  History h = CleanWithLogOnly();
  h.log->push_back({1, 40, "r/o/r.1", "2"});
  CheckOnly(h, &Verdict::doubled);
}

BOOST_AUTO_TEST_CASE(FindsAReadOlderThanItsOwnWrite) {
  History h = Clean();
  h.operations[1].seen = 0;
  CheckOnly(h, &Verdict::stale);
}

BOOST_AUTO_TEST_CASE(FindsAReadThatGoesBack) {
  History h = Clean();
  h.operations.push_back(Read("10", "y", "x", 1, 1000));
  CheckOnly(h, &Verdict::stale);
}

BOOST_AUTO_TEST_CASE(FindsAnExactReadThatMissesAWrite) {
  History h = Clean();
  h.operations.push_back(Read("10", "z", "x", 1, 1000, 0));
  CheckOnly(h, &Verdict::stale);
}

BOOST_AUTO_TEST_CASE(FindsAReadBeyondItsBound) {
  constexpr int64_t kMillisecond = 1000;
  History h = Clean();
  h.operations.push_back(Read("10", "z", "x", 1, 300 + 4 * kMillisecond, 5));
  BOOST_TEST(Check(h).clean());
  h.operations.push_back(Read("11", "z", "x", 1, 300 + 6 * kMillisecond, 5));
  CheckOnly(h, &Verdict::stale);
}

BOOST_AUTO_TEST_CASE(FindsATornPairSeenByAReader) {
  History h = Clean();
  h.operations[8].torn = true;
  CheckOnly(h, &Verdict::mixed);
}

BOOST_AUTO_TEST_CASE(FindsATornPairAtTheEnd) {
  History h = Clean();
  (*h.final_rows)["r/t/1/b"] = "r.6";
  CheckOnly(h, &Verdict::mixed);
}

BOOST_AUTO_TEST_CASE(FindsARolledBackWriteThatStayed) {
  History h = Clean();
  (*h.final_rows)["r/o/r.8"] = "1";
  CheckOnly(h, &Verdict::mixed);
}

BOOST_AUTO_TEST_CASE(FindsACommitOfTwoOperations) {
  History h = Clean();
  h.log->push_back({1, 30, "r/o/r.3", "1"});
  CheckOnly(h, &Verdict::mixed);
}

BOOST_AUTO_TEST_CASE(FindsACommitOfHalfAPair) {
  History h = Clean();
  h.log->pop_back();
  CheckOnly(h, &Verdict::mixed);
}

BOOST_AUTO_TEST_CASE(FindsAMisdeliveredAnswer) {
  History h = Clean();
  h.operations[3].misdelivered = true;
  CheckOnly(h, &Verdict::misdelivered);
}

BOOST_AUTO_TEST_CASE(FindsARefusedOperationThatRan) {
  History h = Clean();
  h.operations[2].outcome = Outcome::kNotRun;
  h.operations[4].seen = 1;  // nothing else is wrong
  h.operations[5].seen = 1;
  Verdict found = Check(h);
  BOOST_TEST(found.ran_after_refusal == 1u);
  BOOST_TEST(!found.clean());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace cardamomchute::history

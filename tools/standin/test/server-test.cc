#include "server.h"

#include <postgresql/libpq-fe.h>

#include <boost/test/unit_test.hpp>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>

#include "cardamomchute/pgwire/group_sql.h"
#include "cardamomchute/pgwire/message.h"

namespace cardamomchute::standin {
namespace {

constexpr std::chrono::seconds kGiveUp(20);

/// A member on a thread of its own.
class TestMember {
 public:
  explicit TestMember(ServerOptions options = {}) {
    options.listen = Address{"127.0.0.1", 0};
    options.repl_listen = Address{"127.0.0.1", 0};
    server_ = std::make_unique<Server>(&io_, options);
    BOOST_REQUIRE(server_->Start());
    thread_ = std::thread([this] { io_.run(); });
  }
  ~TestMember() {
    io_.stop();
    thread_.join();
  }

  Server& server() { return *server_; }
  Address repl() const { return {"127.0.0.1", server_->repl_port()}; }

  /// Runs on the member's thread.
  template <typename F>
  auto Ask(F f) -> decltype(f()) {
    std::packaged_task<decltype(f())()> task(f);
    auto result = task.get_future();
    boost::asio::post(io_, [&task] { task(); });
    return result.get();
  }

 private:
  boost::asio::io_context io_{1};
  std::unique_ptr<Server> server_;
  std::thread thread_;
};

using ResultPtr = std::unique_ptr<PGresult, decltype(&PQclear)>;

class Client {
 public:
  explicit Client(TestMember* member)
      : connection_(PQconnectdb(("host=127.0.0.1 user=u dbname=d port=" +
                                 std::to_string(member->server().port()))
                                    .c_str())) {}
  ~Client() { PQfinish(connection_); }
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  PGconn* get() { return connection_; }
  bool connected() { return PQstatus(connection_) == CONNECTION_OK; }

  /// First value, or the SQLSTATE, or the command's tag.
  std::string Run(const std::string& sql) {
    return Told(PQexec(connection_, sql.c_str()));
  }
  std::string RunWith(const std::string& sql, const char* parameter) {
    return Told(PQexecParams(connection_, sql.c_str(), 1, nullptr, &parameter,
                             nullptr, nullptr, 0));
  }
  static std::string Told(PGresult* raw) {
    ResultPtr result(raw, &PQclear);
    const char* state = PQresultErrorField(raw, PG_DIAG_SQLSTATE);
    if (state) return state;
    if (PQresultStatus(raw) == PGRES_FATAL_ERROR) return "lost";
    if (PQntuples(raw) > 0) return PQgetvalue(raw, 0, 0);
    return PQcmdStatus(raw);
  }
  PGTransactionStatusType status() { return PQtransactionStatus(connection_); }

  void CollectNotices(std::string* out) {
    PQsetNoticeProcessor(
        connection_,
        [](void* to, const char* text) {
          *static_cast<std::string*>(to) += text;
        },
        out);
  }

  /// Takes in what comes without a query till the server closes.
  void ReadUntilClosed() {
    std::chrono::steady_clock::time_point give_up =
        std::chrono::steady_clock::now() + kGiveUp;
    while (PQconsumeInput(connection_) == 1 &&
           std::chrono::steady_clock::now() < give_up) {
      PQisBusy(connection_);
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    PQisBusy(connection_);
  }

  /// Runs `sql` till it tells `wanted`; false when it gave up.
  bool RunUntil(const std::string& sql, const std::string& wanted) {
    std::chrono::steady_clock::time_point give_up =
        std::chrono::steady_clock::now() + kGiveUp;
    while (Run(sql) != wanted) {
      if (std::chrono::steady_clock::now() > give_up) return false;
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return true;
  }

 private:
  PGconn* connection_;
};

struct Fixture {
  Fixture() : client(&member) {
    BOOST_REQUIRE(client.connected());
    client.Run("create table t (k text primary key, v int)");
    client.Run("insert into t values ('a', 1), ('b', 2)");
  }

  /// Waits till so many sessions wait for a lock or sleep.
  bool AwaitLocks(size_t held) {
    std::chrono::steady_clock::time_point give_up =
        std::chrono::steady_clock::now() + kGiveUp;
    while (std::chrono::steady_clock::now() < give_up) {
      size_t now = member.Ask(
          [this] { return member.server().member().locks().held(); });
      if (now == held) return true;
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return false;
  }

  TestMember member;
  Client client;
};

pgwire::MemberPosition ProbeOf(Client* client) {
  ResultPtr result(
      PQexec(client->get(), std::string(pgwire::kProbeSql).c_str()), &PQclear);
  std::vector<std::optional<std::string>> values;
  for (int i = 0; i < PQnfields(result.get()); ++i) {
    values.push_back(std::string(PQgetvalue(result.get(), 0, i)));
  }
  std::string row = pgwire::DataRow(values);
  Result<pgwire::MemberPosition> position =
      pgwire::ParseProbeRow(std::string_view(row).substr(5));
  BOOST_REQUIRE(position);
  return position.value();
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(server, Fixture)

BOOST_AUTO_TEST_CASE(ReadsAndWritesRows) {
  BOOST_TEST(client.Run("select v from t where k = 'b'") == "2");
  BOOST_TEST(client.Run("update t set v = v + 1 where k = 'a'") == "UPDATE 1");
  BOOST_TEST(client.Run("select sum(v) from t") == "4");
  BOOST_TEST(client.Run("select k from t order by v desc, k limit 1") == "a");
  BOOST_TEST(client.Run("insert into t values ('a', 9) on conflict (k) do "
                        "update set v = excluded.v returning v") == "9");
  BOOST_TEST(
      client.Run("insert into t values ('a', 7) on conflict do nothing") ==
      "INSERT 0 0");
  BOOST_TEST(client.Run("delete from t where v = 9") == "DELETE 1");
  BOOST_TEST(client.Run("select count(*) from t") == "1");
}

BOOST_AUTO_TEST_CASE(TellsErrorsBySqlstate) {
  BOOST_TEST(client.Run("select 1/0") == "22012");
  BOOST_TEST(client.Run("insert into t values ('a', 1)") == "23505");
  BOOST_TEST(client.Run("insert into t values ('c', 'x')") == "22P02");
  BOOST_TEST(client.Run("insert into t (v) values (1)") == "23502");
  BOOST_TEST(client.Run("select * from missing") == "42P01");
  BOOST_TEST(client.Run("select missing from t") == "42703");
  BOOST_TEST(client.Run("select missing()") == "42883");
  BOOST_TEST(client.Run("set missing = 1") == "42704");
}

BOOST_AUTO_TEST_CASE(BlocksCommitFailAndRollBack) {
  client.Run("begin");
  BOOST_TEST(client.status() == PQTRANS_INTRANS);
  client.Run("insert into t values ('c', 3)");
  client.Run("savepoint s");
  BOOST_TEST(client.Run("insert into t values ('c', 3)") == "23505");
  BOOST_TEST(client.status() == PQTRANS_INERROR);
  BOOST_TEST(client.Run("select 1") == "25P02");
  client.Run("rollback to s");
  BOOST_TEST(client.status() == PQTRANS_INTRANS);
  client.Run("commit");
  BOOST_TEST(client.Run("select count(*) from t") == "3");
  client.Run("begin");
  client.Run("delete from t");
  client.Run("selec");
  BOOST_TEST(client.Run("commit") == "ROLLBACK");
  BOOST_TEST(client.Run("select count(*) from t") == "3");
}

BOOST_AUTO_TEST_CASE(StatementsOfOneQueryAreOneTransaction) {
  BOOST_TEST(client.Run("insert into t values ('c', 3); select 1/0") ==
             "22012");
  BOOST_TEST(client.Run("select count(*) from t") == "2");
  client.Run("insert into t values ('c', 3); insert into t values ('d', 4)");
  BOOST_TEST(client.Run("select count(*) from t") == "4");
}

BOOST_AUTO_TEST_CASE(OthersDontSeeWhatIsNotCommitted) {
  Client other(&member);
  client.Run("begin; update t set v = 50 where k = 'a'");
  BOOST_TEST(client.Run("select v from t where k = 'a'") == "50");
  BOOST_TEST(other.Run("select v from t where k = 'a'") == "1");
  client.Run("commit");
  BOOST_TEST(other.Run("select v from t where k = 'a'") == "50");
}

BOOST_AUTO_TEST_CASE(RowLocksWaitForTheOtherTransaction) {
  Client other(&member);
  client.Run("begin; update t set v = 10 where k = 'a'");
  std::future<std::string> waiting = std::async(std::launch::async, [&] {
    return other.Run("update t set v = v + 1 where k = 'a' returning v");
  });
  bool early = waiting.wait_for(std::chrono::milliseconds(50)) ==
               std::future_status::ready;
  BOOST_TEST(!early);
  client.Run("commit");
  BOOST_TEST(waiting.get() == "11");
}

BOOST_AUTO_TEST_CASE(RowLocksEndWithTheConnection) {
  std::unique_ptr<Client> holder = std::make_unique<Client>(&member);
  holder->Run("begin; update t set v = 10 where k = 'a'");
  std::future<std::string> waiting = std::async(std::launch::async, [&] {
    return client.Run("update t set v = v + 1 where k = 'a' returning v");
  });
  holder.reset();
  BOOST_TEST(waiting.get() == "2");
  BOOST_TEST(AwaitLocks(0));
}

BOOST_AUTO_TEST_CASE(LocksEndWhenTheWaitingClientIsLost) {
  std::unique_ptr<Client> lost = std::make_unique<Client>(&member);
  lost->Run("begin; update t set v = 10 where k = 'b'");
  client.Run("begin; update t set v = 10 where k = 'a'");
  PQsendQuery(lost->get(), "update t set v = 11 where k = 'a'");
  PQflush(lost->get());
  BOOST_TEST(AwaitLocks(2));
  lost.reset();
  BOOST_TEST(AwaitLocks(1));
  client.Run("rollback");
  BOOST_TEST(client.Run("select v from t where k = 'b'") == "2");
}

BOOST_AUTO_TEST_CASE(DeadlockIsDetected) {
  Client other(&member);
  client.Run("begin; update t set v = 10 where k = 'a'");
  other.Run("begin; update t set v = 10 where k = 'b'");
  std::future<std::string> waiting = std::async(std::launch::async, [&] {
    return other.Run("update t set v = 11 where k = 'a'");
  });
  std::string own = client.Run("update t set v = 11 where k = 'b'");
  if (own == "40P01") client.Run("rollback");
  std::string others = waiting.get();
  bool exactly_one = (own == "40P01") != (others == "40P01");
  BOOST_TEST(exactly_one);
}

BOOST_AUTO_TEST_CASE(CancelEndsASleep) {
  std::future<std::string> sleeping = std::async(
      std::launch::async, [&] { return client.Run("select pg_sleep(60)"); });
  std::unique_ptr<PGcancel, decltype(&PQfreeCancel)> cancel(
      PQgetCancel(client.get()), &PQfreeCancel);
  char why[256];
  while (sleeping.wait_for(std::chrono::milliseconds(10)) !=
         std::future_status::ready) {
    PQcancel(cancel.get(), why, sizeof why);
  }
  BOOST_TEST(sleeping.get() == "57014");
  BOOST_TEST(client.Run("set statement_timeout = 20") == "SET");
  BOOST_TEST(client.Run("select pg_sleep(60)") == "57014");
}

BOOST_AUTO_TEST_CASE(ExtendedProtocolAndItsErrors) {
  BOOST_TEST(client.RunWith("select v from t where k = $1", "b") == "2");
  BOOST_TEST(client.RunWith("insert into t values ('p', $1)", "x") == "22P02");
  BOOST_TEST(client.RunWith("select 1; select $1", "x") == "42601");
  BOOST_TEST(client.RunWith("select v from t where k = $1", "a") == "1");
  client.Run("prepare p as select v from t where k = $1");
  BOOST_TEST(client.Run("execute p('b')") == "2");
  BOOST_TEST(client.Run("deallocate p") == "DEALLOCATE");
  BOOST_TEST(client.Run("execute p('b')") == "26000");
}

BOOST_AUTO_TEST_CASE(PipelineSkipsToSyncAfterAnError) {
  BOOST_REQUIRE(PQenterPipelineMode(client.get()) == 1);
  for (const char* sql :
       {"insert into t values ('c', 3)", "select 1/0", "select 2"}) {
    PQsendQueryParams(client.get(), sql, 0, nullptr, nullptr, nullptr, nullptr,
                      0);
  }
  PQpipelineSync(client.get());
  PQsendQueryParams(client.get(), "select count(*) from t", 0, nullptr, nullptr,
                    nullptr, nullptr, 0);
  PQpipelineSync(client.get());
  std::string told;
  int syncs = 0;
  while (syncs < 2) {
    PGresult* result = PQgetResult(client.get());
    if (!result) continue;
    ExecStatusType status = PQresultStatus(result);
    if (status == PGRES_PIPELINE_SYNC) ++syncs;
    told += status == PGRES_PIPELINE_SYNC      ? "sync "
            : status == PGRES_PIPELINE_ABORTED ? "skipped "
            : status == PGRES_FATAL_ERROR      ? "error "
            : PQntuples(result) > 0
                ? std::string(PQgetvalue(result, 0, 0)) + " "
                : "done ";
    PQclear(result);
  }
  // The insert before the error is rolled back with it.
  BOOST_TEST(told == "done error skipped sync 2 sync ");
}

BOOST_AUTO_TEST_CASE(SettingsBelongToTheConnection) {
  client.Run("set application_name = 'mine'");
  client.Run("set my.value = 'x'");
  BOOST_TEST(client.Run("show application_name") == "mine");
  BOOST_TEST(std::string(PQparameterStatus(client.get(), "application_name")) ==
             "mine");
  Client other(&member);
  BOOST_TEST(other.Run("select current_setting('my.value')") == "42704");
  client.Run("begin; set my.value = 'y'; rollback");
  BOOST_TEST(client.Run("show my.value") == "x");
  client.Run("begin; set local my.value = 'y'; commit");
  BOOST_TEST(client.Run("show my.value") == "x");
  BOOST_TEST(client.Run("discard all") == "DISCARD ALL");
  BOOST_TEST(client.Run("select current_setting('my.value')") == "42704");
}

BOOST_AUTO_TEST_CASE(LargeResultsStreamInBoundedMemory) {
  constexpr int kRows = 20000;
  BOOST_REQUIRE(PQsendQuery(client.get(),
                            "select repeat('x', 1000) from "
                            "generate_series(1, 20000)") == 1);
  BOOST_REQUIRE(PQsetSingleRowMode(client.get()) == 1);
  int rows = 0;
  while (PGresult* result = PQgetResult(client.get())) {
    bool whole = PQntuples(result) == 1 && PQgetlength(result, 0, 0) == 1000;
    if (whole) ++rows;
    PQclear(result);
  }
  BOOST_TEST(rows == kRows);
}

BOOST_AUTO_TEST_CASE(NoticesArrive) {
  std::string notice;
  client.CollectNotices(&notice);
  client.Run("select standin_notice('hello')");
  BOOST_TEST(notice.find("hello") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(IdleTransactionsEnd) {
  client.Run("set idle_in_transaction_session_timeout = 20");
  client.Run("begin; update t set v = 5 where k = 'a'");
  Client other(&member);
  BOOST_TEST(other.Run("update t set v = v + 1 where k = 'a' returning v") ==
             "2");
}

BOOST_AUTO_TEST_CASE(ConnectionsBeyondTheCapAreRefused) {
  ServerOptions options;
  options.max_connections = 1;
  TestMember small(options);
  Client first(&small);
  BOOST_TEST(first.connected());
  Client second(&small);
  BOOST_TEST(!second.connected());
  BOOST_TEST(std::string(PQerrorMessage(second.get())).find("too many") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(SlotsLimitWhatExecutesAtOnce) {
  ServerOptions options;
  options.slots = 1;
  TestMember one(options);
  Client holder(&one);
  Client waiter(&one);
  PQsendQuery(holder.get(), "select pg_sleep(60)");
  PQflush(holder.get());
  std::future<std::string> waiting =
      std::async(std::launch::async, [&] { return waiter.Run("select 1"); });
  bool early = waiting.wait_for(std::chrono::milliseconds(50)) ==
               std::future_status::ready;
  BOOST_TEST(!early);
  // What only observes the member needs no slot.
  Client prober(&one);
  BOOST_TEST(ProbeOf(&prober).is_primary);
  std::unique_ptr<PGcancel, decltype(&PQfreeCancel)> cancel(
      PQgetCancel(holder.get()), &PQfreeCancel);
  char why[256];
  PQcancel(cancel.get(), why, sizeof why);
  BOOST_TEST(waiting.get() == "1");
}

BOOST_AUTO_TEST_CASE(ShutdownLetsATransactionFinish) {
  Client idle(&member);
  std::string farewell;
  idle.CollectNotices(&farewell);
  client.Run("begin; update t set v = 5 where k = 'a'");
  member.Ask([this] { member.server().Shutdown(); });
  // libpq passes on what comes between queries as a notice.
  idle.ReadUntilClosed();
  BOOST_TEST(farewell.find("administrator command") != std::string::npos);
  Client late(&member);
  BOOST_TEST(!late.connected());
  BOOST_TEST(client.Run("commit") == "COMMIT");
}

BOOST_AUTO_TEST_SUITE_END()

struct GroupFixture : Fixture {
  static ServerOptions Replica(const TestMember& primary) {
    ServerOptions options;
    options.primary = primary.repl();
    return options;
  }

  GroupFixture() : replica(Replica(member)), reader(&replica) {}

  TestMember replica;
  Client reader;
};

BOOST_FIXTURE_TEST_SUITE(group, GroupFixture)

BOOST_AUTO_TEST_CASE(ReplicaReplaysAndRefusesWrites) {
  BOOST_TEST(reader.RunUntil("select count(*) from t", "2"));
  BOOST_TEST(reader.Run("insert into t values ('c', 3)") == "25006");
  BOOST_TEST(reader.Run("select * from t for update") == "25006");
  client.Run("insert into t values ('c', 3)");
  BOOST_TEST(reader.RunUntil("select count(*) from t", "3"));
  pgwire::MemberPosition primary = ProbeOf(&client);
  pgwire::MemberPosition replica = ProbeOf(&reader);
  BOOST_TEST(primary.is_primary);
  BOOST_TEST(!replica.is_primary);
  BOOST_TEST(replica.replayed.value() == primary.received.value());
  BOOST_TEST(replica.term.value() == 1u);
}

BOOST_AUTO_TEST_CASE(LagHoldsReplayBackAndPromotionCatchesUp) {
  BOOST_TEST(reader.RunUntil("select count(*) from t", "2"));
  replica.Ask([this] { replica.server().member().SetLag(Seconds(600)); });
  client.Run("insert into t values ('c', 3)");
  uint64_t end = ProbeOf(&client).received.value();
  std::chrono::steady_clock::time_point give_up =
      std::chrono::steady_clock::now() + kGiveUp;
  while (ProbeOf(&reader).received.value() < end &&
         std::chrono::steady_clock::now() < give_up) {
  }
  pgwire::MemberPosition behind = ProbeOf(&reader);
  BOOST_TEST(behind.received.value() == end);
  BOOST_TEST(behind.replayed.value() < end);
  BOOST_TEST(reader.Run("select count(*) from t") == "2");
  BOOST_TEST(reader.Run(std::string(pgwire::kPromoteSql)) == "t");
  pgwire::MemberPosition promoted = ProbeOf(&reader);
  BOOST_TEST(promoted.is_primary);
  BOOST_TEST(promoted.term.value() == 2u);
  BOOST_TEST(reader.Run("select count(*) from t") == "3");
  BOOST_TEST(reader.Run("insert into t values ('d', 4)") == "INSERT 0 1");
  // The old primary knows nothing of it.
  BOOST_TEST(ProbeOf(&client).is_primary);
  BOOST_TEST(ProbeOf(&client).term.value() == 1u);
}

BOOST_AUTO_TEST_CASE(AnOldPrimaryThatFollowsLosesItsTail) {
  BOOST_TEST(reader.RunUntil("select count(*) from t", "2"));
  reader.Run(std::string(pgwire::kPromoteSql));
  reader.Run("insert into t values ('new', 1)");
  client.Run("insert into t values ('tail', 1)");
  client.Run("begin; insert into t values ('open', 1)");
  int offset = replica.server().repl_port() - replica.server().port();
  member.Ask([&] { member.server().SetReplOffset(offset); });
  Client admin(&member);
  admin.Run(pgwire::FollowSql({"127.0.0.1", replica.server().port()}));
  BOOST_TEST(admin.Run(std::string(pgwire::kReloadSql)) == "t");
  BOOST_TEST(admin.RunUntil("select count(*) from t where k = 'new'", "1"));
  BOOST_TEST(admin.Run("select count(*) from t where k = 'tail'") == "0");
  BOOST_TEST(ProbeOf(&admin).term.value() == 2u);
  BOOST_TEST(!ProbeOf(&admin).is_primary);
  BOOST_TEST(client.Run("commit") == "57P01");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace cardamomchute::standin

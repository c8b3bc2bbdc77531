/// The whole path with real processes: statements of every kind through an
/// entry that is not the owner.
#include <boost/test/unit_test.hpp>

#include "cluster.h"

namespace cardamomchute::testing {

namespace {

/// Three batches in one pipeline, the second of them an error; what came back.
std::string RunPipeline(PGconn* connection, const std::string& key) {
  constexpr int kBatches = 3;
  const char* value = key.c_str();
  PQenterPipelineMode(connection);
  PQsendQueryParams(connection, "INSERT INTO t (k, v) VALUES ($1, 'p')", 1,
                    nullptr, &value, nullptr, nullptr, 0);
  PQsendQueryParams(connection, "SELECT v FROM t WHERE k = $1", 1, nullptr,
                    &value, nullptr, nullptr, 0);
  PQpipelineSync(connection);
  PQsendQueryParams(connection, "SELECT 1/0", 0, nullptr, nullptr, nullptr,
                    nullptr, 0);
  PQsendQueryParams(connection, "SELECT 7", 0, nullptr, nullptr, nullptr,
                    nullptr, 0);
  PQpipelineSync(connection);
  PQsendPrepare(connection, "named", "SELECT 8", 0, nullptr);
  PQsendQueryPrepared(connection, "named", 0, nullptr, nullptr, nullptr, 0);
  PQpipelineSync(connection);
  std::string seen;
  int synced = 0;
  while (synced < kBatches && PQstatus(connection) == CONNECTION_OK) {
    PGresult* result = PQgetResult(connection);
    if (result == nullptr) {
      seen += ";";
      continue;
    }
    ExecStatusType status = PQresultStatus(result);
    if (status == PGRES_PIPELINE_SYNC) ++synced;
    seen += std::string(PQresStatus(status)) + " " + PQcmdStatus(result);
    if (PQntuples(result) > 0)
      seen += std::string("=") + PQgetvalue(result, 0, 0);
    const char* state = PQresultErrorField(result, PG_DIAG_SQLSTATE);
    if (state != nullptr) seen += std::string(" ") + state;
    PQclear(result);
  }
  PQexitPipelineMode(connection);
  return seen;
}

}  // namespace

struct PathFixture {
  PathFixture() : cluster("path") { cluster.Start(); }
  Cluster cluster;

  Client Connect(const std::string& user = kUser) {
    std::string owner = cluster.OwnerOf("tickets");
    return Client(cluster.OtherEntry(owner).callers_port, user, kDatabase);
  }
};

BOOST_FIXTURE_TEST_CASE(statements_run_as_when_direct, PathFixture) {
  Client client = Connect();
  BOOST_REQUIRE(client.connected());
  BOOST_TEST(client.Run("SELECT 1").value == "1");
  BOOST_TEST(client.Run("INSERT INTO t (k, v) VALUES ('a', '1')").ok);
  BOOST_TEST(client.Run("SELECT v FROM t WHERE k = 'a'").value == "1");

  BOOST_TEST(client.Run("BEGIN").ok);
  BOOST_TEST(client.Run("UPDATE t SET v = '2' WHERE k = 'a'").ok);
  BOOST_TEST(client.Run("ROLLBACK").ok);
  BOOST_TEST(client.Run("SELECT v FROM t WHERE k = 'a'").value == "1");

  BOOST_TEST(client.Run("PREPARE p AS SELECT v FROM t WHERE k = 'a'").ok);
  BOOST_TEST(client.Run("EXECUTE p").value == "1");

  Answer error = client.Run("SELECT 1/0");
  BOOST_TEST(error.sqlstate == "22012");
  BOOST_TEST(client.Run("SELECT 2").value == "2");

  Answer unknown = client.Run("SELECT * FROM nowhere");
  BOOST_TEST(unknown.sqlstate == "42P01");

  Client viewer = Connect("viewer");
  BOOST_TEST(viewer.Run("INSERT INTO t (k, v) VALUES ('x', '1')").sqlstate ==
             "42501");
  Client stranger = Connect("stranger");
  BOOST_TEST(!stranger.connected());
}

BOOST_FIXTURE_TEST_CASE(sessions_see_their_writes_at_every_vm, PathFixture) {
  Client writer = Connect();
  for (int i = 0; i < 20; ++i) {
    std::string value = std::to_string(i);
    std::string write = i == 0
                            ? "INSERT INTO t (k, v) VALUES ('w', '0')"
                            : "UPDATE t SET v = '" + value + "' WHERE k = 'w'";
    BOOST_REQUIRE(writer.Run(write).ok);
    BOOST_TEST(writer.Run("SELECT v FROM t WHERE k = 'w'").value == value);
    VmProcess& vm = cluster.entries[i % cluster.entries.size()];
    std::string floor = i % 2 == 0 ? "" : writer.floor();
    std::string options =
        floor.empty() ? "" : "options='-c cardamomchute.floor=" + floor + "'";
    Client roamed(vm.callers_port, kUser, kDatabase, options);
    BOOST_REQUIRE(roamed.connected());
    BOOST_TEST(roamed.Run("SELECT v FROM t WHERE k = 'w'").value == value);
  }
}

BOOST_FIXTURE_TEST_CASE(a_pipeline_answers_as_when_direct, PathFixture) {
  Client through = Connect();
  std::string endpoint = cluster.PrimaryOf("tickets");
  Client direct(cluster.Endpoint(endpoint).port, "app", kDatabase);
  std::string expected = RunPipeline(direct.raw(), "direct");
  BOOST_TEST(RunPipeline(through.raw(), "through") == expected);
  BOOST_TEST(expected.find("22012") != std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(a_large_result_is_whole, PathFixture) {
  Client through = Connect();
  std::string endpoint = cluster.PrimaryOf("tickets");
  Client direct(cluster.Endpoint(endpoint).port, "app", kDatabase);
  std::string sql = "SELECT repeat('x', 1000) FROM generate_series(1, 100000)";
  Answer answer = through.Run(sql);
  BOOST_TEST(answer.rows == 100000);
  BOOST_TEST(answer.value == direct.Run(sql).value);
}

}  // namespace cardamomchute::testing

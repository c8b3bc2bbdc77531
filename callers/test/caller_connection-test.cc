#include "caller_connection.h"

#include <boost/test/unit_test.hpp>
#include <random>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "bench.h"

namespace cardamomchute {

BOOST_AUTO_TEST_CASE(a_slow_reader_bounds_what_the_owner_sends) {
  Bench bench;
  Client client(bench.conninfo());
  constexpr size_t kRows = 50000;  // about 50 MB
  std::string sql = "select big " + std::to_string(kRows);
  BOOST_REQUIRE(PQsendQuery(client.get(), sql.c_str()) == 1);
  // Nothing is read until the sockets are full and the window is used up.
  while (bench.owner().most_outstanding() < kChannelWindowBytes) {
    std::this_thread::yield();
  }
  Client other(bench.conninfo());
  BOOST_TEST(other.Exec("select 1").value == "select 1");
  BOOST_REQUIRE(PQsetSingleRowMode(client.get()) == 1);
  size_t rows = 0;
  while (PGresult* result = PQgetResult(client.get())) {
    rows += static_cast<size_t>(PQntuples(result));
    PQclear(result);
  }
  BOOST_TEST(rows == kRows);
  constexpr int64_t kSlackBytes = 16 * 1024;
  BOOST_TEST(bench.owner().most_outstanding() <=
             kChannelWindowBytes + kSlackBytes);
}

BOOST_AUTO_TEST_CASE(negotiations_are_answered_no) {
  Bench bench;
  RawClient raw(bench.server().port());
  raw.Send(pgwire::Builder()
               .BeginUntyped()
               .Int32(static_cast<int32_t>(pgwire::kSslRequestCode))
               .End()
               .bytes());
  BOOST_TEST(raw.Read(1) == "N");
  raw.Send(pgwire::Builder()
               .BeginUntyped()
               .Int32(static_cast<int32_t>(pgwire::kGssEncRequestCode))
               .End()
               .bytes());
  BOOST_TEST(raw.Read(1) == "N");
  raw.Send(pgwire::Startup({{"user", "desk"}, {"database", "tickets"}}));
  BOOST_TEST(raw.Read(1) == "R");
}

BOOST_AUTO_TEST_CASE(startup_in_single_bytes) {
  Bench bench;
  RawClient raw(bench.server().port());
  std::string bytes =
      pgwire::Startup({{"user", "desk"}, {"database", "tickets"}}) +
      pgwire::Query("select 1");
  for (char c : bytes) raw.Send(std::string(1, c));
  raw.ReadUntil("select 1");
}

BOOST_AUTO_TEST_CASE(broken_startups_are_told_so) {
  Bench bench;
  std::vector<std::string> broken = {
      "GET / HTTP/1.1\r\n\r\n",
      std::string("\0\0\0\4", 4),
      std::string("\0\0\0\x08\x12\x34\x56\x78", 8),
      std::string("\xff\xff\xff\xff\0\3\0\0", 8),
      std::string("\0\0\0\x0d\0\3\0\0user", 12) + "x",
  };
  for (const std::string& bytes : broken) {
    RawClient raw(bench.server().port());
    raw.Send(bytes);
    BOOST_TEST(raw.ReadAll().find("08P01") != std::string::npos);
  }
  Client other(bench.conninfo());
  BOOST_TEST(other.Exec("select 1").value == "select 1");
}

BOOST_AUTO_TEST_CASE(broken_messages_end_one_connection) {
  Bench bench;
  Client other(bench.conninfo());
  std::vector<std::string> broken = {
      std::string("Q\0\0\0\3", 5),          // length below itself
      std::string("Q\x7f\xff\xff\xff", 5),  // oversized
      std::string("z\0\0\0\4", 5),          // unknown type
      std::string("p\0\0\0\5x", 6),         // a password nobody asked for
      std::string("P\0\0\0\6a\0", 7) + pgwire::Query("select 1"),  // no Sync
  };
  for (const std::string& bytes : broken) {
    RawClient raw(bench.server().port());
    raw.Send(pgwire::Startup({{"user", "desk"}, {"database", "tickets"}}));
    raw.Send(bytes);
    BOOST_TEST(raw.ReadAll().find("08P01") != std::string::npos);
    BOOST_TEST(other.Exec("select 1").value == "select 1");
  }
}

BOOST_AUTO_TEST_CASE(messages_cut_short_within_are_refused) {
  Bench bench;
  RawClient raw(bench.server().port());
  raw.Send(pgwire::Startup({{"user", "desk"}, {"database", "tickets"}}));
  raw.Send(std::string("P\0\0\0\5a", 6) + std::string("S\0\0\0\4", 5));
  raw.ReadUntil("08P01");
  raw.Send(pgwire::Query("select after"));
  raw.ReadUntil("select after");
}

BOOST_AUTO_TEST_CASE(random_bytes_do_no_harm) {
  Bench bench;
  Client other(bench.conninfo());
  std::mt19937 random(7);
  constexpr int kRounds = 200;
  for (int round = 0; round < kRounds; ++round) {
    RawClient raw(bench.server().port());
    if (round % 2 == 0) {
      raw.Send(pgwire::Startup({{"user", "desk"}, {"database", "tickets"}}));
    }
    std::string bytes;
    constexpr std::string_view kTypes = "QPBDECHSXFdcf";
    for (int i = 0; i < 20; ++i) {
      size_t size = random() % 40;
      bytes.push_back(kTypes[random() % kTypes.size()]);
      bytes += std::string(3, '\0') + static_cast<char>(4 + size);
      for (size_t k = 0; k < size; ++k) {
        bytes.push_back(static_cast<char>(random() % 4 == 0 ? 0 : random()));
      }
    }
    raw.Send(bytes.substr(0, random() % (bytes.size() + 1)));
    raw.CloseSending();
    raw.ReadAll();
  }
  BOOST_TEST(other.Exec("select 1").value == "select 1");
  while (bench.server().callers() > 1) std::this_thread::yield();
}

BOOST_AUTO_TEST_CASE(a_caller_that_only_sends_is_held_back) {
  Bench bench;
  RawClient raw(bench.server().port());
  raw.Send(pgwire::Startup({{"user", "desk"}, {"database", "tickets"}}));
  std::string query = pgwire::Query("select " + std::string(1000, 'x'));
  constexpr size_t kEnough = 64 * 1024 * 1024;
  size_t sent = raw.SendUntilFull(query, kEnough);
  BOOST_TEST(sent < kEnough);
  Client other(bench.conninfo());
  BOOST_TEST(other.Exec("select 1").value == "select 1");
}

}  // namespace cardamomchute

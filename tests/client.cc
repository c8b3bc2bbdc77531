#include "client.h"

#include <chrono>
#include <thread>

namespace cardamomchute::testing {

Client::Client(uint16_t port, const std::string& user,
               const std::string& database, const std::string& options)
    : connection_(nullptr, PQfinish) {
  std::string info = "host=127.0.0.1 sslmode=disable gssencmode=disable";
  info += " connect_timeout=10 port=" + std::to_string(port);
  info += " user=" + user + " dbname=" + database + " " + options;
  connection_.reset(PQconnectdb(info.c_str()));
  PQsetNoticeReceiver(
      connection_.get(), [](void*, const PGresult*) {}, nullptr);
}

bool Client::connected() const {
  return PQstatus(connection_.get()) == CONNECTION_OK;
}

Answer Client::Run(const std::string& sql) {
  std::unique_ptr<PGresult, void (*)(PGresult*)> result(
      PQexec(connection_.get(), sql.c_str()), PQclear);
  Answer answer;
  ExecStatusType status = PQresultStatus(result.get());
  answer.ok = status == PGRES_COMMAND_OK || status == PGRES_TUPLES_OK;
  if (!answer.ok) {
    const char* state = PQresultErrorField(result.get(), PG_DIAG_SQLSTATE);
    answer.sqlstate = state != nullptr ? state : "08006";
    answer.message = PQerrorMessage(connection_.get());
    return answer;
  }
  answer.rows = PQntuples(result.get());
  bool has_value = answer.rows > 0 && PQnfields(result.get()) > 0;
  if (has_value) answer.value = PQgetvalue(result.get(), 0, 0);
  return answer;
}

std::string Client::floor() const {
  const char* value =
      PQparameterStatus(connection_.get(), "cardamomchute.floor");
  return value != nullptr ? value : "";
}

Answer RunUntilOk(uint16_t port, const std::string& user,
                  const std::string& database, const std::string& sql,
                  int seconds) {
  std::chrono::steady_clock::time_point give_up =
      std::chrono::steady_clock::now() + std::chrono::seconds(seconds);
  Answer answer;
  do {
    Client client(port, user, database);
    answer = client.connected() ? client.Run(sql) : Answer{};
    if (answer.ok) return answer;
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  } while (std::chrono::steady_clock::now() < give_up);
  return answer;
}

}  // namespace cardamomchute::testing

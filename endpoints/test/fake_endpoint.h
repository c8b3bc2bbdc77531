/// Fake PostgreSQL server on loopback that stands for one member of a group.
#ifndef CARDAMOMCHUTE_ENDPOINTS_TEST_FAKE_ENDPOINT_H_
#define CARDAMOMCHUTE_ENDPOINTS_TEST_FAKE_ENDPOINT_H_

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cardamomchute/base/ids.h"
#include "cardamomchute/pgwire/group_sql.h"
#include "cardamomchute/pgwire/message.h"

namespace cardamomchute {

class FakeEndpoint {
 public:
  explicit FakeEndpoint(boost::asio::io_context& io)
      : io_(io), acceptor_(io, {boost::asio::ip::address_v4::loopback(), 0}) {
    port_ = acceptor_.local_endpoint().port();
    Accept();
  }
  ~FakeEndpoint() { Kill(); }

  Address address() const { return Address{"127.0.0.1", port_}; }

  // The member's state.
  bool primary = false;
  uint64_t term = 1;
  uint64_t received = 1000;
  uint64_t replayed = 1000;
  std::vector<FakeEndpoint*> replicas;  ///< receive this member's writes
  bool replays = true;                  ///< replays received writes at once

  // Injected faults.
  bool silent = false;                          ///< sends nothing
  bool keeps_closing_connections_open = false;  ///< ignores Terminate
  bool hold_answers = false;  ///< statement answers wait for Release
  bool hold_probes = false;   ///< position query answers wait for Release
  /// Called just before a statement's answer is written.
  std::function<void(const std::string& sql)> before_answer;

  // Recorded activity.
  std::vector<std::string> statements;  ///< SQL executed, in order
  std::vector<std::string> messages;    ///< types of all frontend messages
  std::set<std::string> keys;  ///< INSERTs that recorded operation keys
  size_t probes = 0;
  size_t cancels = 0;
  size_t open_connections = 0;
  size_t most_connections = 0;
  size_t connections_seen = 0;
  size_t most_in_flight = 0;
  size_t bytes_sent = 0;

  size_t Count(const std::string& sql) const {
    return static_cast<size_t>(
        std::count(statements.begin(), statements.end(), sql));
  }

  /// Sends the held answers and stops holding.
  void Release() {
    hold_answers = false;
    hold_probes = false;
    std::vector<std::function<void()>> held = std::move(held_);
    held_.clear();
    for (const std::function<void()>& answer : held) answer();
  }

  /// Closes the port and resets all connections.
  void Kill() {
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    ResetConnections();
  }

  void ResetConnections() {
    std::set<std::shared_ptr<Connection>> connections = connections_;
    connections_.clear();
    for (const std::shared_ptr<Connection>& c : connections) c->Reset();
    open_connections = 0;
  }

  /// Silences all existing connections permanently; new ones work.
  void SilenceConnections() {
    for (const std::shared_ptr<Connection>& c : connections_) c->mute = true;
  }

  void Write(uint64_t bytes) {
    received += bytes;
    replayed = received;
    for (FakeEndpoint* replica : replicas) {
      replica->received = received;
      if (replica->replays) replica->replayed = received;
    }
  }

 private:
  static constexpr size_t kWriteBytes = 32 * 1024;

  struct Connection : std::enable_shared_from_this<Connection> {
    Connection(FakeEndpoint* owner, boost::asio::ip::tcp::socket s)
        : endpoint(owner), socket(std::move(s)) {}

    void Reset() {
      endpoint = nullptr;
      boost::system::error_code ignored;
      socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
      socket.close(ignored);
    }

    void Read() {
      socket.async_read_some(
          boost::asio::buffer(chunk),
          [self = shared_from_this()](boost::system::error_code error,
                                      size_t count) {
            if (self->endpoint == nullptr) return;
            if (error) return self->OnClosed();
            self->in.append(self->chunk, count);
            self->Parse();
            if (self->endpoint != nullptr) self->Read();
          });
    }

    void OnClosed() {
      if (endpoint == nullptr) return;
      FakeEndpoint* owner = endpoint;
      endpoint = nullptr;
      boost::system::error_code ignored;
      socket.close(ignored);
      --owner->open_connections;
      owner->connections_.erase(shared_from_this());
    }

    void Parse() {
      if (!started && !ParseStartup()) return;
      while (endpoint != nullptr) {
        std::optional<pgwire::MessageView> message =
            pgwire::NextMessage(in).value();
        if (!message) return;
        char type = message->type;
        std::string body(message->body);
        in.erase(0, message->whole.size());
        endpoint->messages.emplace_back(1, type);
        if (type == 'X' && endpoint->keeps_closing_connections_open) return;
        if (type == 'X') return OnClosed();
        Handle(type, body);
      }
    }

    bool ParseStartup() {
      std::optional<pgwire::StartupPacket> packet =
          pgwire::NextStartup(in).value();
      if (!packet) return false;
      in.erase(0, packet->size);
      if (packet->code == pgwire::kCancelRequestCode) {
        ++endpoint->cancels;
        OnClosed();
        return false;
      }
      started = true;
      if (endpoint->silent) return true;
      pgwire::Builder b;
      b.Begin('R').Int32(0).End();
      b.Begin('K').Int32(7).Int32(8).End();
      Send(b.Take() + pgwire::ParameterStatus("server_version", "15.0") +
           pgwire::ReadyForQuery('I'));
      return true;
    }

    void Handle(char type, const std::string& body) {
      pgwire::BodyReader reader(body);
      if (type == 'Q') return HandleSimpleQuery(std::string(reader.CString()));
      if (type == 'S') {
        skipping = false;
        bool probe_held = endpoint->hold_answers && ran;
        ran = false;
        std::string answer = std::move(extended);
        extended.clear();
        return Answer(answer + pgwire::ReadyForQuery(status), probe_held, "");
      }
      if (skipping) return;
      if (type == 'P') {
        std::string name(reader.CString());
        std::string sql(reader.CString());
        if (!name.empty() && prepared.count(name) > 0) {
          return Fail("42P05", "already exists");
        }
        if (sql == "fail parse") return Fail("42601", "syntax");
        prepared.insert(name);
        parsed_sql = sql;
        extended += pgwire::Builder().Begin('1').End().bytes();
      } else if (type == 'B') {
        reader.CString();
        std::string name(reader.CString());
        if (!name.empty() && prepared.count(name) == 0) {
          return Fail("26000", "does not exist");
        }
        extended += pgwire::Builder().Begin('2').End().bytes();
      } else if (type == 'C') {
        reader.Byte();
        prepared.erase(std::string(reader.CString()));
        extended += pgwire::Builder().Begin('3').End().bytes();
      } else if (type == 'E') {
        ran = true;
        extended += Execute(parsed_sql);
      }
    }

    void Fail(const std::string& state, const std::string& message) {
      skipping = true;
      extended += pgwire::ErrorResponse({"ERROR", state, message, "", ""});
    }

    void HandleSimpleQuery(const std::string& sql) {
      if (sql == pgwire::kProbeSql) {
        ++endpoint->probes;
        return Later(endpoint->hold_probes, [self = shared_from_this()] {
          if (self->endpoint == nullptr) return;
          self->Send(self->ProbeAnswer() + pgwire::ReadyForQuery(self->status));
        });
      }
      std::string answer = Execute(sql);
      Answer(answer + pgwire::ReadyForQuery(status), endpoint->hold_answers,
             sql);
    }

    void Answer(std::string bytes, bool held, const std::string& sql) {
      FakeEndpoint* owner = endpoint;
      Later(held, [self = shared_from_this(), owner, sql, bytes] {
        if (self->endpoint == nullptr) return;
        if (owner->before_answer) owner->before_answer(sql);
        if (self->endpoint != nullptr) self->Send(bytes);
      });
    }

    void Later(bool held, std::function<void()> answer) {
      if (!held && pending.empty()) return answer();
      if (held) {
        pending.push_back(std::move(answer));
        if (pending.size() == 1) {
          ++endpoint->in_flight_;
          endpoint->most_in_flight =
              std::max(endpoint->most_in_flight, endpoint->in_flight_);
          endpoint->held_.push_back([self = shared_from_this()] {
            if (self->endpoint != nullptr) --self->endpoint->in_flight_;
            std::vector<std::function<void()>> all = std::move(self->pending);
            self->pending.clear();
            for (const std::function<void()>& one : all) one();
          });
        }
        return;
      }
      pending.push_back(std::move(answer));
    }

    std::string ProbeAnswer() {
      std::string recovery = endpoint->primary ? "f" : "t";
      return pgwire::RowDescription({"a", "b", "c", "d"}) +
             pgwire::DataRow({recovery, std::to_string(endpoint->term),
                              pgwire::FormatLsn(endpoint->received),
                              pgwire::FormatLsn(endpoint->replayed)}) +
             pgwire::CommandComplete("SELECT 1");
    }

    std::string Execute(const std::string& sql) {
      size_t end = sql.find("; ");
      if (end != std::string::npos) {
        std::string first = Execute(sql.substr(0, end));
        return first + Execute(sql.substr(end + 2));
      }
      endpoint->statements.push_back(sql);
      if (sql == pgwire::kPromoteSql) {
        endpoint->primary = true;
        ++endpoint->term;
        return pgwire::RowDescription({"t"}) + pgwire::DataRow({"t"}) +
               pgwire::CommandComplete("SELECT 1");
      }
      if (sql.rfind("fail", 0) == 0) {
        if (status == 'T') status = 'E';
        return pgwire::ErrorResponse({"ERROR", "42601", "syntax", "", ""});
      }
      if (sql.rfind("BEGIN", 0) == 0) {
        status = 'T';
        return pgwire::CommandComplete("BEGIN");
      }
      if (sql == "COMMIT" || sql == "ROLLBACK") {
        bool commits = sql == "COMMIT" && status == 'T';
        if (commits) endpoint->Write(10);
        if (!commits) {
          for (const std::string& key : new_keys) endpoint->keys.erase(key);
        }
        new_keys.clear();
        status = 'I';
        return pgwire::CommandComplete(commits ? "COMMIT" : "ROLLBACK");
      }
      if (status == 'E' && sql != "COMMIT" && sql != "ROLLBACK") {
        return pgwire::ErrorResponse({"ERROR", "25P02", "aborted", "", ""});
      }
      if (sql.rfind("INSERT INTO cardamomchute_operations", 0) == 0) {
        if (endpoint->keys.insert(sql).second) {
          new_keys.insert(sql);
          return pgwire::CommandComplete("INSERT 0 1");
        }
        status = 'E';
        return pgwire::ErrorResponse({"ERROR", "23505", "duplicate", "", ""});
      }
      if (sql.rfind("INSERT", 0) == 0) {
        if (status == 'I') endpoint->Write(10);
        return pgwire::CommandComplete("INSERT 0 1");
      }
      if (sql.rfind("SELECT rows ", 0) == 0) {
        std::string rows = pgwire::RowDescription({"r"});
        std::string row = pgwire::DataRow({std::string(1000, 'x')});
        for (int i = std::stoi(sql.substr(12)); i > 0; --i) rows += row;
        return rows + pgwire::CommandComplete("SELECT");
      }
      if (sql.rfind("SELECT", 0) == 0) {
        return pgwire::RowDescription({"r"}) +
               pgwire::DataRow({std::to_string(endpoint->port_)}) +
               pgwire::CommandComplete("SELECT 1");
      }
      if (sql == "DISCARD ALL") prepared.clear();
      return pgwire::CommandComplete(sql.substr(0, sql.find(' ')));
    }

    void Send(const std::string& bytes) {
      if (endpoint->silent || mute) return;
      out += bytes;
      if (!writing) Write();
    }

    void Write() {
      if (out.empty()) return;
      writing = true;
      sending = out.substr(out_used, kWriteBytes);
      out_used += sending.size();
      if (out_used == out.size()) {
        out.clear();
        out_used = 0;
      }
      boost::asio::async_write(
          socket, boost::asio::buffer(sending),
          [self = shared_from_this()](boost::system::error_code error,
                                      size_t count) {
            self->writing = false;
            self->sending.clear();
            if (self->endpoint == nullptr || error) return;
            self->endpoint->bytes_sent += count;
            self->Write();
          });
    }

    FakeEndpoint* endpoint;
    boost::asio::ip::tcp::socket socket;
    char chunk[8192];
    std::string in;
    std::string out;
    size_t out_used = 0;
    std::string sending;
    bool writing = false;
    bool started = false;
    bool mute = false;
    char status = 'I';
    bool skipping = false;
    bool ran = false;
    std::string extended;
    std::string parsed_sql;
    std::set<std::string> prepared;
    std::set<std::string> new_keys;
    std::vector<std::function<void()>> pending;
  };

  void Accept() {
    acceptor_.async_accept([this](boost::system::error_code error,
                                  boost::asio::ip::tcp::socket socket) {
      if (error) return;
      std::shared_ptr<Connection> connection =
          std::make_shared<Connection>(this, std::move(socket));
      connection->socket.set_option(boost::asio::ip::tcp::no_delay(true),
                                    error);
      connections_.insert(connection);
      ++connections_seen;
      ++open_connections;
      most_connections = std::max(most_connections, open_connections);
      connection->Read();
      Accept();
    });
  }

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  uint16_t port_ = 0;
  std::set<std::shared_ptr<Connection>> connections_;
  std::vector<std::function<void()>> held_;
  size_t in_flight_ = 0;
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_ENDPOINTS_TEST_FAKE_ENDPOINT_H_

/// A caller as tests need one: libpq, blocking, with the SQLSTATE at hand.
#ifndef CARDAMOMCHUTE_TESTS_CLIENT_H_
#define CARDAMOMCHUTE_TESTS_CLIENT_H_

#include <postgresql/libpq-fe.h>

#include <cstdint>
#include <memory>
#include <string>

namespace cardamomchute::testing {

struct Answer {
  bool ok = false;
  std::string sqlstate;  ///< "08006" too when the connection broke
  std::string message;
  std::string value;  ///< first column of the first row
  int rows = 0;
};

class Client {
 public:
  /// Connects; `options` are further "key=value" words for libpq.
  Client(uint16_t port, const std::string& user, const std::string& database,
         const std::string& options = "");

  bool connected() const;
  Answer Run(const std::string& sql);
  /// The session's floor as the proxy last reported it.
  std::string floor() const;
  PGconn* raw() const { return connection_.get(); }

 private:
  std::unique_ptr<PGconn, void (*)(PGconn*)> connection_;
};

/// Runs `sql` on fresh connections until it succeeds or `seconds` passed.
/// Only for statements that are idempotent.
Answer RunUntilOk(uint16_t port, const std::string& user,
                  const std::string& database, const std::string& sql,
                  int seconds);

}  // namespace cardamomchute::testing

#endif  // CARDAMOMCHUTE_TESTS_CLIENT_H_

#include "relay.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <memory>

namespace cardamomchute::relay {
namespace {

constexpr size_t kBufferBytes = 16 * 1024;

using boost::asio::ip::tcp;
using boost::system::error_code;

class Connection : public std::enable_shared_from_this<Connection> {
 public:
  explicit Connection(tcp::socket client)
      : client_(std::move(client)), target_(client_.get_executor()) {}

  void Connect(const tcp::endpoint& target) {
    std::shared_ptr<Connection> self = shared_from_this();
    target_.async_connect(target, [self](error_code failed) {
      if (failed) return;
      error_code ignored;
      self->client_.set_option(tcp::no_delay(true), ignored);
      self->target_.set_option(tcp::no_delay(true), ignored);
      self->Pump(&self->client_, &self->target_, &self->to_target_);
      self->Pump(&self->target_, &self->client_, &self->to_client_);
    });
  }

 private:
  using Buffer = std::array<char, kBufferBytes>;

  void Pump(tcp::socket* from, tcp::socket* to, Buffer* buffer) {
    std::shared_ptr<Connection> self = shared_from_this();
    from->async_read_some(
        boost::asio::buffer(*buffer),
        [self, from, to, buffer](error_code failed, size_t size) {
          if (failed) return self->End(to);
          self->Write(from, to, buffer, size);
        });
  }

  void Write(tcp::socket* from, tcp::socket* to, Buffer* buffer, size_t size) {
    std::shared_ptr<Connection> self = shared_from_this();
    boost::asio::async_write(
        *to, boost::asio::buffer(*buffer, size),
        [self, from, to, buffer](error_code failed, size_t) {
          if (failed) return self->End(from);
          self->Pump(from, to, buffer);
        });
  }

  /// Passes the end of a stream on; the other direction goes on.
  void End(tcp::socket* to) {
    error_code ignored;
    to->shutdown(tcp::socket::shutdown_send, ignored);
  }

  tcp::socket client_;
  tcp::socket target_;
  Buffer to_target_{};
  Buffer to_client_{};
};

}  // namespace

Relay::Relay(tcp::acceptor acceptor, tcp::endpoint target)
    : acceptor_(std::move(acceptor)), target_(std::move(target)) {}

void Relay::Start() {
  acceptor_.async_accept([this](error_code failed, tcp::socket socket) {
    if (failed == boost::asio::error::operation_aborted) return;
    if (!failed) {
      std::make_shared<Connection>(std::move(socket))->Connect(target_);
    }
    Start();
  });
}

}  // namespace cardamomchute::relay

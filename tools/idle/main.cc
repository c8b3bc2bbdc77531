/// Opens many caller connections to one VM and holds them idle until SIGTERM.
///
///     cardamomchute-idle --target 127.0.0.1:6432 --user u --database d
///         --count 10000
///
/// Prints `idle open=N refused=N` once all have been answered.
#include <sys/resource.h>
#include <tclap/CmdLine.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/write.hpp>
#include <csignal>
#include <iostream>
#include <memory>
#include <vector>

#include "cardamomchute/base/settings.h"
#include "cardamomchute/pgwire/message.h"

namespace cardamomchute {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

/// Connections that are being opened at a time.
constexpr uint32_t kOpening = 64;
constexpr size_t kReadBytes = 4096;

void RaiseFileLimit() {
  rlimit limit = {};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
}

struct Target {
  tcp::endpoint endpoint;
  std::string startup;
  uint32_t count = 0;
};

/// One caller: connects, starts up, then stays silent.
class IdleCaller : public std::enable_shared_from_this<IdleCaller> {
 public:
  using Done = std::function<void(bool open)>;

  explicit IdleCaller(asio::io_context* io) : socket_(*io) {}

  void Open(const Target& target, Done done) {
    done_ = std::move(done);
    socket_.async_connect(target.endpoint, [self = shared_from_this(),
                                            &target](error_code error) {
      if (error) return self->Finish(false);
      self->SendStartup(target);
    });
  }

 private:
  void SendStartup(const Target& target) {
    asio::async_write(socket_, asio::buffer(target.startup),
                      [self = shared_from_this()](error_code error, size_t) {
                        if (error) return self->Finish(false);
                        self->ReadAnswer();
                      });
  }

  void ReadAnswer() {
    size_t used = in_.size();
    in_.resize(used + kReadBytes);
    socket_.async_read_some(
        asio::buffer(in_.data() + used, kReadBytes),
        [self = shared_from_this(), used](error_code error, size_t bytes) {
          self->in_.resize(used + bytes);
          if (error) return self->Finish(false);
          self->ParseAnswer();
        });
  }

  void ParseAnswer() {
    std::string_view left = in_;
    for (;;) {
      Result<std::optional<pgwire::MessageView>> next =
          pgwire::NextMessage(left);
      if (!next.has_value()) return Finish(false);
      if (!next.value()) return ReadAnswer();
      const pgwire::MessageView& message = *next.value();
      if (message.type == 'E') return Finish(false);
      if (message.type == 'Z') break;
      left.remove_prefix(message.whole.size());
    }
    in_ = std::string();
    Finish(true);
  }

  void Finish(bool open) {
    Done done = std::move(done_);
    done(open);
  }

  tcp::socket socket_;
  std::string in_;
  Done done_;
};

/// Opens the callers, some at a time, and keeps those that are open.
class Opener {
 public:
  Opener(asio::io_context* io, Target target)
      : io_(io), target_(std::move(target)) {}

  void Start() {
    for (uint32_t i = 0; i < kOpening; ++i) OpenNext();
  }

 private:
  void OpenNext() {
    if (begun_ == target_.count) return;
    ++begun_;
    std::shared_ptr<IdleCaller> caller = std::make_shared<IdleCaller>(io_);
    caller->Open(target_,
                 [this, caller](bool open) { OnAnswer(caller, open); });
  }

  void OnAnswer(const std::shared_ptr<IdleCaller>& caller, bool open) {
    if (open)
      open_.push_back(caller);
    else
      ++refused_;
    OpenNext();
    if (open_.size() + refused_ < target_.count) return;
    std::cout << "idle open=" << open_.size() << " refused=" << refused_
              << std::endl;
  }

  asio::io_context* io_;
  Target target_;
  uint32_t begun_ = 0;
  uint32_t refused_ = 0;
  std::vector<std::shared_ptr<IdleCaller>> open_;
};

int Main(int argc, char** argv) {
  TCLAP::CmdLine line("Holds idle caller connections", ' ', "0.1");
  TCLAP::ValueArg<std::string> address("", "target", "a VM's listen.callers",
                                       true, "", "IP:port", line);
  TCLAP::ValueArg<std::string> user("", "user", "", true, "", "NAME", line);
  TCLAP::ValueArg<std::string> database("", "database", "", true, "", "NAME",
                                        line);
  TCLAP::ValueArg<uint32_t> count("", "count", "connections", false, 10000, "N",
                                  line);
  line.parse(argc, argv);
  std::optional<Address> parsed = ParseAddress(address.getValue());
  if (!parsed) {
    std::cerr << "--target is not an address; write IP:port\n";
    return 2;
  }
  RaiseFileLimit();
  Target target;
  target.endpoint = {asio::ip::make_address(parsed->host), parsed->port};
  target.startup = pgwire::Startup(
      {{"user", user.getValue()}, {"database", database.getValue()}});
  target.count = count.getValue();
  asio::io_context io;
  Opener opener(&io, std::move(target));
  opener.Start();
  asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](error_code, int) { io.stop(); });
  io.run();
  return 0;
}

}  // namespace
}  // namespace cardamomchute

int main(int argc, char** argv) { return cardamomchute::Main(argc, argv); }

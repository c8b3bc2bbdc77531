#include "pg_client.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "cardamomchute/support/listen.h"

namespace cardamomchute::loadgen {
namespace {

constexpr size_t kReadBytes = 8 * 1024;
constexpr char kFloorName[] = "cardamomchute.floor";

using boost::asio::redirect_error;
using boost::asio::use_awaitable;
using boost::asio::ip::tcp;
using boost::system::error_code;

Answer Lost() {
  Answer answer;
  answer.lost = true;
  return answer;
}

}  // namespace

void PgClient::ArmTimeout(std::chrono::milliseconds timeout) {
  timer_.expires_after(timeout);
  timer_.async_wait([this](error_code failed) {
    if (!failed) Close();
  });
}

void PgClient::Close() {
  error_code ignored;
  socket_.close(ignored);
  in_.clear();
}

bool PgClient::StillOpen() {
  if (!socket_.is_open()) return false;
  socket_.non_blocking(true);
  char byte = 0;
  error_code failed;
  socket_.receive(boost::asio::buffer(&byte, 1), tcp::socket::message_peek,
                  failed);
  // Nothing is due between queries; what comes is a farewell.
  return failed == boost::asio::error::would_block;
}

boost::asio::awaitable<Answer> PgClient::Connect(
    Address address, std::vector<pgwire::StartupPacket::Option> options,
    std::chrono::milliseconds timeout) {
  Close();
  floor_.clear();
  Result<tcp::endpoint> endpoint = support::ToEndpoint(address);
  if (!endpoint) co_return Lost();
  ArmTimeout(timeout);
  error_code failed;
  co_await socket_.async_connect(endpoint.value(),
                                 redirect_error(use_awaitable, failed));
  Answer answer = Lost();
  if (!failed) {
    socket_.set_option(tcp::no_delay(true), failed);
    answer = co_await Exchange(pgwire::Startup(options));
  }
  timer_.cancel();
  if (!answer.ok()) Close();
  co_return answer;
}

boost::asio::awaitable<Answer> PgClient::Query(
    std::string sql, std::chrono::milliseconds timeout) {
  ArmTimeout(timeout);
  Answer answer = co_await Exchange(pgwire::Query(sql));
  timer_.cancel();
  if (answer.lost) Close();
  co_return answer;
}

boost::asio::awaitable<bool> PgClient::ReadMore() {
  size_t size = in_.size();
  in_.resize(size + kReadBytes);
  error_code failed;
  size_t read = co_await socket_.async_read_some(
      boost::asio::buffer(in_.data() + size, kReadBytes),
      redirect_error(use_awaitable, failed));
  in_.resize(failed ? 0 : size + read);
  co_return !failed;
}

bool PgClient::OnMessage(const pgwire::MessageView& message, Answer* answer) {
  pgwire::BodyReader reader(message.body);
  switch (message.type) {
    case 'D': {
      Result<AnswerRow> row = pgwire::ParseDataRow(message.body);
      if (row) answer->rows.push_back(std::move(row.value()));
      return false;
    }
    case 'C':
      answer->tag = std::string(reader.CString());
      return false;
    case 'E':
      if (!answer->error) answer->error = pgwire::ParseReport(message.body);
      return false;
    case 'S':
      if (reader.CString() == kFloorName) floor_ = reader.CString();
      return false;
    case 'Z':
      answer->status = static_cast<char>(reader.Byte());
      return true;
    default:
      return false;
  }
}

boost::asio::awaitable<Answer> PgClient::Exchange(std::string request) {
  error_code failed;
  co_await boost::asio::async_write(socket_, boost::asio::buffer(request),
                                    redirect_error(use_awaitable, failed));
  Answer answer;
  answer.lost = true;
  if (failed) co_return answer;
  for (;;) {
    size_t used = 0;
    for (;;) {
      Result<std::optional<pgwire::MessageView>> next =
          pgwire::NextMessage(std::string_view(in_).substr(used));
      if (!next) co_return answer;
      if (!next.value()) break;
      used += next.value()->whole.size();
      if (!OnMessage(*next.value(), &answer)) continue;
      in_.erase(0, used);
      answer.lost = false;
      co_return answer;
    }
    in_.erase(0, used);
    bool more = co_await ReadMore();
    if (!more) co_return answer;
  }
}

}  // namespace cardamomchute::loadgen

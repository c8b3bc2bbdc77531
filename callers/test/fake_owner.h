/// An owner in the test's own process: answers statements from a script and
/// keeps what the entry sent, so that tests can look at it.
#ifndef CARDAMOMCHUTE_CALLERS_TEST_FAKE_OWNER_H_
#define CARDAMOMCHUTE_CALLERS_TEST_FAKE_OWNER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cardamomchute/channel/channel.h"
#include "cardamomchute/pgwire/message.h"

namespace cardamomchute {

/// What the fake owner does with a statement instead of answering it.
enum class Trick {
  kNone,
  kResetUnsent,  ///< ChannelReset, sent_nothing
  kResetSent,    ///< ChannelReset after it may have run
  kNotRun,       ///< StatementEnd, kNotRun
  kUnknown,      ///< StatementEnd, kUnknown
  kHang,         ///< nothing, until it is cancelled or released
  kHalfAnswer,   ///< half a message, then ChannelReset
  kLateAnswer    ///< first the end of an answer to the statement before
};

class FakeOwner {
 public:
  struct Channel {
    OpenChannel open;
    FromOwnerSink sink;
    Statement statement;     ///< the one under way
    std::string bytes;       ///< its bytes so far
    std::string answer;      ///< still to send
    std::string answer_sql;  ///< for streamed answers: rows left
    size_t rows_left = 0;
    int64_t window = kChannelWindowBytes;
    char status = 'I';
    bool failed = false;
    bool hung = false;
    bool closed = false;
    std::map<std::string, std::string> prepared;
    std::map<std::string, std::string> portals;
  };

  explicit FakeOwner(boost::asio::io_context* io) : io_(io) {}

  ChannelOpener opener() {
    return [this](const OpenChannel& open, FromOwnerSink sink) -> ToOwnerSink {
      std::shared_ptr<Channel> channel = std::make_shared<Channel>();
      channel->open = open;
      channel->sink = std::move(sink);
      std::lock_guard<std::mutex> lock(mutex_);
      opens_.push_back(open);
      channels_.push_back(channel);
      return [this, channel](ToOwner message) {
        boost::asio::post(
            *io_, [this, channel, message] { OnMessage(channel, message); });
      };
    };
  }

  /// The next statement whose SQL holds `text` gets the trick, once.
  void Play(const std::string& text, Trick trick) {
    std::lock_guard<std::mutex> lock(mutex_);
    tricks_.emplace_back(text, trick);
  }

  /// The session's floor after each statement that writes.
  void SetFloor(Floor floor) {
    std::lock_guard<std::mutex> lock(mutex_);
    floor_ = floor;
  }

  std::vector<Statement> statements() const {
    std::lock_guard<std::mutex> lock(mutex_);
    return statements_;
  }

  std::vector<OpenChannel> opens() const {
    std::lock_guard<std::mutex> lock(mutex_);
    return opens_;
  }

  size_t closed() const {
    std::lock_guard<std::mutex> lock(mutex_);
    return closed_;
  }

  size_t cancelled() const {
    std::lock_guard<std::mutex> lock(mutex_);
    return cancelled_;
  }

  /// The most answer bytes that were ever out without credit.
  int64_t most_outstanding() const {
    std::lock_guard<std::mutex> lock(mutex_);
    return most_outstanding_;
  }

  /// Bytes of all answers so far.
  size_t sent_bytes() const {
    std::lock_guard<std::mutex> lock(mutex_);
    return sent_bytes_;
  }

  /// Answers what hangs.
  void Release() {
    boost::asio::post(*io_, [this] {
      std::vector<std::shared_ptr<Channel>> all;
      {
        std::lock_guard<std::mutex> lock(mutex_);
        all = channels_;
      }
      for (const std::shared_ptr<Channel>& channel : all) {
        if (!std::exchange(channel->hung, false)) continue;
        channel->answer += Answer(channel.get(), &channel->bytes);
        Stream(channel);
        End(channel, StatementOutcome::kAnswered);
      }
    });
  }

  /// Ends every channel, as when the owner's VM is lost.
  void ResetAll(bool sent_nothing) {
    boost::asio::post(*io_, [this, sent_nothing] {
      std::vector<std::shared_ptr<Channel>> all;
      {
        std::lock_guard<std::mutex> lock(mutex_);
        all.swap(channels_);
      }
      for (const std::shared_ptr<Channel>& channel : all) {
        channel->closed = true;
        channel->sink(ChannelReset{sent_nothing, "link lost"});
      }
    });
  }

 private:
  void OnMessage(const std::shared_ptr<Channel>& channel,
                 const ToOwner& message) {
    if (channel->closed) return;
    if (const Statement* statement = std::get_if<Statement>(&message)) {
      channel->statement = *statement;
      channel->bytes = statement->bytes;
      channel->failed = false;
      if (statement->complete) {
        Run(channel);
      } else {
        RunPart(channel);
      }
    } else if (const StatementData* data =
                   std::get_if<StatementData>(&message)) {
      channel->bytes += data->bytes;
      channel->statement.bytes += data->bytes;
      if (data->complete) {
        Run(channel);
      } else {
        RunPart(channel);
      }
    } else if (const CancelStatement* cancel =
                   std::get_if<CancelStatement>(&message)) {
      Cancel(channel, *cancel);
    } else if (const Credit* credit = std::get_if<Credit>(&message)) {
      channel->window += credit->bytes;
      Stream(channel);
    } else {
      channel->closed = true;
      std::lock_guard<std::mutex> lock(mutex_);
      ++closed_;
    }
  }

  void Cancel(const std::shared_ptr<Channel>& channel,
              const CancelStatement& cancel) {
    {
      std::lock_guard<std::mutex> lock(mutex_);
      ++cancelled_;
    }
    if (!channel->hung || cancel.number != channel->statement.number) return;
    channel->hung = false;
    channel->answer += Error("57014", "canceling statement on request");
    channel->failed = true;
    Stream(channel);
    End(channel, StatementOutcome::kAnswered);
  }

  Trick TakeTrick(const std::string& bytes) {
    std::lock_guard<std::mutex> lock(mutex_);
    for (size_t i = 0; i < tricks_.size(); ++i) {
      if (bytes.find(tricks_[i].first) == std::string::npos) continue;
      Trick trick = tricks_[i].second;
      tricks_.erase(tricks_.begin() + static_cast<std::ptrdiff_t>(i));
      return trick;
    }
    return Trick::kNone;
  }

  /// Answers what came of a flushed batch, without ending it.
  void RunPart(const std::shared_ptr<Channel>& channel) {
    std::string bytes = channel->bytes;
    if (bytes.empty() || bytes.find('H') == std::string::npos) return;
    channel->answer += Answer(channel.get(), &channel->bytes);
    Stream(channel);
  }

  void Run(const std::shared_ptr<Channel>& channel) {
    {
      std::lock_guard<std::mutex> lock(mutex_);
      Statement whole = channel->statement;
      statements_.push_back(whole);
    }
    Trick trick = TakeTrick(channel->statement.bytes);
    if (trick == Trick::kHang) {
      channel->hung = true;
      return;
    }
    if (trick == Trick::kLateAnswer) {
      uint64_t before = channel->statement.number - 1;
      channel->sink(AnswerData{before, pgwire::DataRow({"late"})});
      StatementEnd end;
      end.number = before;
      channel->sink(end);
    }
    if (trick == Trick::kHalfAnswer) {
      std::string row = pgwire::DataRow({"half"});
      channel->sink(AnswerData{channel->statement.number, row.substr(0, 8)});
    }
    if (trick == Trick::kResetUnsent || trick == Trick::kResetSent ||
        trick == Trick::kHalfAnswer) {
      channel->closed = true;
      channel->sink(ChannelReset{trick == Trick::kResetUnsent, "owner moved"});
      return;
    }
    if (trick == Trick::kNotRun) return End(channel, StatementOutcome::kNotRun);
    if (trick == Trick::kUnknown) {
      channel->status = 'I';
      return End(channel, StatementOutcome::kUnknown);
    }
    channel->answer += Answer(channel.get(), &channel->bytes);
    Stream(channel);
    if (channel->rows_left == 0) End(channel, StatementOutcome::kAnswered);
  }

  void Send(Channel* channel, std::string bytes) {
    channel->window -= static_cast<int64_t>(bytes.size());
    {
      std::lock_guard<std::mutex> lock(mutex_);
      sent_bytes_ += bytes.size();
      most_outstanding_ = std::max<int64_t>(
          most_outstanding_, kChannelWindowBytes - channel->window);
    }
    channel->sink(AnswerData{channel->statement.number, std::move(bytes)});
  }

  /// Sends what the window allows.
  void Stream(const std::shared_ptr<Channel>& channel) {
    constexpr size_t kRowBytes = 1000;
    while (channel->window > 0 && !channel->closed) {
      if (channel->answer.empty() && channel->rows_left > 0) {
        std::string rows;
        for (int i = 0; i < 8 && channel->rows_left > 0; ++i) {
          rows += pgwire::DataRow({std::string(kRowBytes, 'x')});
          --channel->rows_left;
        }
        channel->answer = rows;
        if (channel->rows_left == 0) {
          channel->answer += pgwire::CommandComplete("SELECT");
          Send(channel.get(), std::exchange(channel->answer, ""));
          End(channel, StatementOutcome::kAnswered);
          return;
        }
      }
      if (channel->answer.empty()) return;
      size_t size = std::min<size_t>(channel->answer.size(),
                                     static_cast<size_t>(channel->window));
      std::string piece = channel->answer.substr(0, size);
      channel->answer.erase(0, size);
      Send(channel.get(), std::move(piece));
    }
  }

  void End(const std::shared_ptr<Channel>& channel, StatementOutcome outcome) {
    StatementEnd end;
    end.number = channel->statement.number;
    end.outcome = static_cast<uint8_t>(outcome);
    if (channel->failed && channel->status == 'T') channel->status = 'E';
    end.transaction_status = channel->status;
    {
      std::lock_guard<std::mutex> lock(mutex_);
      end.floor = floor_;
    }
    channel->sink(end);
  }

  static std::string Error(const std::string& sqlstate,
                           const std::string& message) {
    pgwire::Report report;
    report.sqlstate = sqlstate;
    report.message = message;
    return pgwire::ErrorResponse(report);
  }

  /// Answers the messages in `bytes` and takes them out.
  std::string Answer(Channel* channel, std::string* bytes) {
    std::string answer;
    std::string_view rest = *bytes;
    while (true) {
      Result<std::optional<pgwire::MessageView>> next =
          pgwire::NextMessage(rest);
      if (next.has_error() || !next.value()) break;
      rest.remove_prefix(next.value()->whole.size());
      if (!channel->failed) answer += AnswerOne(channel, *next.value());
    }
    *bytes = std::string(rest);
    return answer;
  }

  std::string AnswerOne(Channel* channel, const pgwire::MessageView& message) {
    pgwire::BodyReader reader(message.body);
    switch (message.type) {
      case 'Q':
        return RunSql(channel, std::string(reader.CString()), true);
      case 'P': {
        std::string name(reader.CString());
        std::string sql(reader.CString());
        if (sql.starts_with("fail") || sql.starts_with("cardamomchute:")) {
          channel->failed = true;
          return Error("42601", "syntax error in " + sql);
        }
        channel->prepared[name] = sql;
        return pgwire::Builder().Begin('1').End().Take();
      }
      case 'B': {
        std::string portal(reader.CString());
        std::string name(reader.CString());
        if (!Knows(channel, name)) {
          channel->failed = true;
          return Error("26000", "no prepared statement " + name);
        }
        channel->portals[portal] = channel->prepared[name];
        return pgwire::Builder().Begin('2').End().Take();
      }
      case 'D': {
        bool statement = reader.Byte() == 'S';
        std::string name(reader.CString());
        std::string parameters =
            pgwire::Builder().Begin('t').Int16(0).End().Take();
        std::string sql =
            statement ? channel->prepared[name] : channel->portals[name];
        std::string columns = sql.starts_with("select")
                                  ? pgwire::RowDescription({"sql"})
                                  : pgwire::Builder().Begin('n').End().Take();
        return (statement ? parameters : "") + columns;
      }
      case 'E': {
        std::string portal(reader.CString());
        return RunSql(channel, channel->portals[portal], false);
      }
      case 'C':
        return pgwire::Builder().Begin('3').End().Take();
      default:
        return "";
    }
  }

  /// Statements the entry carries along count as prepared.
  bool Knows(Channel* channel, const std::string& name) {
    for (const std::string& parse : channel->statement.prepared) {
      Result<std::optional<pgwire::MessageView>> message =
          pgwire::NextMessage(parse);
      if (message.has_error() || !message.value()) continue;
      pgwire::BodyReader reader(message.value()->body);
      std::string carried(reader.CString());
      channel->prepared[carried] = std::string(reader.CString());
    }
    return channel->prepared.contains(name);
  }

  std::string RunSql(Channel* channel, const std::string& sql, bool describe) {
    if (sql.starts_with("error")) {
      channel->failed = true;
      return Error("22012", "error asked for");
    }
    if (sql.starts_with("begin")) channel->status = 'T';
    if (sql.starts_with("commit") || sql.starts_with("rollback") ||
        sql == "ROLLBACK") {
      channel->status = 'I';
    }
    if (sql.starts_with("select big ")) {
      channel->rows_left = std::stoul(sql.substr(11));
      return pgwire::RowDescription({"row"});
    }
    if (sql.starts_with("select")) {
      return (describe ? pgwire::RowDescription({"sql"}) : "") +
             pgwire::DataRow({sql}) + pgwire::CommandComplete("SELECT 1");
    }
    return pgwire::CommandComplete(sql.substr(0, sql.find(' ')));
  }

  boost::asio::io_context* io_;
  mutable std::mutex mutex_;
  std::vector<std::shared_ptr<Channel>> channels_;
  std::vector<Statement> statements_;
  std::vector<OpenChannel> opens_;
  std::vector<std::pair<std::string, Trick>> tricks_;
  std::optional<Floor> floor_;
  size_t closed_ = 0;
  size_t cancelled_ = 0;
  int64_t most_outstanding_ = 0;
  size_t sent_bytes_ = 0;
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_CALLERS_TEST_FAKE_OWNER_H_

#include "line_group.h"

#include <algorithm>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <istream>
#include <iterator>
#include <sstream>
#include <string_view>

namespace cardamomchute {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::string_view kLineEnd = "\r\n";

/// The rest of a line, which may hold line feeds.
std::string RestOf(std::istream* words) {
  std::istreambuf_iterator<char> begin(*words >> std::ws);
  return {begin, std::istreambuf_iterator<char>()};
}

/// One connection to a member: a line in, an answer out, in order.
class LineSession : public std::enable_shared_from_this<LineSession> {
 public:
  LineSession(tcp::socket socket, LineGroup* group, LineMember* member)
      : socket_(std::move(socket)),
        timer_(socket_.get_executor()),
        group_(group),
        member_(member) {
    ++member_->connections;
  }
  ~LineSession() {
    if (member_ != nullptr) --member_->connections;
  }

  LineMember* member() const { return member_; }

  void Read() {
    std::shared_ptr<LineSession> self = shared_from_this();
    asio::async_read_until(socket_, asio::dynamic_buffer(in_), kLineEnd,
                           [self](error_code error, size_t count) {
                             if (error) return self->Close();
                             std::string line =
                                 self->in_.substr(0, count - kLineEnd.size());
                             self->in_.erase(0, count);
                             self->OnLine(line);
                           });
  }

  void Close() {
    if (group_ == nullptr) return;
    error_code ignored;
    socket_.close(ignored);
    timer_.cancel();
    std::shared_ptr<LineSession> self = shared_from_this();
    group_->sessions_.erase(self);
    group_ = nullptr;
  }

  /// The group and its members are about to be destroyed.
  void Orphan() {
    error_code ignored;
    socket_.close(ignored);
    timer_.cancel();
    group_ = nullptr;
    member_ = nullptr;
  }

 private:
  void OnLine(const std::string& line) {
    std::istringstream words(line);
    std::string word;
    words >> word;
    if (word == "CONNECT") {
      std::string name, who, id;
      words >> name >> who >> id;
      bool wrong =
          name != group_->name_ || (!id.empty() && id != member_->id.value());
      if (wrong) return Send("ERR MISROUTED -\r\n", true);
      if (member_->full) return Send("ERR TOOMANY -\r\n", true);
      who_ = who;
      member_->connected.push_back(who);
      return Ready("");
    }
    std::string id;
    words >> id;
    std::string text;
    text = RestOf(&words);
    if (id != "-") {
      member_->runs.push_back(id + " " + text);
      member_->run_callers.push_back(who_);
      ++member_->running;
      member_->most_running = std::max(member_->most_running, member_->running);
      timer_.expires_after(std::chrono::milliseconds(group_->work_.ms()));
      std::shared_ptr<LineSession> self = shared_from_this();
      timer_.async_wait([self, text](error_code) {
        if (self->group_ == nullptr) return;
        --self->member_->running;
        if (self->member_->lose_answers > 0) {
          --self->member_->lose_answers;
          return;
        }
        if (self->member_->refuse_busy > 0) {
          --self->member_->refuse_busy;
          return self->Fail("BUSY");
        }
        if (self->member_->skip_answers > 0) {
          --self->member_->skip_answers;
          return self->Read();
        }
        self->Run(text);
      });
      return;
    }
    Run(text);
  }

  void Run(std::string text) {
    if (member_->silent) return Read();
    std::istringstream words(text);
    std::string verb;
    words >> verb;
    if (verb == "AFTER") {
      std::string at;
      words >> at;
      uint64_t number = std::stoull(at.substr(at.find('.') + 1));
      if (number > member_->applied) return Fail("LAGGING");
      text = RestOf(&words);
      return Run(text);
    }
    std::string name;
    words >> name;
    std::string rest;
    rest = RestOf(&words);
    if (verb == "EXEC") {
      if (!prepared_.contains(name)) return Fail("NOSTMT");
      return Run(prepared_[name] + " " + rest);
    }
    if (verb == "STATUS") return Ready(Status());
    if (verb == "PAUSE") {
      member_->paused_below = std::stoull(name);
      if (group_->on_pause) group_->on_pause();
      return Ready(Status());
    }
    if (verb == "RESUME") {
      member_->paused_below = 0;
      return Ready(Status());
    }
    if (verb == "DEMOTE") {
      member_->is_primary = false;
      return Ready(Status());
    }
    if (verb == "RESET") {
      values_.clear();
      prepared_.clear();
      return Ready("DONE -\r\n");
    }
    if (verb == "SET") {
      values_[name] = rest;
      return Ready("DONE -\r\n");
    }
    if (verb == "PREPARE") {
      prepared_[name] = rest.substr(0, rest.find(' '));
      return Ready("DONE -\r\n");
    }
    if (verb == "BEGIN") {
      bool plain = name != "READ";
      if (plain && !member_->is_primary) return Fail("READONLY");
      state_ = 'T';
      plain_ = plain;
      return Ready("DONE -\r\n");
    }
    if (verb == "ROLLBACK") {
      writes_.clear();
      state_ = 'I';
      return Ready("DONE -\r\n");
    }
    bool fenced = state_ == 'T' && plain_;
    bool lost_primary_role = fenced && !member_->is_primary;
    if (verb == "READ") {
      if (lost_primary_role) return Fail("READONLY");
      std::string settings;
      for (const auto& [key, value] : values_) settings += key + "=" + value;
      return Ready("ROW " + group_->Latest(name, member_->applied) + "|" +
                   settings + "\r\nDONE sig\r\n");
    }
    if (verb == "WRITE") {
      if (!member_->is_primary) return Fail("READONLY");
      writes_.push_back({name, rest});
      if (state_ == 'T') return Ready("DONE sig\r\n");
      return Commit();
    }
    if (verb == "COMMIT") {
      if (lost_primary_role && !writes_.empty()) return Fail("READONLY");
      state_ = 'I';
      if (writes_.empty()) return Ready("DONE sig\r\n");
      return Commit();
    }
    Fail("MALFORMED");
  }

  void Commit() {
    bool acknowledged = group_->Append(writes_);
    writes_.clear();
    if (!acknowledged || member_->mute_commits) return Read();
    Ready("DONE sig\r\n");
  }

  std::string Status() const {
    std::ostringstream row;
    row << "ROW " << (member_->is_primary ? "primary" : "replica") << " "
        << member_->term << " " << member_->term << "." << member_->received
        << " " << member_->paused_below << " " << member_->lag_ms
        << " 0 1\r\nDONE -\r\n";
    return row.str();
  }

  void Fail(const std::string& code) {
    if (state_ == 'T') state_ = 'E';
    Ready("ERR " + code + " -\r\n");
  }

  void Ready(const std::string& before) {
    Send(before + "READY " + state_ + " " + std::to_string(member_->term) +
             "." + std::to_string(member_->applied) + "\r\n",
         false);
  }

  void Send(std::string bytes, bool close) {
    out_ = std::move(bytes);
    std::shared_ptr<LineSession> self = shared_from_this();
    asio::async_write(socket_, asio::buffer(out_),
                      [self, close](error_code error, size_t) {
                        if (error || close) return self->Close();
                        self->Read();
                      });
  }

  tcp::socket socket_;
  asio::steady_timer timer_;
  LineGroup* group_;
  LineMember* member_;
  std::string who_;
  std::string in_;
  std::string out_;
  char state_ = 'I';
  bool plain_ = false;
  std::map<std::string, std::string> values_;
  std::map<std::string, std::string> prepared_;
  std::vector<LineGroup::LogEntry> writes_;
};

LineGroup::LineGroup(asio::io_context* io, std::string name, size_t members)
    : io_(io), name_(std::move(name)) {
  for (size_t i = 0; i < members; ++i) {
    acceptors_.push_back(std::make_unique<tcp::acceptor>(
        *io_, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)));
    members_.push_back(std::make_unique<LineMember>());
    members_[i]->id = EndpointId(name_ + "-" + std::to_string(i));
    members_[i]->address =
        Address{"127.0.0.1", acceptors_[i]->local_endpoint().port()};
    members_[i]->is_primary = i == 0;
    Accept(i);
  }
}

LineGroup::~LineGroup() {
  for (const std::shared_ptr<LineSession>& session : sessions_)
    session->Orphan();
}

void LineGroup::Accept(size_t i) {
  acceptors_[i]->async_accept([this, i](error_code error, tcp::socket socket) {
    if (error) return;
    std::shared_ptr<LineSession> session = std::make_shared<LineSession>(
        std::move(socket), this, members_[i].get());
    sessions_.insert(session);
    session->Read();
    Accept(i);
  });
}

EndpointRecord LineGroup::Record(size_t i, const std::string& zone,
                                 uint64_t sequence) const {
  const LineMember& member = *members_[i];
  EndpointRecord record;
  record.id = member.id;
  record.group = GroupId(name_);
  record.address = member.address;
  record.zone = Zone(zone);
  record.slots = 2;
  record.claims_primary = member.is_primary;
  record.started_ms = kFirstStartMs;
  record.sequence = sequence;
  return record;
}

void LineGroup::Promote(const EndpointId& id) {
  ++term_;
  for (const std::unique_ptr<LineMember>& member : members_) {
    bool goes_on = replaced_goes_on_ && member->is_primary && member->id != id;
    if (goes_on) continue;
    member->is_primary = member->id == id;
    member->term = term_;
    member->paused_below = 0;
    if (member->is_primary) log_.resize(member->received);
  }
}

void LineGroup::Kill(size_t i) {
  error_code ignored;
  acceptors_[i]->close(ignored);
  std::set<std::shared_ptr<LineSession>> sessions = sessions_;
  for (const std::shared_ptr<LineSession>& session : sessions) {
    if (session->member() == members_[i].get()) session->Close();
  }
}

bool LineGroup::Commit(const std::string& item, const std::string& data) {
  return Append({{item, data}});
}

bool LineGroup::Append(const std::vector<LogEntry>& commits) {
  bool has_primary = std::any_of(
      members_.begin(), members_.end(),
      [](const std::unique_ptr<LineMember>& m) { return m->is_primary; });
  if (!has_primary) return false;
  if (Due(Plant::kLost)) return true;
  log_.insert(log_.end(), commits.begin(), commits.end());
  if (Due(Plant::kDoubled))
    log_.insert(log_.end(), commits.begin(), commits.end());
  bool received = members_.size() == 1;
  for (const std::unique_ptr<LineMember>& member : members_) {
    bool deaf = member->cut_off || member->paused_below > term_;
    if (!member->is_primary && deaf) continue;
    member->received = log_.size();
    if (!member->lags) member->applied = log_.size();
    if (!member->is_primary) received = true;
  }
  return received;
}

size_t LineGroup::CountOf(const std::string& data) const {
  return static_cast<size_t>(std::count_if(
      log_.begin(), log_.end(),
      [&data](const LogEntry& entry) { return entry.data == data; }));
}

size_t LineGroup::PositionOf(const std::string& data) const {
  for (size_t i = log_.size(); i > 0; --i) {
    if (log_[i - 1].data == data) return i;
  }
  return 0;
}

bool LineGroup::Due(Plant plant) const {
  constexpr uint64_t kEvery = 5;
  return plant == plant_ && ++plant_turns_ % kEvery == 0;
}

std::string LineGroup::Latest(const std::string& item, uint64_t applied) const {
  bool mixed = Due(Plant::kMixed);
  int skipped = Due(Plant::kStale) ? 1 : 0;
  for (size_t i = std::min<size_t>(applied, log_.size()); i > 0; --i) {
    bool other = log_[i - 1].item != item;
    if (other != mixed) continue;
    if (skipped-- > 0) continue;
    return log_[i - 1].data;
  }
  return "none";
}

}  // namespace cardamomchute

#include "group.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <sstream>

namespace review {
namespace {

/// A commit waits this long for a replica that receives it.
constexpr int64_t kSyncWaitMs = 700;
/// A statement waits this long for a slot.
constexpr int64_t kSlotWaitMs = 5000;

std::string TakeWord(std::string* text) {
  size_t blank = text->find(' ');
  std::string word = text->substr(0, blank);
  *text = blank == std::string::npos ? "" : text->substr(blank + 1);
  return word;
}

bool Occupies(const std::string& text) {
  std::string rest = text;
  std::string word = TakeWord(&rest);
  return word == "READ" || word == "WRITE" || word == "EXEC" ||
         word == "COMMIT" || word == "AFTER";
}

}  // namespace

Group::Group(GroupSettings settings, Record* record)
    : settings_(std::move(settings)),
      record_(record),
      work_ms_(settings_.work_ms),
      reply_ms_(settings_.reply_ms) {
  for (size_t i = 0; i < settings_.members; ++i) {
    std::unique_ptr<Member> member = std::make_unique<Member>();
    member->id = settings_.name + "-" + std::to_string(i);
    member->primary = i == 0;
    member->born = WallMs() + static_cast<int64_t>(i);
    members_.push_back(std::move(member));
  }
}

Group::~Group() { Stop(); }

bool Group::Start() {
  for (std::unique_ptr<Member>& member : members_) {
    member->listener = Listen({settings_.host, 0});
    if (member->listener < 0) return false;
    member->address = {settings_.host, PortOf(member->listener)};
    threads_.emplace_back([this, m = member.get()] { AcceptLoop(m); });
  }
  return true;
}

void Group::Stop() {
  {
    std::lock_guard<std::mutex> lock(mutex_);
    if (stopped_) return;
    stopped_ = true;
    for (std::unique_ptr<Member>& member : members_) {
      ::shutdown(member->listener, SHUT_RDWR);
      for (int socket : member->sockets) ::shutdown(socket, SHUT_RDWR);
    }
  }
  changed_.notify_all();
  for (std::thread& thread : threads_) thread.join();
  for (std::unique_ptr<Member>& member : members_) ::close(member->listener);
}

std::string Group::IdOf(size_t i) const { return members_[i]->id; }
Address Group::AddressOf(size_t i) const { return members_[i]->address; }
int64_t Group::BornOf(size_t i) const { return members_[i]->born; }

void Group::AcceptLoop(Member* member) {
  std::vector<std::thread> serving;
  while (true) {
    int socket = ::accept4(member->listener, nullptr, nullptr, SOCK_CLOEXEC);
    std::lock_guard<std::mutex> lock(mutex_);
    if (stopped_ || member->crashed || socket < 0) {
      if (socket >= 0) ::close(socket);
      if (stopped_ || member->crashed) break;
      continue;
    }
    member->sockets.insert(socket);
    serving.emplace_back([this, member, socket] { Serve(member, socket); });
  }
  for (std::thread& thread : serving) thread.join();
}

void Group::Serve(Member* member, int socket) {
  Session session;
  LineReader reader(socket);
  bool counted = false;
  std::optional<std::string> line = reader.Next(3000);
  if (line) {
    std::string rest = *line;
    std::string word = TakeWord(&rest);
    std::string service = TakeWord(&rest);
    std::string who = TakeWord(&rest);
    std::string answer;
    {
      std::lock_guard<std::mutex> lock(mutex_);
      session.number = ++next_session_;
      bool wrong = word != "CONNECT" || service != settings_.name ||
                   (!rest.empty() && rest != member->id);
      bool full =
          member->connections >= static_cast<size_t>(settings_.max_connections);
      counted = !wrong && !full;
      if (counted) ++member->connections;
      answer = wrong  ? "ERR MISROUTED -\r\n"
               : full ? "ERR TOOMANY -\r\n"
                      : "READY I " + Position(*member) + "\r\n";
    }
    SendAll(socket, answer);
  }
  while (counted) {
    line = reader.Next(600000);
    if (!line) break;
    std::string rest = *line;
    std::string word = TakeWord(&rest);
    if (word != "QUERY") break;
    std::string id = TakeWord(&rest);
    if (on_statement) on_statement(member->id, id, rest);
    std::string answer = Execute(member, &session, id, rest);
    if (reply_ms_ > 0) SleepMs(reply_ms_);
    {
      std::unique_lock<std::mutex> lock(mutex_);
      changed_.wait(lock, [this] { return stopped_ || !cut_; });
    }
    if (answer.empty() || !SendAll(socket, answer)) break;
  }
  std::lock_guard<std::mutex> lock(mutex_);
  if (counted) --member->connections;
  if (session.transaction != 0)
    record_->Add(member->id, "connection " + std::to_string(session.number) +
                                 " closed; transaction " +
                                 std::to_string(session.transaction) +
                                 " rolled back");
  member->sockets.erase(socket);
  ::close(socket);
}

bool Group::TakeSlot(Member* member) {
  std::unique_lock<std::mutex> lock(mutex_);
  if (member->busy >= settings_.slots && member->waiting >= settings_.queue)
    return false;
  ++member->waiting;
  bool free = changed_.wait_for(
      lock, std::chrono::milliseconds(kSlotWaitMs), [this, member] {
        return stopped_ || member->crashed || member->busy < settings_.slots;
      });
  --member->waiting;
  if (!free) return false;
  ++member->busy;
  return true;
}

void Group::FreeSlot(Member* member) {
  {
    std::lock_guard<std::mutex> lock(mutex_);
    --member->busy;
  }
  changed_.notify_all();
}

std::string Group::Execute(Member* member, Session* session,
                           const std::string& id, std::string text) {
  bool slot = Occupies(text) && id != "-";
  if (slot && !TakeSlot(member)) {
    record_->Add(member->id, "BUSY " + id + " " + text);
    std::lock_guard<std::mutex> lock(mutex_);
    return Fail(session, "BUSY") + "READY " + session->state + " " +
           Position(*member) + "\r\n";
  }
  if (slot) SleepMs(work_ms_);
  std::string body = RunText(member, session, id, text);
  if (slot) FreeSlot(member);
  std::lock_guard<std::mutex> lock(mutex_);
  if (stopped_ || member->crashed || body == "none") return "";
  record_->Add(member->id,
               "connection " + std::to_string(session->number) +
                   " transaction " + std::to_string(session->transaction) +
                   " ran " + id + " " + text + " -> " +
                   body.substr(0, body.find("\r\n")) + " " + session->state);
  return body + "READY " + session->state + " " + Position(*member) + "\r\n";
}

std::string Group::Fail(Session* session, const std::string& code) const {
  if (session->state == 'T') session->state = 'E';
  return "ERR " + code + " -\r\n";
}

std::string Group::RunText(Member* member, Session* session,
                           const std::string& id, std::string text) {
  std::unique_lock<std::mutex> lock(mutex_);
  if (id != "-")
    runs_.push_back(
        {member->id, id, text, session->number, session->transaction});
  std::string rest = text;
  std::string verb = TakeWord(&rest);
  if (verb == "AFTER") {
    std::string position = TakeWord(&rest);
    size_t dot = position.find('.');
    uint64_t term = std::stoull(position.substr(0, dot));
    uint64_t number = std::stoull(position.substr(dot + 1));
    bool lacks = member->term < term || Applied(*member) < number;
    if (lacks) return Fail(session, "LAGGING");
    text = rest;
    verb = TakeWord(&rest);
  }
  if (verb == "STATUS") return Status(*member);
  if (verb == "PAUSE") {
    uint64_t term = std::stoull(rest);
    if (!member->primary && term > term_) member->paused_below = term;
    record_->Add(member->id, "PAUSE " + rest);
    return Status(*member);
  }
  if (verb == "RESUME") {
    member->paused_below = 0;
    if (!member->primary && !member->deaf)
      member->log = members_[LeaderIndex()]->log;
    record_->Add(member->id, "RESUME");
    changed_.notify_all();
    return Status(*member);
  }
  if (verb == "DEMOTE") {
    if (member->primary && std::stoull(rest) > member->term)
      member->primary = false;
    record_->Add(member->id, "DEMOTE " + rest);
    return Status(*member);
  }
  if (verb == "RESET") {
    session->values.clear();
    session->prepared.clear();
    return "DONE -\r\n";
  }
  if (verb == "SET") {
    std::string name = TakeWord(&rest);
    session->values[name] = rest;
    return "DONE -\r\n";
  }
  if (verb == "PREPARE") {
    std::string name = TakeWord(&rest);
    session->prepared[name] = TakeWord(&rest);
    return "DONE -\r\n";
  }
  if (verb == "ROLLBACK") {
    session->writes.clear();
    session->state = 'I';
    session->transaction = 0;
    return "DONE -\r\n";
  }
  if (session->state == 'E') return "ERR MALFORMED -\r\n";
  if (verb == "BEGIN") {
    bool plain = rest != "READ";
    if (session->state != 'I') return Fail(session, "MALFORMED");
    if (plain && !member->primary) return "ERR READONLY " + member->id + "\r\n";
    session->state = 'T';
    session->plain = plain;
    session->term = member->term;
    session->transaction = ++next_transaction_;
    return "DONE -\r\n";
  }
  std::string signature = "DONE " + member->id + "." + id + "\r\n";
  bool lost_lead = session->state == 'T' && session->plain &&
                   (!member->primary || member->term != session->term);
  if (verb == "COMMIT") {
    if (session->state != 'T') return Fail(session, "MALFORMED");
    if (lost_lead && !session->writes.empty()) return Fail(session, "READONLY");
    std::vector<Write> writes = std::move(session->writes);
    session->writes.clear();
    session->state = 'I';
    session->transaction = 0;
    if (writes.empty()) return signature;
    return Append(member, id, std::move(writes), &lock) == "" ? signature
                                                              : "none";
  }
  if (lost_lead) return Fail(session, "READONLY");
  if (verb == "EXEC") {
    std::string name = TakeWord(&rest);
    auto known = session->prepared.find(name);
    if (known == session->prepared.end()) return Fail(session, "NOSTMT");
    verb = known->second;
  }
  std::string item = TakeWord(&rest);
  if (verb == "READ") {
    std::string found = "none";
    uint64_t applied = Applied(*member);
    for (const Commit& commit : member->log) {
      if (commit.number > applied) break;
      for (const Write& write : commit.writes) {
        if (write.item == item) found = write.data;
      }
    }
    for (const Write& write : session->writes) {
      if (write.item == item) found = write.data;
    }
    return "ROW " + found + "\r\n" + signature;
  }
  if (verb != "WRITE") return Fail(session, "MALFORMED");
  if (!member->primary) return Fail(session, "READONLY");
  if (session->state == 'T') {
    session->writes.push_back({id, item, rest});
    return signature;
  }
  return Append(member, id, {{id, item, rest}}, &lock) == "" ? signature
                                                             : "none";
}

/// Appends a commit and waits until a replica has received it. Returns "" once
/// it may be acknowledged.
std::string Group::Append(Member* member, const std::string& id,
                          std::vector<Write> writes,
                          std::unique_lock<std::mutex>* lock) {
  Commit commit;
  commit.term = member->term;
  commit.number = member->log.size() + 1;
  commit.id = id;
  commit.writes = std::move(writes);
  commit.received_ms = NowMs();
  member->log.push_back(commit);
  auto received = [this, member, &commit] {
    bool any = members_.size() == 1;
    for (std::unique_ptr<Member>& other : members_) {
      if (other.get() == member || other->crashed || other->deaf) continue;
      if (other->paused_below > member->term || !member->primary) continue;
      // Everything up to this commit arrives in order.
      for (size_t i = other->log.size(); i < member->log.size(); ++i) {
        other->log.push_back(member->log[i]);
        other->log.back().received_ms = NowMs();
      }
      if (other->log.size() >= commit.number) any = true;
    }
    return any;
  };
  int64_t until = NowMs() + kSyncWaitMs;
  while (!received()) {
    if (stopped_ || member->crashed || NowMs() > until) return "none";
    changed_.wait_for(*lock, std::chrono::milliseconds(20));
  }
  for (const Write& write : commit.writes)
    record_->Add(member->id, "commit " + std::to_string(commit.term) + "." +
                                 std::to_string(commit.number) + " by " + id +
                                 " holds " + write.id + " " + write.item + " " +
                                 write.data);
  return "";
}

uint64_t Group::Applied(const Member& member) const {
  if (member.primary) return member.log.size();
  int64_t limit = NowMs() - settings_.lag_ms;
  uint64_t applied = 0;
  for (const Commit& commit : member.log) {
    if (commit.received_ms > limit) break;
    applied = commit.number;
  }
  return applied;
}

std::string Group::Position(const Member& member) const {
  return std::to_string(member.term) + "." + std::to_string(Applied(member));
}

std::string Group::Status(const Member& member) const {
  std::ostringstream row;
  row << "ROW " << (member.primary ? "primary" : "replica") << " "
      << member.term << " " << member.term << "." << member.log.size() << " "
      << member.paused_below << " 0 " << member.busy << " "
      << member.connections << "\r\nDONE -\r\n";
  return row.str();
}

size_t Group::LeaderIndex() const {
  size_t leader = 0;
  for (size_t i = 0; i < members_.size(); ++i) {
    bool better =
        members_[i]->primary && (!members_[leader]->primary ||
                                 members_[i]->term > members_[leader]->term);
    if (better) leader = i;
  }
  return leader;
}

bool Group::Beat(size_t i, const std::vector<Address>& nodes) {
  std::ostringstream body;
  std::string id;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    Member& member = *members_[i];
    if (member.crashed) return false;
    id = member.id;
    body << "{\"service\":\"" << settings_.name << "\",\"addr\":\""
         << ToString(member.address) << "\",\"zone\":\"" << settings_.zone
         << "\",\"version\":\"v1\",\"slots\":" << settings_.slots
         << ",\"state\":\"ready\",\"coldLeftMs\":0,\"dbRole\":\""
         << (member.primary ? "primary" : "replica")
         << "\",\"born\":" << member.born << ",\"seq\":" << ++member.sequence
         << "}";
  }
  for (const Address& node : nodes) {
    if (Http(node, "POST", "/instances/" + id + "/beat", body.str()).status /
            100 ==
        2)
      return true;
  }
  return false;
}

bool Group::Promote(const std::string& id) {
  std::lock_guard<std::mutex> lock(mutex_);
  Member* chosen = nullptr;
  for (std::unique_ptr<Member>& member : members_) {
    if (member->id == id && !member->crashed) chosen = member.get();
  }
  if (chosen == nullptr) return false;
  if (chosen->primary) return true;
  ++term_;
  for (std::unique_ptr<Member>& member : members_) {
    if (member->crashed) continue;
    member->primary = member.get() == chosen;
    member->term = term_;
    member->paused_below = 0;
    if (member.get() == chosen) continue;
    // What a replica has beyond the new primary's log is rolled back.
    if (member->log.size() > chosen->log.size())
      member->log.resize(chosen->log.size());
  }
  record_->Add("platform", "promoted " + id + " to term " +
                               std::to_string(term_) + " at " +
                               std::to_string(chosen->log.size()));
  changed_.notify_all();
  return true;
}

void Group::Crash(size_t i) {
  std::lock_guard<std::mutex> lock(mutex_);
  Member& member = *members_[i];
  member.crashed = true;
  record_->Add(member.id, "crashed with " + std::to_string(member.log.size()) +
                              " commits");
  ::shutdown(member.listener, SHUT_RDWR);
  for (int socket : member.sockets) ::shutdown(socket, SHUT_RDWR);
  changed_.notify_all();
}

void Group::SetDeaf(size_t i, bool deaf) {
  std::lock_guard<std::mutex> lock(mutex_);
  members_[i]->deaf = deaf;
  record_->Add(members_[i]->id, deaf ? "receives nothing" : "receives again");
}

void Group::SetCut(bool cut) {
  {
    std::lock_guard<std::mutex> lock(mutex_);
    cut_ = cut;
    record_->Add("network", cut ? "links to the members are cut"
                                : "links to the members are whole again");
  }
  changed_.notify_all();
}

std::vector<RunStatement> Group::Runs() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return runs_;
}

std::vector<Commit> Group::Log() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return members_[LeaderIndex()]->log;
}

size_t Group::ConnectionsOf(size_t i) const {
  std::lock_guard<std::mutex> lock(mutex_);
  return members_[i]->connections;
}

}  // namespace review

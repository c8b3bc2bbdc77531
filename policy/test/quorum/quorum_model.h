/// Members of a quorum on disks that fail, connected by a network that loses
/// and reorders, driven by seed; checks that the log stays safe.
#ifndef CARDAMOMCHUTE_POLICY_TEST_QUORUM_QUORUM_MODEL_H_
#define CARDAMOMCHUTE_POLICY_TEST_QUORUM_QUORUM_MODEL_H_

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <optional>
#include <random>
#include <utility>
#include <vector>

#include "cardamomchute/policy/quorum/quorum.h"

namespace cardamomchute::quorum_model {

inline constexpr Duration kStep = Millis(10);
/// Short timeouts, so that leaders change often and candidates collide.
inline constexpr QuorumTiming kTiming{Millis(20), Millis(40), Millis(90),
                                      Millis(200)};

/// A member's disk. Synced data survives a crash; the last write may be torn.
struct Disk {
  StoredQuorum synced;

  void Write(const QuorumState& state, const QuorumOutput& output,
             size_t entries) {
    if (output.save_vote) synced.vote = state.vote;
    if (output.install) {
      synced.snapshot = *output.install;
      synced.entries.clear();
    }
    for (size_t i = 0; i < entries; ++i) Take(output.append[i]);
  }

  void Take(const LogEntry& entry) {
    std::vector<LogEntry>& log = synced.entries;
    while (!log.empty() && log.back().index >= entry.index) log.pop_back();
    log.push_back(entry);
  }
};

struct Node {
  Disk disk;
  std::optional<QuorumState> state;  ///< empty while it is down
  Time paused_until;                 ///< stalled until then
  std::vector<LogEntry> applied;     ///< since its start, after the snapshot
  bool snapshot_unsaved = false;     ///< while its disk refuses writes
};

struct RoundKey {
  MemberId id;
  QuorumTerm term;
  Round round;

  friend auto operator<=>(const RoundKey&, const RoundKey&) = default;
};

/// Highest term and newest commit of the whole cluster when a round started.
struct RoundStart {
  QuorumTerm highest_term;
  LogIndex newest;
};

/// Checks the safety properties after each step of a random schedule.
class Model {
 public:
  Model(uint64_t seed, size_t size) : random_(seed) {
    QuorumConfig config;
    for (size_t i = 0; i < size; ++i) {
      config.members[Name(i)] =
          QuorumMember{VmId(Name(i).value()), Address{}, true};
    }
    for (size_t i = 0; i < size; ++i) {
      Node& node = nodes_[Name(i)];
      node.disk.synced.snapshot =
          QuorumSnapshot{LogIndex(1), QuorumTerm(), config, ""};
      Start(Name(i));
    }
  }

  static MemberId Name(size_t i) { return MemberId("m#" + std::to_string(i)); }

  size_t committed() const { return committed_.size(); }
  size_t confirmed() const { return confirmed_rounds_; }
  size_t snapshots() const { return snapshots_; }
  size_t torn() const { return torn_; }
  size_t config_changes() const { return config_changes_; }
  size_t refused() const { return refused_; }

  /// Lets disks refuse writes for a while.
  void FillDisks() { disks_fill_ = true; }

  /// With `chaos`, injects message loss, duplicates, delays, crashes and
  /// membership changes.
  void Run(size_t steps, bool chaos) {
    for (size_t i = 0; i < steps; ++i) {
      Step(chaos);
      Check();
    }
  }

  /// Stops the faults. Returns whether a leader is elected and its members
  /// catch up.
  bool Heal() {
    for (auto& [id, node] : nodes_) {
      node.paused_until = Time();
      if (!node.state) Start(id);
      EmptyDisk(node);
    }
    for (size_t i = 0; i < 3000; ++i) {
      Step(false);
      Check();
      if (Converged()) return true;
    }
    return false;
  }

 private:
  bool OneIn(size_t n) { return random_() % n == 0; }

  bool Runs(const Node& node) const {
    return node.state && now_ >= node.paused_until;
  }

  /// Stalls members as under SIGSTOP, the leader more often than others.
  void PauseMembers() {
    Time until = now_ + kStep * static_cast<int64_t>(random_() % 40);
    for (auto& [id, node] : nodes_) {
      bool leads = node.state && node.state->role == QuorumRole::kLeader;
      if (leads ? OneIn(2) : OneIn(8)) node.paused_until = until;
    }
  }

  MemberId RandomMember() {
    auto it = nodes_.begin();
    std::advance(it, random_() % nodes_.size());
    return it->first;
  }

  void Start(const MemberId& id) {
    Node& node = nodes_[id];
    node.applied.clear();
    node.snapshot_unsaved = false;
    node.state =
        MakeQuorum(id, node.disk.synced, QuorumTiming(), random_(), now_);
  }

  void Step(bool chaos) {
    now_ = now_ + kStep;
    if (chaos && OneIn(10)) PauseMembers();
    for (auto& [id, node] : nodes_) {
      // A late tick lets messages be handled before it.
      bool late = chaos && OneIn(4);
      if (Runs(node) && !late) OnTick(*node.state, now_);
    }
    size_t deliveries = chaos ? random_() % 24 : 24;
    for (size_t i = 0; i < deliveries; ++i) Deliver(chaos);
    if (OneIn(3)) ProposeOnLeaders();
    if (chaos && OneIn(2)) CrashOrRestart();
    if (chaos && OneIn(80)) ChangeMembers();
    if (chaos && OneIn(20)) partition_ = random_();
    if (chaos && OneIn(12)) partition_ = 0;
    if (!chaos) partition_ = 0;
    if (OneIn(5)) StartRoundOnLeaders();
    bool fill = chaos && disks_fill_;
    if (fill && OneIn(20)) EmptyDisk(nodes_[RandomMember()]);
    bool tear = chaos && OneIn(15);
    MemberId victim = RandomMember();
    for (auto& [id, node] : nodes_) {
      if (Runs(node)) Flush(id, node, tear && id == victim, fill && OneIn(30));
    }
    if (OneIn(50)) CompactRandomMember();
  }

  bool Partitioned(const MemberId& a, const MemberId& b) const {
    if (partition_ == 0) return false;
    std::hash<MemberId> hash;
    return ((partition_ >> (hash(a) % 60)) & 1) !=
           ((partition_ >> (hash(b) % 60)) & 1);
  }

  void Deliver(bool chaos) {
    if (network_.empty()) return;
    size_t pick = chaos ? random_() % network_.size() : 0;
    QuorumMessage message = network_[pick];
    bool duplicate = chaos && OneIn(20);
    if (!duplicate) {
      network_.erase(network_.begin() + static_cast<ptrdiff_t>(pick));
    }
    bool drop = (chaos && OneIn(12)) || Partitioned(message.from, message.to);
    if (drop) return;
    auto it = nodes_.find(message.to);
    if (it == nodes_.end() || !it->second.state) return;
    if (!Runs(it->second)) {
      // Stays in the socket of the paused member.
      network_.push_back(std::move(message));
      return;
    }
    OnMessage(*it->second.state, message, now_);
  }

  void ProposeOnLeaders() {
    for (auto& [id, node] : nodes_) {
      if (!Runs(node)) continue;
      Propose(*node.state, "c" + std::to_string(++commands_));
    }
  }

  void CrashOrRestart() {
    bool crash = OneIn(6);
    MemberId id = RandomMember();
    if (crash) nodes_[id].state.reset();
    if (!crash && !nodes_[id].state) Start(id);
  }

  /// Adds learners, promotes those that caught up, or removes a member.
  void ChangeMembers() {
    for (auto& [id, node] : nodes_) {
      if (!Runs(node) || node.state->role != QuorumRole::kLeader) continue;
      QuorumConfig config = node.state->config;
      if (OneIn(4)) return ProposeTwoChanges(*node.state, config);
      for (auto& [other, member] : config.members) {
        if (member.voter || !CaughtUp(*node.state, other, now_)) continue;
        member.voter = true;
        if (ProposeConfig(*node.state, config)) ++config_changes_;
        return;
      }
      if (config.members.size() < 5) {
        MemberId fresh = Name(100 + ++added_members_);
        config.members[fresh] =
            QuorumMember{VmId(fresh.value()), Address{}, false};
        if (!ProposeConfig(*node.state, config)) return;
        Start(fresh);
        ++config_changes_;
        return;
      }
      auto victim = config.members.begin();
      std::advance(victim, random_() % config.members.size());
      config.members.erase(victim);
      if (ProposeConfig(*node.state, config)) ++config_changes_;
      return;
    }
  }

  /// Must be refused: the old and the new quorum might not overlap.
  void ProposeTwoChanges(QuorumState& state, QuorumConfig config) {
    auto first = config.members.begin();
    std::advance(first, random_() % config.members.size());
    config.members.erase(first);
    MemberId fresh = Name(100 + ++added_members_);
    config.members[fresh] = QuorumMember{VmId(fresh.value()), Address{}, true};
    if (ProposeConfig(state, config)) Start(fresh);
  }

  void CompactRandomMember() {
    Node& node = nodes_[RandomMember()];
    if (!node.state) return;
    LogIndex index = node.state->applied;
    if (index <= node.state->snapshot.last_index) return;
    Compact(*node.state, index, std::to_string(index.value()));
    if (node.state->snapshot.last_index != index) return;
    if (node.state->disk_refuses) {
      node.snapshot_unsaved = true;
      return;
    }
    node.disk.synced.snapshot = node.state->snapshot;
    node.disk.synced.entries = node.state->log;
    ++snapshots_;
  }

  void StartRoundOnLeaders() {
    for (auto& [id, node] : nodes_) {
      if (!Runs(node)) continue;
      std::optional<Round> round = StartRound(*node.state);
      if (!round) continue;
      LogIndex newest =
          committed_.empty() ? LogIndex() : committed_.rbegin()->first;
      rounds_[RoundKey{id, node.state->vote.term, *round}] =
          RoundStart{highest_term_, newest};
    }
  }

  void Flush(const MemberId& id, Node& node, bool tear, bool full) {
    while (node.state) {
      QuorumOutput output = TakeOutput(*node.state, now_);
      if (output.Empty()) return;
      bool writes =
          output.save_vote || output.install || !output.append.empty();
      if (tear && writes) {
        Tear(node, output);
        return;
      }
      if (full && writes && !node.state->disk_refuses) {
        RefuseWrite(node, output);
        output.messages.clear();
        output.confirmed = Round();
      }
      if (node.state->disk_refuses) {
        node.snapshot_unsaved |= output.install.has_value();
      } else {
        node.disk.Write(*node.state, output, output.append.size());
        LogIndex last = LastIndex(*node.state);
        OnPersisted(*node.state, last, *TermAt(*node.state, last), now_);
      }
      for (QuorumMessage& message : output.messages) {
        network_.push_back(std::move(message));
      }
      for (const LogEntry& entry : output.apply) CheckApplied(entry);
      CheckRound(id, *node.state, output);
    }
  }

  /// Fails a write of which the vote may be on disk.
  void RefuseWrite(Node& node, const QuorumOutput& output) {
    ++refused_;
    bool vote_written = output.save_vote && OneIn(2);
    if (vote_written) node.disk.synced.vote = node.state->vote;
    OnDiskRefused(*node.state, output, now_);
  }

  /// Lets the disk take what it has refused.
  void EmptyDisk(Node& node) {
    if (!node.state || !node.state->disk_refuses) return;
    node.disk.synced.vote = node.state->vote;
    if (node.snapshot_unsaved) {
      node.disk.synced.snapshot = node.state->snapshot;
      node.disk.synced.entries = node.state->log;
    }
    for (const LogEntry& entry : node.state->log) {
      if (entry.index > node.state->persisted) node.disk.Take(entry);
    }
    node.snapshot_unsaved = false;
    OnDiskRecovered(*node.state, now_);
  }

  /// Crashes during a write: nothing is sent and only a part is on disk.
  void Tear(Node& node, const QuorumOutput& output) {
    ++torn_;
    bool vote_written = OneIn(2);
    if (vote_written && !output.install) {
      size_t part =
          output.append.empty() ? 0 : random_() % output.append.size();
      node.disk.Write(*node.state, output, part);
    } else if (vote_written && output.save_vote) {
      node.disk.synced.vote = node.state->vote;
    }
    node.state.reset();
  }

  /// Checks that committed entries are equal on all members and never change.
  void CheckApplied(const LogEntry& entry) {
    auto [it, inserted] = committed_.try_emplace(entry.index, entry);
    BOOST_REQUIRE_MESSAGE(it->second == entry,
                          "two entries committed at " << entry.index);
  }

  /// Checks that no later leader had been elected when a confirmed round was
  /// started.
  void CheckRound(const MemberId& id, const QuorumState& state,
                  const QuorumOutput& output) {
    if (output.confirmed == Round()) return;
    QuorumTerm term = state.vote.term;
    auto it = rounds_.lower_bound(RoundKey{id, term, Round()});
    while (it != rounds_.end() && it->first.id == id &&
           it->first.term == term && it->first.round <= output.confirmed) {
      BOOST_REQUIRE_MESSAGE(it->second.highest_term <= term,
                            "a replaced leader confirmed a round");
      BOOST_REQUIRE_MESSAGE(it->second.newest <= state.commit,
                            "a read would miss what was committed before it");
      ++confirmed_rounds_;
      it = rounds_.erase(it);
    }
  }

  void Check() {
    for (auto& [id, node] : nodes_) {
      if (!node.state) continue;
      CheckLeader(id, *node.state);
      CheckLog(*node.state);
    }
  }

  void CheckLeader(const MemberId& id, const QuorumState& state) {
    if (state.role != QuorumRole::kLeader) return;
    auto [it, inserted] = leaders_.try_emplace(state.vote.term, id);
    BOOST_REQUIRE_MESSAGE(it->second == id,
                          "two leaders in term " << state.vote.term);
    highest_term_ = std::max(highest_term_, state.vote.term);
    if (!inserted) return;
    // A new leader must hold all committed entries.
    for (const auto& [index, entry] : committed_) {
      if (index <= state.snapshot.last_index) continue;
      BOOST_REQUIRE_MESSAGE(TermAt(state, index) == entry.term,
                            "committed entry " << index << " lost");
    }
  }

  void CheckLog(const QuorumState& state) {
    BOOST_REQUIRE(state.commit <= LastIndex(state));
    for (const LogEntry& entry : state.log) {
      if (entry.index > state.commit) break;
      auto it = committed_.find(entry.index);
      if (it == committed_.end()) continue;
      BOOST_REQUIRE_MESSAGE(it->second == entry,
                            "log differs from what was committed");
    }
  }

  bool Converged() const {
    const QuorumState* leader = nullptr;
    for (const auto& [id, node] : nodes_) {
      if (node.state && node.state->role == QuorumRole::kLeader &&
          (leader == nullptr || node.state->vote.term > leader->vote.term)) {
        leader = &*node.state;
      }
    }
    if (leader == nullptr || leader->vote.term < highest_term_) return false;
    if (TermAt(*leader, leader->commit) != leader->vote.term) return false;
    for (const auto& [id, member] : leader->config.members) {
      const Node& node = nodes_.at(id);
      bool close = node.state &&
                   node.state->commit.value() + 20 >= leader->commit.value();
      if (!close) return false;
    }
    return true;
  }

  std::mt19937_64 random_;
  Time now_{1000};
  std::map<MemberId, Node> nodes_;
  std::vector<QuorumMessage> network_;
  std::map<LogIndex, LogEntry> committed_;
  std::map<QuorumTerm, MemberId> leaders_;
  std::map<RoundKey, RoundStart> rounds_;
  QuorumTerm highest_term_;
  uint64_t partition_ = 0;
  uint64_t commands_ = 0;
  size_t added_members_ = 0;
  size_t confirmed_rounds_ = 0;
  size_t snapshots_ = 0;
  size_t torn_ = 0;
  size_t config_changes_ = 0;
  size_t refused_ = 0;
  bool disks_fill_ = false;
};

}  // namespace cardamomchute::quorum_model

#endif  // CARDAMOMCHUTE_POLICY_TEST_QUORUM_QUORUM_MODEL_H_

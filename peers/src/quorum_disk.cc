/// Writes of a quorum member to its data folder, and what it does while the
/// disk refuses them.
#include "cardamomchute/base/log.h"
#include "cardamomchute/peers/quorum_host.h"

namespace cardamomchute {

Status QuorumHost::Persist(const QuorumOutput& output) {
  if (output.save_vote) {
    BOOST_OUTCOME_TRY(store_->SaveVote(quorum_.vote));
  }
  if (output.install) {
    // After an install `append` holds all entries that remain in the log.
    BOOST_OUTCOME_TRY(store_->SaveSnapshot(*output.install, output.append));
    snapshot_unsaved_ = false;
  } else {
    BOOST_OUTCOME_TRY(store_->Append(output.append));
  }
  LogIndex last = LastIndex(quorum_);
  OnPersisted(quorum_, last, *TermAt(quorum_, last), Now());
  return Ok();
}

void QuorumHost::OnDiskError(const QuorumOutput& output, const Error& error) {
  Time now = Now();
  OnDiskRefused(quorum_, output, now);
  NoteUnsaved(output);
  disk_refused_at_ = now;
  next_disk_retry_ = now + kDiskRetryInterval;
  LogLine(LogLevel::kError, "disk_refuses")
      .Field("member", quorum_.self)
      .Field("term", quorum_.vote.term)
      .Field("persisted", quorum_.persisted)
      .Field("last_index", LastIndex(quorum_))
      .Field("vote", output.save_vote)
      .Field("snapshot", output.install.has_value())
      .Field("entries", output.append.size())
      .Field("error", ToString(error));
  UpdateLeadership();
}

void QuorumHost::NoteUnsaved(const QuorumOutput& output) {
  vote_unsaved_ |= output.save_vote;
  snapshot_unsaved_ |= output.install.has_value();
}

void QuorumHost::RetryDisk(Time now) {
  bool due = quorum_.disk_refuses || snapshot_unsaved_;
  if (!due || now < next_disk_retry_) return;
  next_disk_retry_ = now + kDiskRetryInterval;
  if (!quorum_.disk_refuses) {
    // The failure was logged when the snapshot was due.
    Status ignored = SaveCompacted();
    static_cast<void>(ignored);
    return;
  }
  Status saved = SaveUnsaved();
  if (!saved) return;
  OnDiskRecovered(quorum_, now);
  LogLine(LogLevel::kInfo, "disk_recovered")
      .Field("member", quorum_.self)
      .Field("refused_ms", (now - disk_refused_at_).ms())
      .Field("term", quorum_.vote.term)
      .Field("last_index", LastIndex(quorum_));
}

/// Saves what the disk has refused so far.
Status QuorumHost::SaveUnsaved() {
  if (vote_unsaved_) {
    BOOST_OUTCOME_TRY(store_->SaveVote(quorum_.vote));
    vote_unsaved_ = false;
  }
  if (snapshot_unsaved_) return SaveCompacted();
  std::vector<LogEntry> unsaved;
  for (const LogEntry& entry : quorum_.log) {
    if (entry.index > quorum_.persisted) unsaved.push_back(entry);
  }
  return store_->Append(unsaved);
}

Status QuorumHost::SaveCompacted() {
  BOOST_OUTCOME_TRY(store_->SaveSnapshot(quorum_.snapshot, quorum_.log));
  snapshot_unsaved_ = false;
  LogLine(LogLevel::kInfo, "snapshot_saved")
      .Field("index", quorum_.snapshot.last_index)
      .Field("bytes", quorum_.snapshot.state.size());
  return Ok();
}

}  // namespace cardamomchute

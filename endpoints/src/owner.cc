#include "cardamomchute/endpoints/owner.h"

#include <boost/asio/post.hpp>
#include <map>

#include "cardamomchute/base/log.h"
#include "group.h"

namespace cardamomchute {

class Owner::Impl : public std::enable_shared_from_this<Owner::Impl> {
 public:
  explicit Impl(OwnerParams params) : params_(std::move(params)) {}

  void OnView(const ViewPtr& view) {
    if (!view || stopped_) return;
    DropLost(*view);
    for (const auto& [id, record] : view->groups) {
      if (record.owner != params_.vm) continue;
      TakeUp(id, record.epoch)->OnView(view);
    }
  }

  ToOwnerSink Open(const OpenChannel& open, FromOwnerSink sink) {
    auto found = groups_.find(open.group);
    if (found != groups_.end() && !draining_) {
      return found->second->Open(open, std::move(sink));
    }
    boost::asio::post(*params_.thread, [sink = std::move(sink)] {
      sink(ChannelReset{true, "this VM does not own the group"});
    });
    return [](const ToOwner&) {};
  }

  void Drain(std::function<void()> done) {
    draining_ = true;
    std::shared_ptr<size_t> left = std::make_shared<size_t>(groups_.size());
    if (*left == 0) {
      boost::asio::post(*params_.thread, std::move(done));
      return;
    }
    std::map<GroupId, std::shared_ptr<Group>> groups = groups_;
    for (auto& [id, group] : groups) {
      group->Drain([left, done] {
        if (--*left == 0) done();
      });
    }
  }

  void Stop() {
    stopped_ = true;
    for (auto& [id, group] : groups_) group->Stop("the owner stops");
    groups_.clear();
  }

 private:
  void DropLost(const ClusterView& view) {
    for (auto group = groups_.begin(); group != groups_.end();) {
      auto record = view.groups.find(group->first);
      bool ours = record != view.groups.end() &&
                  record->second.owner == params_.vm &&
                  record->second.epoch == group->second->epoch();
      if (ours) {
        ++group;
        continue;
      }
      LogLine(LogLevel::kInfo, "group_lost").Field("group", group->first);
      group->second->Stop("the group has another owner");
      group = groups_.erase(group);
    }
  }

  std::shared_ptr<Group> TakeUp(const GroupId& id, Epoch epoch) {
    std::shared_ptr<Group>& group = groups_[id];
    if (group) return group;
    LogLine(LogLevel::kInfo, "group_owned")
        .Field("group", id)
        .Field("epoch", epoch);
    group = std::make_shared<Group>(params_, id, epoch);
    group->Start();
    return group;
  }

  OwnerParams params_;
  std::map<GroupId, std::shared_ptr<Group>> groups_;
  bool draining_ = false;
  bool stopped_ = false;
};

Owner::Owner(OwnerParams params)
    : impl_(std::make_shared<Impl>(std::move(params))) {}

Owner::~Owner() { impl_->Stop(); }

void Owner::OnView(ViewPtr view) { impl_->OnView(view); }

ToOwnerSink Owner::Open(const OpenChannel& open, FromOwnerSink sink) {
  return impl_->Open(open, std::move(sink));
}

void Owner::Drain(std::function<void()> done) { impl_->Drain(std::move(done)); }

}  // namespace cardamomchute

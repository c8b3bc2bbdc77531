#include "cardamomchute/peers/control_client.h"

namespace cardamomchute {

void LeaseClock::ExtendTo(Time end) {
  int64_t old_end = end_ms_.load();
  while (end.ms() > old_end &&
         !end_ms_.compare_exchange_weak(old_end, end.ms())) {
  }
}

void LeaseClock::Relinquish() { end_ms_.store(0); }

bool LeaseClock::ValidAt(Time now) const { return now.ms() < end_ms_.load(); }

Time LeaseClock::end() const { return Time(end_ms_.load()); }

ViewPtr ViewStore::Get() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return view_;
}

void ViewStore::Set(ViewPtr view) {
  std::vector<Listener> listeners;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    bool older = view_ && view_->document && view->document &&
                 view->document->version < view_->document->version;
    if (older) return;
    view_ = view;
    listeners = listeners_;
  }
  for (const Listener& listener : listeners) listener(view);
}

void ViewStore::Listen(Listener listener) {
  ViewPtr view;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    listeners_.push_back(listener);
    view = view_;
  }
  if (view) listener(view);
}

}  // namespace cardamomchute

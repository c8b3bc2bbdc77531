#include "statement_counts.h"

#include <algorithm>
#include <string>
#include <string_view>

namespace cardamomchute {
namespace {

constexpr std::array<std::string_view, 5> kEndingNames = {
    "answered", "not_run", "unknown", "refused", "local"};

}  // namespace

void StatementCounts::Count(Rank rank, EntryEnding ending) {
  if (metrics_ == nullptr) return;
  size_t row = std::min<size_t>(rank.value(), kRanks - 1);
  size_t column = static_cast<size_t>(ending);
  std::atomic<Counter*>& slot = counters_[row * kEndings + column];
  Counter* counter = slot.load(std::memory_order_acquire);
  if (counter == nullptr) {
    std::string labels = "rank=\"" + std::to_string(row + 1) + "\",ending=\"" +
                         std::string(kEndingNames[column]) + "\"";
    counter = &metrics_->GetCounter("statements_total", labels);
    slot.store(counter, std::memory_order_release);
  }
  counter->Add();
}

}  // namespace cardamomchute

#include "cardamomchute/operators/diff.h"

#include <algorithm>

#include "cardamomchute/operators/document.h"

namespace cardamomchute {
namespace {

/// Beyond this many pairs of lines the changed middle counts as replaced.
constexpr size_t kMaxComparedPairs = 4'000'000;

struct Field {
  std::string name;
  std::string value;
};

/// One entry of a document in a shape that can be compared.
struct Item {
  std::string name;
  std::vector<Field> fields;
};

std::string Join(const std::vector<std::string>& texts) {
  std::string out;
  for (const std::string& text : texts) out += (out.empty() ? "" : ",") + text;
  return "[" + out + "]";
}

std::string ShareText(double share) {
  std::string text = std::to_string(share);
  text.erase(text.find_last_not_of('0') + 1);
  if (text.back() == '.') text += '0';
  return text;
}

Item TopItem(const Document& document) {
  return {"document", {{"title", document.title}}};
}

Item LimitItem(const LimitSpec& limits) {
  return {"limits",
          {{"callers_per_vm", std::to_string(limits.callers_per_vm)},
           {"idle_in_transaction_ms",
            std::to_string(limits.idle_in_transaction.ms())},
           {"statement_timeout_ms",
            std::to_string(limits.statement_timeout.ms())}}};
}

Item RankItem(const RankSpec& rank, size_t place) {
  return {"rank " + rank.name.value(),
          {{"place", std::to_string(place + 1)},
           {"target_ms", std::to_string(rank.target.ms())},
           {"worth", std::to_string(rank.worth)},
           {"guaranteed_share", ShareText(rank.guaranteed_share)},
           {"queue_limit", std::to_string(rank.queue_limit)}}};
}

Item GroupItem(const GroupSpec& group) {
  bool replicated = group.ack == AckMode::kReplicated;
  return {"group " + group.id.value(),
          {{"database", group.database},
           {"user", group.user},
           {"connections", std::to_string(group.connections)},
           {"slots", std::to_string(group.slots)},
           {"ack", replicated ? "replicated" : "primary"}}};
}

Item AccessItem(const AccessSpec& access, size_t place) {
  std::vector<std::string> groups;
  for (const GroupId& group : access.groups) groups.push_back(group.value());
  return {"access users=" + Join(access.users) + " applications=" +
              Join(access.applications) + " groups=" + Join(groups),
          {{"place", std::to_string(place + 1)},
           {"rank", access.rank.value()},
           {"max_staleness_ms", std::to_string(access.max_staleness.ms())},
           {"writes", access.writes ? "true" : "false"}}};
}

std::vector<Item> Items(const Document& document) {
  std::vector<Item> items = {TopItem(document), LimitItem(document.limits)};
  for (size_t i = 0; i < document.ranks.size(); ++i)
    items.push_back(RankItem(document.ranks[i], i));
  for (const GroupSpec& group : document.groups)
    items.push_back(GroupItem(group));
  for (size_t i = 0; i < document.access.size(); ++i)
    items.push_back(AccessItem(document.access[i], i));
  return items;
}

const Item* FindItem(const std::vector<Item>& items, const std::string& name) {
  auto it = std::find_if(items.begin(), items.end(),
                         [&](const Item& item) { return item.name == name; });
  return it == items.end() ? nullptr : &*it;
}

std::string Summary(const Item& item) {
  std::string text;
  for (const Field& field : item.fields)
    text += " " + field.name + "=" + field.value;
  return text;
}

void DescribeItem(const Item& from, const Item& to,
                  std::vector<std::string>* changes) {
  for (size_t i = 0; i < to.fields.size(); ++i) {
    if (from.fields[i].value == to.fields[i].value) continue;
    changes->push_back(to.name + ": " + to.fields[i].name + " " +
                       from.fields[i].value + " -> " + to.fields[i].value);
  }
}

std::vector<std::string> SplitLines(std::string_view text) {
  std::vector<std::string> lines;
  while (!text.empty()) {
    size_t end = text.find('\n');
    lines.emplace_back(text.substr(0, end));
    if (end == std::string_view::npos) break;
    text.remove_prefix(end + 1);
  }
  return lines;
}

/// Lengths of the longest common subsequences of all pairs of tails.
class CommonTails {
 public:
  CommonTails(const std::vector<std::string>& a,
              const std::vector<std::string>& b)
      : width_(b.size() + 1), lengths_((a.size() + 1) * width_, 0) {
    for (size_t i = a.size(); i-- > 0;) {
      for (size_t j = b.size(); j-- > 0;) {
        uint32_t skip = std::max(At(i + 1, j), At(i, j + 1));
        lengths_[i * width_ + j] = a[i] == b[j] ? At(i + 1, j + 1) + 1 : skip;
      }
    }
  }
  uint32_t At(size_t i, size_t j) const { return lengths_[i * width_ + j]; }

 private:
  size_t width_;
  std::vector<uint32_t> lengths_;
};

void RemoveCommonEnds(std::vector<std::string>* a,
                      std::vector<std::string>* b) {
  size_t prefix = 0;
  size_t shorter = std::min(a->size(), b->size());
  while (prefix < shorter && (*a)[prefix] == (*b)[prefix]) ++prefix;
  a->erase(a->begin(), a->begin() + static_cast<ptrdiff_t>(prefix));
  b->erase(b->begin(), b->begin() + static_cast<ptrdiff_t>(prefix));
  while (!a->empty() && !b->empty() && a->back() == b->back()) {
    a->pop_back();
    b->pop_back();
  }
}

std::vector<std::string> DiffLines(std::string_view from, std::string_view to) {
  std::vector<std::string> a = SplitLines(from);
  std::vector<std::string> b = SplitLines(to);
  RemoveCommonEnds(&a, &b);
  std::vector<std::string> lines;
  bool comparable = a.size() * b.size() <= kMaxComparedPairs;
  size_t i = 0;
  size_t j = 0;
  if (comparable) {
    CommonTails tails(a, b);
    while (i < a.size() && j < b.size()) {
      if (a[i] == b[j]) {
        ++i;
        ++j;
      } else if (tails.At(i + 1, j) >= tails.At(i, j + 1)) {
        lines.push_back("-" + a[i++]);
      } else {
        lines.push_back("+" + b[j++]);
      }
    }
  }
  while (i < a.size()) lines.push_back("-" + a[i++]);
  while (j < b.size()) lines.push_back("+" + b[j++]);
  return lines;
}

}  // namespace

std::vector<std::string> DescribeChanges(const Document& from,
                                         const Document& to) {
  std::vector<Item> before = Items(from);
  std::vector<Item> after = Items(to);
  std::vector<std::string> changes;
  for (const Item& item : before) {
    if (FindItem(after, item.name) == nullptr)
      changes.push_back("removed " + item.name);
  }
  for (const Item& item : after) {
    const Item* old = FindItem(before, item.name);
    if (old == nullptr)
      changes.push_back("added " + item.name + ":" + Summary(item));
    else
      DescribeItem(*old, item, &changes);
  }
  return changes;
}

DocumentDiff DiffDocuments(std::string_view from, std::string_view to) {
  DocumentDiff diff;
  DocumentOutcome before = ParseDocument(from);
  DocumentOutcome after = ParseDocument(to);
  if (before.document && after.document)
    diff.changes = DescribeChanges(*before.document, *after.document);
  diff.lines = DiffLines(from, to);
  return diff;
}

}  // namespace cardamomchute

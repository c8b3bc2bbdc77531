#include "document_checks.h"

#include <algorithm>
#include <set>

#include "cardamomchute/policy/admission/access.h"

namespace cardamomchute {
namespace {

constexpr double kShareTolerance = 1e-9;

/// Names end up in log lines, metrics and URLs.
bool IsPlainName(const std::string& name) {
  return std::all_of(name.begin(), name.end(), [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
  });
}

void CheckName(TableReader* reader, std::string_view key,
               const std::string& name, std::set<std::string>* seen) {
  if (name.empty()) return;
  if (!IsPlainName(name)) {
    reader->AddFault(key, "\"" + name + "\" is no plain name",
                     "use letters, digits, '-', '_' and '.' only");
  }
  if (seen->insert(name).second) return;
  reader->AddFault(key, "\"" + name + "\" stands twice", "give each its own");
}

bool CoversAll(const std::vector<std::string>& wide,
               const std::vector<std::string>& narrow) {
  auto has = [&](const std::string& name) {
    return std::find(wide.begin(), wide.end(), name) != wide.end();
  };
  return has("*") || std::all_of(narrow.begin(), narrow.end(), has);
}

std::vector<std::string> Names(const std::vector<GroupId>& groups) {
  std::vector<std::string> names;
  for (const GroupId& group : groups) names.push_back(group.value());
  return names;
}

bool Shadows(const AccessSpec& first, const AccessSpec& later) {
  return CoversAll(first.users, later.users) &&
         CoversAll(first.applications, later.applications) &&
         CoversAll(Names(first.groups), Names(later.groups));
}

void CheckShadowed(const Document& document, size_t index,
                   TableReader* reader) {
  const AccessSpec& entry = document.access[index];
  bool incomplete = entry.users.empty() || entry.groups.empty();
  if (incomplete) return;
  for (size_t i = 0; i < index; ++i) {
    if (!Shadows(document.access[i], entry)) continue;
    reader->AddFault("users",
                     "never matches, since access[" + std::to_string(i) +
                         "] takes all of it",
                     "move the narrower entry up, or remove it");
    return;
  }
}

void CheckReferences(const Document& document, const AccessSpec& entry,
                     TableReader* reader) {
  bool known = entry.rank.empty() || FindRank(document, entry.rank);
  if (!known) {
    reader->AddFault("rank", "no rank is named \"" + entry.rank.value() + "\"",
                     "name one of the [[rank]] entries");
  }
  for (const GroupId& group : entry.groups) {
    bool exists = group.value() == "*" || FindGroup(document, group) != nullptr;
    if (exists) continue;
    reader->AddFault("groups", "no group has the id \"" + group.value() + "\"",
                     "name the id of a [[group]] entry, or \"*\"");
  }
}

}  // namespace

void CheckRanks(const Document& document, DocumentSource* source) {
  if (document.ranks.empty()) {
    source->top->AddFault("rank", "no rank is given",
                          "write [[rank]] entries from most to least urgent");
  }
  std::set<std::string> names;
  double shares = 0.0;
  for (size_t i = 0; i < document.ranks.size(); ++i) {
    CheckName(&source->ranks[i], "name", document.ranks[i].name.value(),
              &names);
    shares += document.ranks[i].guaranteed_share;
  }
  if (shares <= 1.0 + kShareTolerance) return;
  source->ranks.back().AddFault("guaranteed_share",
                                "the ranks' shares add up to more than 1",
                                "lower them until they add up to at most 1");
}

void CheckGroups(const Document& document, DocumentSource* source) {
  if (document.groups.empty()) {
    source->top->AddFault("group", "no group is given",
                          "write a [[group]] entry for each database group");
  }
  std::set<std::string> ids;
  std::set<std::string> databases;
  for (size_t i = 0; i < document.groups.size(); ++i) {
    const GroupSpec& group = document.groups[i];
    TableReader* reader = &source->groups[i];
    CheckName(reader, "id", group.id.value(), &ids);
    bool repeated =
        !group.database.empty() && !databases.insert(group.database).second;
    if (repeated) {
      reader->AddFault("database", "\"" + group.database + "\" stands twice",
                       "give each group a database of its own");
    }
    if (group.connections <= group.slots) {
      reader->AddFault("connections",
                       "does not leave a connection beside one member's slots",
                       "give at least slots + 1; slots times members + 1 to "
                       "use every member's slots");
    }
  }
}

void CheckAccess(const Document& document, DocumentSource* source) {
  if (document.access.empty()) {
    source->top->AddFault("access", "nobody is let in",
                          "write an [[access]] entry for each kind of caller");
  }
  for (size_t i = 0; i < document.access.size(); ++i) {
    CheckReferences(document, document.access[i], &source->access[i]);
    CheckShadowed(document, i, &source->access[i]);
  }
}

}  // namespace cardamomchute

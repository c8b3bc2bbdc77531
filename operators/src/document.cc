#include "cardamomchute/operators/document.h"

#include <openssl/evp.h>

#include <algorithm>

#include "document_checks.h"

namespace cardamomchute {
namespace {

constexpr IntegerRange kCallersRange = {1, 1'000'000};
constexpr IntegerRange kTimeoutRangeMs = {1, 86'400'000};
constexpr IntegerRange kWorthRange = {1, 1'000'000};
constexpr IntegerRange kQueueRange = {1, 1'000'000};
constexpr IntegerRange kConnectionRange = {1, 100'000};
constexpr IntegerRange kSlotRange = {1, 10'000};
constexpr IntegerRange kStalenessRangeMs = {-1, 86'400'000};

uint32_t Count(TableReader* reader, std::string_view key, IntegerRange range,
               std::optional<int64_t> fallback) {
  return static_cast<uint32_t>(reader->Integer(key, range, fallback));
}

LimitSpec ReadLimits(TableReader* top) {
  LimitSpec limits;
  std::optional<TableReader> reader = top->Table("limits");
  if (!reader) return limits;
  limits.callers_per_vm =
      Count(&*reader, "callers_per_vm", kCallersRange, limits.callers_per_vm);
  limits.idle_in_transaction =
      Millis(reader->Integer("idle_in_transaction_ms", kTimeoutRangeMs,
                             limits.idle_in_transaction.ms()));
  limits.statement_timeout = Millis(reader->Integer(
      "statement_timeout_ms", kTimeoutRangeMs, limits.statement_timeout.ms()));
  reader->Finish();
  return limits;
}

RankSpec ReadRank(TableReader* reader) {
  RankSpec rank;
  rank.name = RankName(reader->Text("name", "name this kind of work"));
  rank.target =
      Millis(reader->Integer("target_ms", kTimeoutRangeMs, std::nullopt));
  rank.worth = Count(reader, "worth", kWorthRange, std::nullopt);
  rank.guaranteed_share = reader->Share("guaranteed_share", 0.0);
  rank.queue_limit =
      Count(reader, "queue_limit", kQueueRange, rank.queue_limit);
  reader->Finish();
  return rank;
}

AckMode ReadAck(TableReader* reader) {
  std::string ack = reader->TextOr("ack", "replicated");
  if (ack == "primary") return AckMode::kPrimary;
  if (ack != "replicated") {
    reader->AddFault("ack", "\"" + ack + "\" is no way to acknowledge",
                     "write \"replicated\" or \"primary\"");
  }
  return AckMode::kReplicated;
}

GroupSpec ReadGroup(TableReader* reader) {
  GroupSpec group;
  group.id = GroupId(reader->Text("id", "name this group"));
  group.database = reader->Text("database", "name the group's database");
  group.user =
      reader->Text("user", "name the user that connects to the endpoints");
  group.connections =
      Count(reader, "connections", kConnectionRange, std::nullopt);
  group.slots = Count(reader, "slots", kSlotRange, std::nullopt);
  group.ack = ReadAck(reader);
  reader->Finish();
  return group;
}

AccessSpec ReadAccess(TableReader* reader) {
  AccessSpec access;
  access.users =
      reader->Texts("users", "write the users' names, or [\"*\"] for all");
  access.applications = reader->TextsOr("applications", {"*"});
  std::vector<std::string> groups =
      reader->Texts("groups", "write the groups' ids, or [\"*\"] for all");
  for (std::string& group : groups)
    access.groups.emplace_back(std::move(group));
  access.rank = RankName(reader->Text("rank", "name one of the ranks"));
  access.max_staleness =
      Millis(reader->Integer("max_staleness_ms", kStalenessRangeMs, 0));
  access.writes = reader->BoolOr("writes", true);
  reader->Finish();
  return access;
}

Document ReadAll(TableReader* top) {
  DocumentSource source;
  source.top = top;
  Document document;
  document.title = top->Text("title", "say what this environment serves");
  document.limits = ReadLimits(top);
  source.ranks = top->Tables("rank");
  source.groups = top->Tables("group");
  source.access = top->Tables("access");
  for (TableReader& reader : source.ranks)
    document.ranks.push_back(ReadRank(&reader));
  for (TableReader& reader : source.groups)
    document.groups.push_back(ReadGroup(&reader));
  for (TableReader& reader : source.access)
    document.access.push_back(ReadAccess(&reader));
  top->Finish();
  CheckRanks(document, &source);
  CheckGroups(document, &source);
  CheckAccess(document, &source);
  return document;
}

}  // namespace

DocumentOutcome ParseDocument(std::string_view text) {
  DocumentOutcome outcome;
  if (text.size() > kMaxDocumentBytes) {
    outcome.faults.push_back(Fault{
        "", 0, "is larger than " + std::to_string(kMaxDocumentBytes) + " bytes",
        "shorten it"});
    return outcome;
  }
  std::optional<toml::table> table = ParseToml(text, &outcome.faults);
  if (!table) return outcome;
  TableReader top(*table, "", &outcome.faults);
  Document document = ReadAll(&top);
  std::stable_sort(
      outcome.faults.begin(), outcome.faults.end(),
      [](const Fault& a, const Fault& b) { return a.line < b.line; });
  if (outcome.faults.empty()) outcome.document = std::move(document);
  return outcome;
}

std::string Sha256Hex(std::string_view text) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned int size = 0;
  EVP_Digest(text.data(), text.size(), digest, &size, EVP_sha256(), nullptr);
  std::string hex;
  for (unsigned int i = 0; i < size; ++i) {
    hex.push_back(kDigits[digest[i] >> 4]);
    hex.push_back(kDigits[digest[i] & 15]);
  }
  return hex;
}

}  // namespace cardamomchute

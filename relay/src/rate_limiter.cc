#include "rate_limiter.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <string>
#include <utility>

#include "cardamomchute/base/log.h"

namespace cardamomchute {
namespace {

using boost::system::error_code;

/// Minimum interval between two log lines on refusals of an organisation.
constexpr Duration kRefusalLogInterval = Seconds(1);
/// An organisation without operations is forgotten after this long.
constexpr Duration kAccountIdle = Seconds(60);
/// Organisations with a counter of their own.
constexpr size_t kCountedOrganisations = 100;

/// Relays differ in which share of a limit they ask first.
uint64_t SeedOf(const VmId& vm, const OrganisationName& organisation) {
  return std::hash<std::string>()(vm.value() + "/" + organisation.value());
}

}  // namespace

std::string_view DetailOf(LimitVerdict verdict) {
  return verdict == LimitVerdict::kOverLimit ? "rate limit"
                                             : "rate limit unknown";
}

RateLimiter::RateLimiter(RateLimiterParams params)
    : params_(std::move(params)),
      asked_(&params_.metrics->GetCounter("relay_token_questions_total")),
      unanswered_(&params_.metrics->GetCounter(
          "relay_token_questions_unanswered_total")) {
  keeper_.self = params_.self;
}

// ---- operations ------------------------------------------------------------

void RateLimiter::Accept(const OrganisationName& organisation, Time hold_until,
                         AcceptDone done) {
  if (stopped_ || !params_.limit_of(organisation))
    return done(LimitVerdict::kAccepted);
  AccountPtr account = AccountOf(organisation);
  account->last_use = Now();
  account->waiting.push_back(Waiting{hold_until, std::move(done)});
  Serve(organisation, account);
}

const RateLimiter::AccountPtr& RateLimiter::AccountOf(
    const OrganisationName& organisation) {
  AccountPtr& account = accounts_[organisation];
  if (!account) {
    account = std::make_shared<Account>(params_.io);
    account->refusals.limited = LimitedCounter(organisation);
  }
  return account;
}

/// Serves those that wait, as far as there are tokens, and asks for more.
void RateLimiter::Serve(const OrganisationName& organisation,
                        const AccountPtr& account) {
  Decided decided;
  std::optional<RateLimit> limit = params_.limit_of(organisation);
  if (limit)
    SetLimit(account->tokens, *limit, SeedOf(params_.self, organisation));
  while (!account->waiting.empty()) {
    Time now = Now();
    if (now >= account->waiting.front().hold_until) {
      RefuseFront(organisation, account.get(), LimitVerdict::kUnknown,
                  &decided);
      continue;
    }
    TokenVerdict verdict =
        limit ? TakeToken(account->tokens, now) : TokenVerdict::kTaken;
    if (verdict == TokenVerdict::kTaken) {
      decided.emplace_back(std::move(account->waiting.front().done),
                           LimitVerdict::kAccepted);
      account->waiting.pop_front();
    } else if (verdict != TokenVerdict::kMustAsk) {
      bool over_limit = verdict == TokenVerdict::kOverLimit;
      RefuseFront(
          organisation, account.get(),
          over_limit ? LimitVerdict::kOverLimit : LimitVerdict::kUnknown,
          &decided);
    } else if (account->tokens.question) {
      break;
    } else {
      // This relay's own answer comes before this returns.
      Ask(organisation, account, *limit, now);
    }
  }
  SetTimer(organisation, account);
  for (auto& [done, verdict] : decided) done(verdict);
}

void RateLimiter::RefuseFront(const OrganisationName& organisation,
                              Account* account, LimitVerdict verdict,
                              Decided* decided) {
  bool over_limit = verdict == LimitVerdict::kOverLimit;
  Refusals& refusals = account->refusals;
  ++(over_limit ? refusals.over_limit : refusals.unknown);
  refusals.limited->Add();
  decided->emplace_back(std::move(account->waiting.front().done), verdict);
  account->waiting.pop_front();
  LogRefusals(organisation, account, Now());
}

// ---- questions to keepers --------------------------------------------------

void RateLimiter::Ask(const OrganisationName& organisation,
                      const AccountPtr& account, const RateLimit& limit,
                      Time now) {
  std::optional<uint32_t> share = ShareToAsk(account->tokens, now);
  if (!share) return;
  TokenWish wish = WishFor(account->tokens, account->waiting.size(),
                           TokenLife(params_.tolerance, limit), now);
  TokenQuestion question;
  question.number = ++next_number_;
  question.organisation = organisation;
  question.share = *share;
  question.waiting = wish.waiting;
  question.ahead = wish.ahead;
  question.map_version = map_.version;
  BeginQuestion(account->tokens, {question.number, *share, now});
  VmId keeper = KeeperOf(map_, LimitPartition(organisation, *share));
  if (keeper.empty()) return LoseAnswer(account->tokens, question.number, now);
  if (keeper == params_.self) {
    TokenAnswer answer = Answer(question);
    TakeAnswer(account->tokens, question.number, answer.grant(),
               TokenLife(params_.tolerance, limit), now);
    return;
  }
  asked_->Add();
  std::weak_ptr<RateLimiter> weak = weak_from_this();
  uint64_t number = question.number;
  bool sent =
      params_.ask(keeper, question,
                  [weak, organisation, account,
                   number](const std::optional<TokenAnswer>& answer) {
                    std::shared_ptr<RateLimiter> self = weak.lock();
                    if (self && !self->stopped_)
                      self->OnAnswer(organisation, account, number, answer);
                  });
  if (!sent) LoseAnswer(account->tokens, number, now);
}

void RateLimiter::OnAnswer(const OrganisationName& organisation,
                           const AccountPtr& account, uint64_t number,
                           const std::optional<TokenAnswer>& answer) {
  Time now = Now();
  std::optional<RateLimit> limit = params_.limit_of(organisation);
  if (answer && limit) {
    TakeAnswer(account->tokens, number, answer->grant(),
               TokenLife(params_.tolerance, *limit), now);
  } else {
    LoseAnswer(account->tokens, number, now);
  }
  Serve(organisation, account);
}

void RateLimiter::SetTimer(const OrganisationName& organisation,
                           const AccountPtr& account) {
  account->timer.cancel();
  if (account->waiting.empty() || stopped_) return;
  Time due = account->waiting.front().hold_until;
  if (account->tokens.question)
    due = std::min(due, account->tokens.question->asked + kKeeperTimeout);
  Duration wait = std::max(due - Now(), Millis(1));
  account->timer.expires_after(std::chrono::milliseconds(wait.ms()));
  std::weak_ptr<RateLimiter> weak = weak_from_this();
  account->timer.async_wait([weak, organisation, account](error_code error) {
    std::shared_ptr<RateLimiter> self = weak.lock();
    if (self && !error && !self->stopped_) self->OnTimer(organisation, account);
  });
}

void RateLimiter::OnTimer(const OrganisationName& organisation,
                          const AccountPtr& account) {
  Time now = Now();
  const std::optional<TokenQuestionState>& question = account->tokens.question;
  if (question && now >= question->asked + kKeeperTimeout) {
    unanswered_->Add();
    LogLine(LogLevel::kInfo, "keeper_silent")
        .Field("organisation", organisation)
        .Field("share", question->share)
        .Field("keeper",
               KeeperOf(map_, LimitPartition(organisation, question->share)))
        .Field("map", map_.version);
    LoseAnswer(account->tokens, question->number, now);
  }
  Serve(organisation, account);
}

// ---- as a keeper -----------------------------------------------------------

TokenAnswer RateLimiter::Answer(const TokenQuestion& question) {
  TokenAnswer answer;
  answer.number = question.number;
  std::optional<RateLimit> limit = params_.limit_of(question.organisation);
  if (!limit) {
    answer.not_keeper = true;
    return answer;
  }
  TokenGrant grant =
      AnswerTokens(keeper_, question.organisation, *limit, question.share,
                   {question.waiting, question.ahead}, Now());
  answer.granted = grant.granted;
  answer.retry_after = grant.retry_after;
  answer.not_keeper = grant.not_keeper;
  return answer;
}

void RateLimiter::SetKeeperMap(const KeeperMap& map, Time valid_until) {
  if (map.version < map_.version) return;
  bool changed = map.version > map_.version;
  if (changed) map_ = map;
  TakeMap(keeper_, map, valid_until, Now());
  if (!changed) return;
  LogLine(LogLevel::kInfo, "keepers_known")
      .Field("version", map.version)
      .Field("kept_here", keeper_.kept_since.size());
  // What was learnt of earlier keepers says nothing of their successors.
  for (const auto& [organisation, account] : accounts_) {
    for (ShareView& share : account->tokens.shares) share = ShareView{};
  }
}

// ---- by the clock ----------------------------------------------------------

void RateLimiter::Sweep(Time now) {
  DropIdleBuckets(keeper_, std::max(params_.tolerance.window, kAccountIdle),
                  now);
  for (auto it = accounts_.begin(); it != accounts_.end();) {
    LogRefusals(it->first, it->second.get(), now);
    bool idle = it->second->waiting.empty() &&
                now - it->second->last_use > kAccountIdle;
    it = idle ? accounts_.erase(it) : std::next(it);
  }
}

void RateLimiter::LogRefusals(const OrganisationName& organisation,
                              Account* account, Time now) {
  Refusals& refusals = account->refusals;
  bool due = refusals.over_limit + refusals.unknown > 0 &&
             now - refusals.logged >= kRefusalLogInterval;
  if (!due) return;
  std::optional<RateLimit> limit = params_.limit_of(organisation);
  uint32_t share = account->tokens.preferred;
  LogLine(LogLevel::kInfo, "rate_limited")
      .Field("organisation", organisation)
      .Field("over_limit", refusals.over_limit)
      .Field("unknown", refusals.unknown)
      .Field("per_second", limit ? limit->per_second : 0)
      .Field("burst", limit ? limit->burst : 0)
      .Field("shares", account->tokens.shares.size())
      .Field("first_keeper",
             KeeperOf(map_, LimitPartition(organisation, share)))
      .Field("map", map_.version);
  refusals.over_limit = refusals.unknown = 0;
  refusals.logged = now;
}

Counter* RateLimiter::LimitedCounter(const OrganisationName& organisation) {
  auto known = limited_.find(organisation);
  if (known != limited_.end()) return known->second;
  bool counted =
      limited_.size() < kCountedOrganisations &&
      organisation.value().find_first_of("\"\\\n") == std::string::npos;
  std::string label = counted ? organisation.value() : "";
  Counter* counter = &params_.metrics->GetCounter(
      "relay_rate_limited_total", "organisation=\"" + label + "\"");
  if (counted) limited_[organisation] = counter;
  return counter;
}

void RateLimiter::Stop() {
  stopped_ = true;
  for (const auto& [organisation, account] : accounts_) {
    account->timer.cancel();
    account->waiting.clear();
  }
}

}  // namespace cardamomchute

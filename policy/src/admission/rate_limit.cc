#include "cardamomchute/policy/admission/rate_limit.h"

#include <algorithm>
#include <iterator>

namespace cardamomchute {
namespace {

constexpr uint64_t kPerToken = 1000;
constexpr double kMillisPerSecond = 1000;
/// Part of the burst that is granted evenly over the window; the rest at once.
constexpr double kSpreadBurst = 0.9;
/// Part of the slack that a bucket may hold; the rest is for clocks that
/// differ.
constexpr double kUsedSlack = 0.75;

/// Returns the rate of a whole share: each has a burst of at least 1, and there
/// are no more shares than partitions.
uint64_t ShareRate(const RateLimit& limit) {
  uint64_t shares = std::clamp<uint64_t>(limit.burst, 1, kLimitPartitions);
  return std::max(kShareRate, (limit.per_second + shares - 1) / shares);
}

/// Returns the burst of the first `rate` operations a second of the limit.
uint64_t BurstUpTo(const RateLimit& limit, uint64_t rate) {
  if (rate >= limit.per_second) return limit.burst;
  double part =
      static_cast<double>(rate) / static_cast<double>(limit.per_second);
  return static_cast<uint64_t>(static_cast<double>(limit.burst) * part);
}

uint64_t Capacity(const RateLimit& limit) { return limit.burst * kPerToken; }

}  // namespace

// ---- shares ----------------------------------------------------------------

RateLimit EnforcedLimit(const RateLimit& limit,
                        const RateTolerance& tolerance) {
  double window_s =
      static_cast<double>(tolerance.window.ms()) / kMillisPerSecond;
  if (window_s <= 0) return limit;
  double burst = static_cast<double>(limit.burst);
  double rate = static_cast<double>(limit.per_second);
  double used_slack = kUsedSlack * static_cast<double>(tolerance.slack);
  double part = 1 + tolerance.excess;
  // A bucket that holds no whole token grants nothing.
  double kept = std::max((1 - kSpreadBurst) * burst * part + used_slack,
                         std::min(burst, 1.0));
  double kept_of_burst = std::max(kept - used_slack, 0.0) / part;
  RateLimit enforced;
  enforced.per_second =
      static_cast<uint64_t>(rate + (burst - kept_of_burst) / window_s);
  enforced.burst =
      static_cast<uint64_t>(std::min(kept, rate * window_s + burst));
  return enforced;
}

uint32_t ShareCount(const RateLimit& limit) {
  uint64_t rate = ShareRate(limit);
  uint64_t count = std::max<uint64_t>(1, (limit.per_second + rate - 1) / rate);
  // A small rest without a burst of its own belongs to the share before it.
  bool rest_is_empty =
      count > 1 && BurstUpTo(limit, rate * (count - 1)) == limit.burst;
  return static_cast<uint32_t>(rest_is_empty ? count - 1 : count);
}

RateLimit ShareOf(const RateLimit& limit, uint32_t share) {
  uint32_t count = ShareCount(limit);
  if (share >= count) return RateLimit{};
  uint64_t begin = ShareRate(limit) * share;
  uint64_t end =
      share + 1 == count ? limit.per_second : begin + ShareRate(limit);
  uint64_t burst_before = share == 0 ? 0 : BurstUpTo(limit, begin);
  return RateLimit{end - begin, BurstUpTo(limit, end) - burst_before};
}

Duration TokenLife(const RateTolerance& tolerance, const RateLimit& limit) {
  double by_excess =
      static_cast<double>(tolerance.window.ms()) * tolerance.excess;
  if (by_excess >= 1)
    return std::max(Millis(static_cast<int64_t>(by_excess)), kMinTokenLife);
  uint64_t rate = std::max<uint64_t>(1, limit.per_second);
  Duration by_slack =
      Millis(static_cast<int64_t>(tolerance.slack * 1000 / rate));
  return std::max(by_slack, kMinTokenLife);
}

// ---- at the keeper ---------------------------------------------------------

TokenBucket BucketSince(const RateLimit& limit, Time since, Time now) {
  TokenBucket bucket;
  bucket.limit = limit;
  bucket.filled = since;
  Refill(bucket, limit, now);
  return bucket;
}

void Refill(TokenBucket& bucket, const RateLimit& limit, Time now) {
  if (now > bucket.filled) {
    uint64_t elapsed_ms = static_cast<uint64_t>((now - bucket.filled).ms());
    bucket.level = std::min(bucket.level + bucket.limit.per_second * elapsed_ms,
                            Capacity(bucket.limit));
    bucket.filled = now;
  }
  bucket.limit = limit;
  bucket.level = std::min(bucket.level, Capacity(limit));
}

Duration NextToken(const TokenBucket& bucket) {
  if (bucket.level >= kPerToken) return Duration();
  uint64_t rate = bucket.limit.per_second;
  if (rate == 0 || bucket.limit.burst == 0) return kMaxRetryAfter;
  uint64_t lacking = kPerToken - bucket.level;
  Duration wait = Millis(static_cast<int64_t>((lacking + rate - 1) / rate));
  return std::min(wait, kMaxRetryAfter);
}

TokenGrant TakeTokens(TokenBucket& bucket, const TokenWish& wish) {
  TokenGrant grant;
  grant.granted = std::min(bucket.level / kPerToken, wish.waiting);
  bucket.level -= grant.granted * kPerToken;
  if (grant.granted < wish.waiting) {
    grant.retry_after = NextToken(bucket);
    return grant;
  }
  uint64_t half = Capacity(bucket.limit) / 2;
  uint64_t spare = bucket.level > half ? (bucket.level - half) / kPerToken : 0;
  uint64_t ahead = std::min(spare, wish.ahead);
  bucket.level -= ahead * kPerToken;
  grant.granted += ahead;
  return grant;
}

void TakeMap(LimitKeeper& keeper, const KeeperMap& map, Time valid_until,
             Time now) {
  if (map.version < keeper.version) return;
  bool lapsed = now >= keeper.valid_until;
  if (lapsed) {
    // Others may have been keepers meanwhile.
    keeper.kept_since.clear();
    keeper.buckets.clear();
  }
  for (size_t i = 0; i < kLimitPartitions; ++i) {
    if (KeeperOf(map, i) == keeper.self)
      keeper.kept_since.try_emplace(i, now);
    else
      keeper.kept_since.erase(i);
  }
  std::erase_if(keeper.buckets, [&keeper](const auto& item) {
    const auto& [organisation, share] = item.first;
    return !keeper.kept_since.contains(LimitPartition(organisation, share));
  });
  keeper.version = map.version;
  keeper.valid_until =
      lapsed ? valid_until : std::max(keeper.valid_until, valid_until);
}

bool KeepsPartition(const LimitKeeper& keeper, size_t partition, Time now) {
  return now < keeper.valid_until && keeper.kept_since.contains(partition);
}

TokenGrant AnswerTokens(LimitKeeper& keeper,
                        const OrganisationName& organisation,
                        const RateLimit& limit, uint32_t share,
                        const TokenWish& wish, Time now) {
  size_t partition = LimitPartition(organisation, share);
  bool kept = KeepsPartition(keeper, partition, now);
  if (!kept || share >= ShareCount(limit))
    return TokenGrant{.not_keeper = true};
  RateLimit part = ShareOf(limit, share);
  auto [bucket, is_new] = keeper.buckets.try_emplace({organisation, share});
  if (is_new)
    bucket->second = BucketSince(part, keeper.kept_since.at(partition), now);
  else
    Refill(bucket->second, part, now);
  bucket->second.asked = now;
  return TakeTokens(bucket->second, wish);
}

void DropIdleBuckets(LimitKeeper& keeper, Duration idle, Time now) {
  for (auto it = keeper.buckets.begin(); it != keeper.buckets.end();) {
    TokenBucket& bucket = it->second;
    Refill(bucket, bucket.limit, now);
    bool full = bucket.level >= Capacity(bucket.limit);
    bool drop = full && now - bucket.asked >= idle;
    it = drop ? keeper.buckets.erase(it) : std::next(it);
  }
}

// ---- at the relay that takes the operation ---------------------------------

namespace {

constexpr Duration kUseInterval = Seconds(1);

void NoteUse(TokenAccount& account, Time now) {
  account.last_use = now;
  Duration passed = now - account.interval_start;
  if (passed >= kUseInterval) {
    account.last_uses = passed < kUseInterval * 2 ? account.uses : 0;
    account.uses = 0;
    account.interval_start = now;
  }
  ++account.uses;
}

uint64_t ValidTokens(const TokenAccount& account, Time now) {
  uint64_t count = 0;
  for (const TokenBatch& batch : account.batches) {
    if (now < batch.until) count += batch.count;
  }
  return count;
}

}  // namespace

void SetLimit(TokenAccount& account, const RateLimit& limit, uint64_t seed) {
  uint32_t count = ShareCount(limit);
  if (account.shares.size() == count) return;
  account.shares.assign(count, ShareView{});
  account.preferred = 0;
  uint64_t point = seed % std::max<uint64_t>(1, limit.per_second);
  uint64_t end = 0;
  for (uint32_t share = 0; share < count; ++share) {
    end += ShareOf(limit, share).per_second;
    if (point >= end) continue;
    account.preferred = share;
    break;
  }
}

TokenVerdict TakeToken(TokenAccount& account, Time now) {
  std::erase_if(account.batches, [now](const TokenBatch& batch) {
    return batch.count == 0 || now >= batch.until;
  });
  if (!account.batches.empty()) {
    --account.batches.front().count;
    NoteUse(account, now);
    return TokenVerdict::kTaken;
  }
  if (account.question || ShareToAsk(account, now))
    return TokenVerdict::kMustAsk;
  bool silent = std::any_of(
      account.shares.begin(), account.shares.end(),
      [now](const ShareView& share) { return now < share.silent_until; });
  return silent ? TokenVerdict::kNoKeeper : TokenVerdict::kOverLimit;
}

std::optional<uint32_t> ShareToAsk(const TokenAccount& account, Time now) {
  size_t count = account.shares.size();
  for (size_t i = 0; i < count; ++i) {
    size_t share = (account.preferred + i) % count;
    const ShareView& view = account.shares[share];
    if (now >= view.empty_until && now >= view.silent_until)
      return static_cast<uint32_t>(share);
  }
  return std::nullopt;
}

TokenWish WishFor(const TokenAccount& account, uint64_t waiting, Duration life,
                  Time now) {
  TokenWish wish;
  wish.waiting = waiting;
  bool recent = now - account.interval_start < kUseInterval * 2;
  if (!recent) return wish;
  uint64_t expected = account.last_uses * static_cast<uint64_t>(life.ms()) /
                      static_cast<uint64_t>(kUseInterval.ms());
  // Half of them: what is not used in time is lost to the organisation.
  if (expected >= kBusyUses) wish.ahead = expected / 2;
  wish.ahead -= std::min(wish.ahead, ValidTokens(account, now));
  return wish;
}

void BeginQuestion(TokenAccount& account, const TokenQuestionState& question) {
  account.question = question;
}

bool TakeAnswer(TokenAccount& account, uint64_t number, const TokenGrant& grant,
                Duration life, Time now) {
  if (!account.question || account.question->number != number) return false;
  TokenQuestionState question = *account.question;
  account.question.reset();
  bool known = question.share < account.shares.size();
  if (known) {
    ShareView& share = account.shares[question.share];
    if (grant.not_keeper) share.silent_until = now + kKeeperPause;
    if (grant.retry_after > Duration())
      share.empty_until = now + grant.retry_after;
  }
  // The keeper may have granted them as soon as the question was sent.
  if (grant.granted > 0)
    account.batches.push_back(TokenBatch{grant.granted, question.asked + life});
  return true;
}

void LoseAnswer(TokenAccount& account, uint64_t number, Time now) {
  if (!account.question || account.question->number != number) return;
  uint32_t share = account.question->share;
  account.question.reset();
  if (share < account.shares.size())
    account.shares[share].silent_until = now + kKeeperPause;
}

}  // namespace cardamomchute

/// Rate limits that hold over all relays.
///
/// A limit is split into shares, each a token bucket at the relay that keeps
/// it. Other relays ask the keepers for tokens, and accept an operation of a
/// limited organisation for a token only. Tokens end soon after the question
/// was sent, which bounds how many uses a window can hold. Pure functions
/// without I/O.
#ifndef CARDAMOMCHUTE_POLICY_ADMISSION_RATE_LIMIT_H_
#define CARDAMOMCHUTE_POLICY_ADMISSION_RATE_LIMIT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "cardamomchute/base/time.h"
#include "cardamomchute/policy/documents/layout.h"
#include "cardamomchute/policy/lease/limit_keepers.h"

namespace cardamomchute {

/// Operations per second that one keeper counts at most, unless the burst is
/// too small to be split so far.
inline constexpr uint64_t kShareRate = 64;
/// Silence after which a question counts as unanswered.
inline constexpr Duration kKeeperTimeout = Millis(150);
/// A keeper that did not answer is not asked again for this long.
inline constexpr Duration kKeeperPause = Millis(500);
/// Longest time that a keeper has relays wait before they ask again.
inline constexpr Duration kMaxRetryAfter = Seconds(1);
/// Uses expected within a token's life from which on a relay asks ahead.
inline constexpr uint64_t kBusyUses = 8;

/// Least time for which a token is valid: without it an answer that takes a
/// while would grant nothing.
inline constexpr Duration kMinTokenLife = Millis(100);

/// How far the fleet as a whole may exceed an organisation's rate limit.
struct RateTolerance {
  Duration window;     ///< sliding; what it allows counts within it
  double excess = 0;   ///< part of what the limit allows in a window
  uint64_t slack = 0;  ///< operations in a window
};

/// Returns the token bucket that grants an organisation nearly all that its
/// limit allows in each window, `rate * window + burst`, also if it asks for
/// more all the time. A bucket of the plain rate and burst would grant the
/// burst once. Uses in a window stay within the tolerance (see TokenLife).
RateLimit EnforcedLimit(const RateLimit& limit, const RateTolerance& tolerance);

// ---- shares ----------------------------------------------------------------

/// Returns into how many shares the limit is split; at least 1.
uint32_t ShareCount(const RateLimit& limit);

/// Returns the part of one share; the parts add up to the limit. A share that
/// the limit does not have is empty.
RateLimit ShareOf(const RateLimit& limit, uint32_t share);

/// Returns how long a token may be used after the question was sent.
Duration TokenLife(const RateTolerance& tolerance, const RateLimit& limit);

// ---- at the keeper ---------------------------------------------------------

/// A token bucket. Its level counts in thousandths of a token, as one token a
/// second is a thousandth each millisecond.
struct TokenBucket {
  RateLimit limit;
  uint64_t level = 0;
  Time filled;  ///< when `level` was computed
  Time asked;   ///< when tokens were last asked for
};

/// Returns a bucket that was empty at `since`.
TokenBucket BucketSince(const RateLimit& limit, Time since, Time now);

/// Refills by the limit until now and takes the new limit.
void Refill(TokenBucket& bucket, const RateLimit& limit, Time now);

/// Returns when the bucket has a whole token, at most kMaxRetryAfter.
Duration NextToken(const TokenBucket& bucket);

/// A relay asks for tokens of one share. `waiting` are for operations that
/// wait, the rest for those that are expected.
struct TokenWish {
  uint64_t waiting = 0;
  uint64_t ahead = 0;
};

struct TokenGrant {
  uint64_t granted = 0;
  /// When there is a token again, if fewer were granted than wait.
  Duration retry_after;
  bool not_keeper = false;
};

/// Tokens for expected operations are granted from the upper half of the
/// bucket only: they may end unused.
TokenGrant TakeTokens(TokenBucket& bucket, const TokenWish& wish);

/// The partitions that a relay keeps, and the buckets in them.
struct LimitKeeper {
  VmId self;
  uint64_t version = 0;  ///< of the map
  Time valid_until;      ///< end of the grant of the map
  /// By partition: start of an unbroken time as its keeper.
  std::map<size_t, Time> kept_since;
  /// Those asked for lately. The others are full, or as they would be if they
  /// had been empty when the partition was taken.
  std::map<std::pair<OrganisationName, uint32_t>, TokenBucket> buckets;
};

/// Takes a map that is granted until `valid_until`; an older one is ignored.
/// Where this relay was not the keeper up to now, it begins with empty buckets.
void TakeMap(LimitKeeper& keeper, const KeeperMap& map, Time valid_until,
             Time now);

bool KeepsPartition(const LimitKeeper& keeper, size_t partition, Time now);

/// Answers a question about a share of a limit.
TokenGrant AnswerTokens(LimitKeeper& keeper,
                        const OrganisationName& organisation,
                        const RateLimit& limit, uint32_t share,
                        const TokenWish& wish, Time now);

/// Forgets buckets that are full and were not asked for during `idle`, which
/// must not be shorter than the window: one that comes back with a higher limit
/// is full.
void DropIdleBuckets(LimitKeeper& keeper, Duration idle, Time now);

// ---- at the relay that takes the operation ---------------------------------

struct TokenBatch {
  uint64_t count = 0;
  Time until;
};

/// A question that awaits its answer.
struct TokenQuestionState {
  uint64_t number = 0;
  uint32_t share = 0;
  Time asked;
};

/// What a relay knows of one share's keeper.
struct ShareView {
  Time empty_until;
  Time silent_until;  ///< unreachable, or no keeper
};

/// One organisation's tokens at a relay.
struct TokenAccount {
  std::vector<TokenBatch> batches;  ///< in order of `until`
  std::vector<ShareView> shares;
  uint32_t preferred = 0;  ///< share that is asked first
  std::optional<TokenQuestionState> question;
  // Uses: the number in the last whole interval, and in the current one.
  uint64_t last_uses = 0;
  uint64_t uses = 0;
  Time interval_start;
  Time last_use;
};

enum class TokenVerdict : uint8_t {
  kTaken,
  kMustAsk,    ///< a share may have tokens
  kOverLimit,  ///< refused: all shares that answer are empty
  kNoKeeper    ///< refused: a share's keeper is not known or silent
};

/// Prepares for a limit, which may have changed. `seed` spreads relays over the
/// shares in proportion to their rates.
void SetLimit(TokenAccount& account, const RateLimit& limit, uint64_t seed);

/// Uses a token if there is one, otherwise says what can be done.
TokenVerdict TakeToken(TokenAccount& account, Time now);

/// Returns the share to ask next, or nothing if none can have tokens now.
std::optional<uint32_t> ShareToAsk(const TokenAccount& account, Time now);

/// Returns how many tokens to ask for. `life`: of a token.
TokenWish WishFor(const TokenAccount& account, uint64_t waiting, Duration life,
                  Time now);

/// Records that the question was sent.
void BeginQuestion(TokenAccount& account, const TokenQuestionState& question);

/// Takes an answer; one to a question that was given up is ignored. Returns
/// whether it was awaited.
bool TakeAnswer(TokenAccount& account, uint64_t number, const TokenGrant& grant,
                Duration life, Time now);

/// Gives the question up; its keeper is not asked for a while.
void LoseAnswer(TokenAccount& account, uint64_t number, Time now);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_POLICY_ADMISSION_RATE_LIMIT_H_

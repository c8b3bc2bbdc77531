/// Enforces organisations' rate limits: gets tokens from the relays that keep
/// the shares of a limit, and grants tokens of those that this relay keeps.
#ifndef CARDAMOMCHUTE_RELAY_SRC_RATE_LIMITER_H_
#define CARDAMOMCHUTE_RELAY_SRC_RATE_LIMITER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "cardamomchute/policy/admission/rate_limit.h"
#include "cardamomchute/relay/run.h"
#include "cardamomchute/telemetry/metrics.h"

namespace cardamomchute {

using TokenDone = std::function<void(std::optional<TokenAnswer>)>;

struct RateLimiterParams {
  boost::asio::io_context* io = nullptr;
  VmId self;
  RateTolerance tolerance;
  Metrics* metrics = nullptr;
  /// Returns the limit in force; none: not limited.
  std::function<std::optional<RateLimit>(const OrganisationName&)> limit_of;
  /// Sends a question to another relay. Returns false if it is not known or
  /// cannot be reached now; otherwise calls `done` once at most.
  std::function<bool(const VmId&, const TokenQuestion&, TokenDone done)> ask;
};

enum class LimitVerdict : uint8_t {
  kAccepted,
  kOverLimit,
  kUnknown  ///< the keepers are not known or do not answer
};

/// Returns the error message of a refusal.
std::string_view DetailOf(LimitVerdict verdict);

class RateLimiter : public std::enable_shared_from_this<RateLimiter> {
 public:
  using AcceptDone = std::function<void(LimitVerdict)>;

  explicit RateLimiter(RateLimiterParams params);

  /// Decides whether the organisation may begin an operation. Calls `done` once
  /// by `hold_until`, at once if no keeper has to be asked.
  void Accept(const OrganisationName& organisation, Time hold_until,
              AcceptDone done);
  /// Answers a question to this relay as a keeper.
  TokenAnswer Answer(const TokenQuestion& question);
  void SetKeeperMap(const KeeperMap& map, Time valid_until);
  const KeeperMap& keeper_map() const { return map_; }
  /// Logs refusals, and forgets organisations that do nothing.
  void Sweep(Time now);
  void Stop();

 private:
  struct Waiting {
    Time hold_until;
    AcceptDone done;
  };
  struct Refusals {
    uint64_t over_limit = 0;
    uint64_t unknown = 0;
    Time logged;
    Counter* limited = nullptr;
  };
  struct Account {
    explicit Account(boost::asio::io_context* io) : timer(*io) {}
    TokenAccount tokens;
    std::deque<Waiting> waiting;
    Refusals refusals;
    Time last_use;
    boost::asio::steady_timer timer;
  };
  using AccountPtr = std::shared_ptr<Account>;
  /// Answers to callers, given once the account is consistent.
  using Decided = std::vector<std::pair<AcceptDone, LimitVerdict>>;

  const AccountPtr& AccountOf(const OrganisationName& organisation);
  void Serve(const OrganisationName& organisation, const AccountPtr& account);
  void RefuseFront(const OrganisationName& organisation, Account* account,
                   LimitVerdict verdict, Decided* decided);
  void Ask(const OrganisationName& organisation, const AccountPtr& account,
           const RateLimit& limit, Time now);
  void OnAnswer(const OrganisationName& organisation, const AccountPtr& account,
                uint64_t number, const std::optional<TokenAnswer>& answer);
  void SetTimer(const OrganisationName& organisation,
                const AccountPtr& account);
  void OnTimer(const OrganisationName& organisation, const AccountPtr& account);
  void LogRefusals(const OrganisationName& organisation, Account* account,
                   Time now);
  Counter* LimitedCounter(const OrganisationName& organisation);

  RateLimiterParams params_;
  KeeperMap map_;  ///< the newest, also after its grant has ended
  LimitKeeper keeper_;
  std::map<OrganisationName, AccountPtr> accounts_;
  uint64_t next_number_ = 0;
  std::map<OrganisationName, Counter*> limited_;
  Counter* asked_;
  Counter* unanswered_;
  bool stopped_ = false;
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_RELAY_SRC_RATE_LIMITER_H_

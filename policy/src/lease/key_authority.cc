#include "cardamomchute/policy/lease/key_authority.h"

#include <algorithm>

namespace cardamomchute {

Duration AuthorityTime(Duration revocation) {
  return std::max(revocation - kAuthorityMargin, Duration());
}

KeyGrant GrantFromRound(Time confirmed, uint64_t layout_version,
                        Duration revocation) {
  return KeyGrant{layout_version, confirmed + AuthorityTime(revocation)};
}

Duration TimeLeft(const KeyGrant& grant, Time now) {
  return std::max(grant.until - now, Duration());
}

uint64_t Ask(AuthorityQuestions& questions, Time now, Duration kept) {
  std::erase_if(questions.sent, [now, kept](const auto& item) {
    return now - item.second >= kept;
  });
  questions.asked = now;
  questions.sent[++questions.last] = now;
  return questions.last;
}

std::optional<KeyGrant> TakeAnswer(AuthorityQuestions& questions,
                                   uint64_t number, uint64_t layout_version,
                                   Duration valid) {
  auto question = questions.sent.find(number);
  if (question == questions.sent.end()) return std::nullopt;
  KeyGrant grant{layout_version, question->second + valid};
  questions.sent.erase(question);
  return grant;
}

bool TakeDelegated(DelegatedAuthority& delegated, uint64_t number,
                   uint64_t layout_version, Duration valid) {
  std::optional<KeyGrant> grant =
      TakeAnswer(delegated.questions, number, layout_version, valid);
  if (!grant) return false;
  Time asked = grant->until - valid;
  delegated.asked = std::max(delegated.asked, asked);
  // Answers may overtake each other, as after a lost link.
  if (grant->until > delegated.grant.until) delegated.grant = *grant;
  return true;
}

bool IsFresh(const DelegatedAuthority& delegated, Time now) {
  return now < delegated.grant.until &&
         now - delegated.asked < kAuthorityRefresh;
}

void Extend(HeldAuthority& held, const KeyGrant& grant, Time now) {
  Time& until = held.until[grant.layout_version];
  until = std::max(until, grant.until);
  std::erase_if(held.until,
                [now](const auto& item) { return item.second <= now; });
}

Time AuthorityEnd(const HeldAuthority& held, uint64_t layout_version) {
  Time end;
  for (const auto& [version, until] : held.until) {
    if (version > layout_version) break;
    end = std::max(end, until);
  }
  return end;
}

bool HoldsAuthority(const HeldAuthority& held, uint64_t layout_version,
                    Time now) {
  return now < AuthorityEnd(held, layout_version);
}

bool IsQuestionDue(const AuthorityQuestions& questions,
                   const HeldAuthority& held, uint64_t layout_version,
                   Time now) {
  if (questions.last == 0) return true;
  bool holds = HoldsAuthority(held, layout_version, now);
  return now - questions.asked >= (holds ? kAuthorityRenewal : kAuthorityRetry);
}

}  // namespace cardamomchute

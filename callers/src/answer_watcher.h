/// Follows the framing of an answer that streams past, without keeping it.
#ifndef CARDAMOMCHUTE_CALLERS_SRC_ANSWER_WATCHER_H_
#define CARDAMOMCHUTE_CALLERS_SRC_ANSWER_WATCHER_H_

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace cardamomchute {

/// What an answer says of the statements in it, in order.
enum class AnswerEvent {
  kParsed,     ///< ParseComplete
  kCompleted,  ///< CommandComplete, EmptyQueryResponse or PortalSuspended
  kFailed      ///< ErrorResponse
};

class AnswerWatcher {
 public:
  /// Takes the next piece of the answer; `on_event` runs for each event in it.
  template <typename OnEvent>
  void Feed(std::string_view piece, OnEvent on_event) {
    while (!piece.empty()) {
      if (rest_of_body_ > 0) {
        SkipBody(&piece);
        continue;
      }
      if (!TakeHeader(&piece)) continue;
      char type = header_[0];
      if (type == '1') on_event(AnswerEvent::kParsed);
      if (type == 'C' || type == 'I' || type == 's') {
        on_event(AnswerEvent::kCompleted);
      }
      if (type == 'E') {
        failed_ = true;
        on_event(AnswerEvent::kFailed);
      }
    }
  }

  /// Whether the last piece ended with a whole message.
  bool at_boundary() const { return header_size_ == 0 && rest_of_body_ == 0; }
  bool failed() const { return failed_; }

 private:
  static constexpr size_t kHeaderBytes = 5;

  void SkipBody(std::string_view* piece);
  /// Whether the header is whole.
  bool TakeHeader(std::string_view* piece);

  std::array<char, kHeaderBytes> header_{};
  size_t header_size_ = 0;
  size_t rest_of_body_ = 0;
  bool failed_ = false;
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_CALLERS_SRC_ANSWER_WATCHER_H_

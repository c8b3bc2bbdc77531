/// What was sent, answered and run, in the order of time.
#ifndef CARDAMOMCHUTE_REVIEW_COMMON_RECORD_H_
#define CARDAMOMCHUTE_REVIEW_COMMON_RECORD_H_

#include <cstdint>
#include <cstdio>
#include <mutex>
#include <string>

namespace review {

/// Writes lines "MILLISECONDS WHO WHAT" to a file.
class Record {
 public:
  explicit Record(const std::string& path);
  ~Record();
  void Add(const std::string& who, const std::string& what);

 private:
  std::mutex mutex_;
  FILE* file_;
  int64_t start_;
};

}  // namespace review

#endif  // CARDAMOMCHUTE_REVIEW_COMMON_RECORD_H_

#include "record.h"

#include "net.h"

namespace review {

Record::Record(const std::string& path)
    : file_(std::fopen(path.c_str(), "w")), start_(NowMs()) {}

Record::~Record() {
  if (file_ != nullptr) std::fclose(file_);
}

void Record::Add(const std::string& who, const std::string& what) {
  std::lock_guard<std::mutex> lock(mutex_);
  if (file_ == nullptr) return;
  std::string line;
  for (char c : what)
    line += c == '\n' ? std::string("<LF>") : std::string(1, c);
  std::fprintf(file_, "%6lld %s %s\n", static_cast<long long>(NowMs() - start_),
               who.c_str(), line.c_str());
  std::fflush(file_);
}

}  // namespace review

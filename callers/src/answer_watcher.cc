#include "answer_watcher.h"

#include <algorithm>
#include <boost/endian/conversion.hpp>

namespace cardamomchute {

void AnswerWatcher::SkipBody(std::string_view* piece) {
  size_t skipped = std::min(rest_of_body_, piece->size());
  rest_of_body_ -= skipped;
  piece->remove_prefix(skipped);
}

bool AnswerWatcher::TakeHeader(std::string_view* piece) {
  size_t taken = std::min(kHeaderBytes - header_size_, piece->size());
  std::copy_n(piece->data(), taken, header_.data() + header_size_);
  header_size_ += taken;
  piece->remove_prefix(taken);
  if (header_size_ < kHeaderBytes) return false;
  uint32_t length = boost::endian::load_big_u32(
      reinterpret_cast<const unsigned char*>(header_.data() + 1));
  constexpr uint32_t kLengthBytes = 4;
  rest_of_body_ = std::max(length, kLengthBytes) - kLengthBytes;
  header_size_ = 0;
  return true;
}

}  // namespace cardamomchute

#include "cardamomchute/base/compress.h"

#include <boost/test/unit_test.hpp>

namespace cardamomchute {
namespace {

constexpr size_t kLimit = 1 << 20;

BOOST_AUTO_TEST_SUITE(compress)

BOOST_AUTO_TEST_CASE(what_was_compressed_comes_back) {
  for (size_t size : {0, 1, 1000, 200000}) {
    std::string text;
    for (size_t i = 0; text.size() < size; ++i)
      text += "entry-" + std::to_string(i);
    Result<std::string> back = Decompress(Compress(text), kLimit);
    BOOST_REQUIRE(back);
    BOOST_TEST(back.value() == text);
  }
}

BOOST_AUTO_TEST_CASE(damaged_or_too_large_input_is_an_error) {
  std::string bytes = Compress(std::string(100000, 'x'));
  BOOST_TEST(!Decompress(bytes, 99999));
  BOOST_TEST(!Decompress("", kLimit));
  BOOST_TEST(!Decompress("no zlib data", kLimit));
  for (size_t cut = 0; cut < bytes.size(); ++cut)
    BOOST_TEST(!Decompress(bytes.substr(0, cut), kLimit));
  uint64_t random = 7;
  for (int i = 0; i < 2000; ++i) {
    random = random * 6364136223846793005ULL + 1442695040888963407ULL;
    std::string damaged = bytes;
    damaged[(random >> 33) % damaged.size()] ^=
        static_cast<char>(1 + (random >> 20) % 255);
    Result<std::string> back = Decompress(damaged, kLimit);
    if (back) BOOST_TEST(back.value().size() <= kLimit);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cardamomchute

#include "cardamomchute/base/log_sink.h"

#include <unistd.h>

#include <boost/test/unit_test.hpp>

namespace cardamomchute {
namespace {

struct Pipe {
  Pipe() { BOOST_REQUIRE(::pipe(ends) == 0); }
  ~Pipe() {
    ::close(ends[0]);
    ::close(ends[1]);
  }
  std::string Read() {
    std::string text(1 << 17, '\0');
    ssize_t count = ::read(ends[0], text.data(), text.size());
    text.resize(count > 0 ? static_cast<size_t>(count) : 0);
    return text;
  }
  int ends[2];
};

BOOST_AUTO_TEST_SUITE(log_sink)

BOOST_AUTO_TEST_CASE(no_more_lines_than_the_budget_allows) {
  Pipe pipe;
  LogSink sink(pipe.ends[1], LogBudget{10, 5});
  for (int i = 0; i < 20; ++i) sink.Write("x\n", Time(1000));
  BOOST_TEST(sink.dropped() == 15u);
  BOOST_TEST(pipe.Read() == "x\nx\nx\nx\nx\n");
  // The next one that is affordable says how many were left out.
  sink.Write("y\n", Time(1400));
  BOOST_TEST(pipe.Read() == "event=log_lines_left_out count=15\ny\n");
}

BOOST_AUTO_TEST_CASE(a_reader_that_stands_still_blocks_nobody) {
  Pipe pipe;
  LogSink sink(pipe.ends[1], LogBudget{1000, 100000});
  std::string line(1000, 'x');
  line += "\n";
  for (int i = 0; i < 500; ++i) sink.Write(line, Time(1000));
  BOOST_TEST(sink.dropped() > 0u);
  std::string read = pipe.Read();
  BOOST_TEST(read.size() % line.size() == 0u);
}

BOOST_AUTO_TEST_CASE(a_line_that_is_too_long_is_cut) {
  Pipe pipe;
  LogSink sink(pipe.ends[1]);
  sink.Write(std::string(2 * kMaxLogLineBytes, 'x') + "\n", Time(1));
  std::string read = pipe.Read();
  BOOST_TEST(read.size() == kMaxLogLineBytes);
  BOOST_TEST(read.back() == '\n');
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cardamomchute

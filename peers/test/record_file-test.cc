#include "cardamomchute/peers/record_file.h"

#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <fstream>

namespace cardamomchute {
namespace {

BOOST_AUTO_TEST_SUITE(record_file)

BOOST_AUTO_TEST_CASE(written_record_is_read_back_and_torn_record_is_rejected) {
  std::filesystem::path folder = std::filesystem::temp_directory_path() /
                                 ("record-file-" + std::to_string(::getpid()));
  std::filesystem::create_directories(folder);
  std::filesystem::path path = folder / "copy";
  BOOST_TEST(!ReadRecordFile(path));
  BOOST_TEST(WriteRecordFile(path, "first").has_value());
  BOOST_TEST(WriteRecordFile(path, "second").has_value());
  BOOST_TEST(ReadRecordFile(path).value_or("") == "second");
  std::filesystem::resize_file(path, std::filesystem::file_size(path) - 1);
  BOOST_TEST(!ReadRecordFile(path));
  std::filesystem::remove_all(folder);
  BOOST_TEST(!WriteRecordFile(path, "third"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cardamomchute

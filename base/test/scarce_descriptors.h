/// A process that has no file descriptor left.
#ifndef CARDAMOMCHUTE_BASE_TEST_SCARCE_DESCRIPTORS_H_
#define CARDAMOMCHUTE_BASE_TEST_SCARCE_DESCRIPTORS_H_

#include <sys/resource.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>

namespace cardamomchute {

/// No descriptor can be opened while this exists.
class ScarceDescriptors {
 public:
  ScarceDescriptors() {
    BOOST_REQUIRE(getrlimit(RLIMIT_NOFILE, &before_) == 0);
    int next = dup(STDOUT_FILENO);
    BOOST_REQUIRE(next >= 0);
    close(next);
    rlimit scarce = before_;
    scarce.rlim_cur = static_cast<rlim_t>(next);
    BOOST_REQUIRE(setrlimit(RLIMIT_NOFILE, &scarce) == 0);
  }
  ~ScarceDescriptors() { setrlimit(RLIMIT_NOFILE, &before_); }
  ScarceDescriptors(const ScarceDescriptors&) = delete;
  ScarceDescriptors& operator=(const ScarceDescriptors&) = delete;

 private:
  rlimit before_{};
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_BASE_TEST_SCARCE_DESCRIPTORS_H_

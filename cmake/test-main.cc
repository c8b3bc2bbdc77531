#define BOOST_TEST_MODULE cardamomchute
#include <boost/test/unit_test.hpp>

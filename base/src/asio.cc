/// Asio's own code, compiled once for all packages.
#include <boost/asio/impl/src.hpp>

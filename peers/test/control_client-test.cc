#include "cardamomchute/peers/control_client.h"

#include <boost/test/unit_test.hpp>

namespace cardamomchute {
namespace {

ViewPtr ViewAt(uint64_t version) {
  ClusterView view;
  view.document.emplace();
  view.document->version = Version(version);
  return std::make_shared<const ClusterView>(view);
}

}  // namespace

BOOST_AUTO_TEST_CASE(lease_ends_never_move_back) {
  LeaseClock lease;
  lease.ExtendTo(Time(100));
  lease.ExtendTo(Time(50));
  BOOST_TEST(lease.ValidAt(Time(99)));
  BOOST_TEST(!lease.ValidAt(Time(100)));
  lease.Relinquish();
  BOOST_TEST(!lease.ValidAt(Time(1)));
}

BOOST_AUTO_TEST_CASE(an_older_document_is_not_taken) {
  ViewStore store;
  store.Set(ViewAt(2));
  store.Set(ViewAt(1));
  BOOST_TEST(store.Get()->document->version.value() == 2u);
}

BOOST_AUTO_TEST_CASE(late_listeners_get_the_current_view) {
  ViewStore store;
  store.Set(ViewAt(2));
  uint64_t seen = 0;
  store.Listen([&](ViewPtr view) { seen = view->document->version.value(); });
  BOOST_TEST(seen == 2u);
}

}  // namespace cardamomchute

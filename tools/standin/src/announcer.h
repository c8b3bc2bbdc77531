/// Announces the member to entry VMs over HTTP, again and again.
#ifndef CARDAMOMCHUTE_STANDIN_ANNOUNCER_H_
#define CARDAMOMCHUTE_STANDIN_ANNOUNCER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <string>
#include <vector>

#include "cardamomchute/base/ids.h"
#include "cardamomchute/base/time.h"

namespace cardamomchute::standin {

struct Announcement {
  EndpointId id;
  GroupId group;
  Environment environment;
  Address address;
  Zone zone;
  Duration ttl;
};

class Announcer {
 public:
  Announcer(boost::asio::any_io_executor executor, Announcement announcement,
            std::vector<Address> targets);

  /// One loop for each target.
  void Start();
  /// Says at once, and from now on, that the member is leaving.
  void Leave();
  bool leaving() const { return leaving_; }

 private:
  boost::asio::awaitable<void> Run(size_t index);
  std::string Body() const;

  boost::asio::any_io_executor executor_;
  Announcement announcement_;
  std::vector<Address> targets_;
  std::vector<boost::asio::steady_timer> timers_;
  bool leaving_ = false;
};

}  // namespace cardamomchute::standin

#endif  // CARDAMOMCHUTE_STANDIN_ANNOUNCER_H_

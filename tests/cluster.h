/// A small site of real processes: control members, entry VMs, one group's
/// members, each group member behind the fault proxy.
#ifndef CARDAMOMCHUTE_TESTS_CLUSTER_H_
#define CARDAMOMCHUTE_TESTS_CLUSTER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "client.h"
#include "process.h"

namespace cardamomchute::testing {

/// Longest wait for anything a test needs; far above what it takes.
inline constexpr int kGiveUpSeconds = 30;

struct Shape {
  int control_members = 3;
  int entries = 3;
  int endpoints = 3;
  int lag_ms = 20;
  std::string ack = "replicated";
  /// Extra lines for every entry's settings.
  std::string entry_settings;
};

/// One endpoint: its process, and the route all VMs reach it by.
struct EndpointProcess {
  std::string id;
  uint16_t port = 0;
  uint16_t proxy_port = 0;
  uint16_t admin_port = 0;
  int route = 0;
  std::vector<std::string> args;
  std::unique_ptr<Process> process;
};

struct VmProcess {
  std::string id;
  std::string settings_file;
  uint16_t callers_port = 0;
  uint16_t peers_port = 0;
  uint16_t http_port = 0;
  uint16_t control_port = 0;
  std::unique_ptr<Process> process;
};

class Cluster {
 public:
  explicit Cluster(const std::string& name, Shape shape = {});
  ~Cluster();

  /// Starts everything, submits the document, waits until it is served.
  void Start();

  std::vector<VmProcess> control;
  std::vector<VmProcess> entries;
  std::vector<EndpointProcess> endpoints;

  void StartVm(VmProcess& vm);
  /// As it was started first; an empty primary of term 1, or a replica.
  void StartEndpoint(EndpointProcess& endpoint);
  /// Empty, as a replica of `primary`.
  void StartFollowing(EndpointProcess& endpoint,
                      const EndpointProcess& primary);

  /// A command of the fault proxy for one endpoint: "cut", "restore",
  /// "silence", "delay?ms=50", ...
  void Fault(const EndpointProcess& endpoint, const std::string& command);

  /// A command of a stand-in's own: "lag?ms=1000", "leave", ...
  void Direct(const EndpointProcess& endpoint, const std::string& command);

  /// The operators' CLI against all control members.
  RunOutcome Cli(std::vector<std::string> args);

  /// What `status --output json` says of the group.
  std::string OwnerOf(const std::string& group);
  std::string PrimaryOf(const std::string& group);

  /// The control member that leads, and the VM of that name.
  std::string LeadingControl();
  VmProcess& Control(const std::string& id);

  VmProcess& Entry(const std::string& id);
  EndpointProcess& Endpoint(const std::string& id);
  /// An entry that is not the owner of the group.
  VmProcess& OtherEntry(const std::string& owner);

  std::string document() const { return document_; }
  std::string folder() const { return folder_; }

 private:
  void WriteSettings();
  void StartProxy();
  std::string GroupField(const std::string& group, const std::string& field);

  std::string folder_;
  Shape shape_;
  std::string document_;
  uint16_t proxy_admin_ = 0;
  std::unique_ptr<Process> proxy_;
};

inline constexpr char kUser[] = "desk";
inline constexpr char kDatabase[] = "tickets";

}  // namespace cardamomchute::testing

#endif  // CARDAMOMCHUTE_TESTS_CLUSTER_H_

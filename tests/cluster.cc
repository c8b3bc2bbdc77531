#include "cluster.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <thread>

#include "cardamomchute/http/http_client.h"

namespace cardamomchute::testing {
namespace {

constexpr Duration kHttpTimeout = Seconds(5);
constexpr int kSlots = 4;
/// A member's replication port less its PostgreSQL port.
constexpr int kReplicationOffset = 7;

void Pause() { std::this_thread::sleep_for(std::chrono::milliseconds(50)); }

std::string Local(uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

void WriteFile(const std::string& path, const std::string& text) {
  std::ofstream(path, std::ios::binary) << text;
}

std::string Zone(int i) { return "zone-" + std::string(1, 'a' + i % 3); }

std::string DocumentText(const Shape& shape) {
  return "title = \"system test\"\n"
         "[limits]\nidle_in_transaction_ms = 5000\n"
         "statement_timeout_ms = 20000\n"
         "[[rank]]\nname = \"urgent\"\ntarget_ms = 500\nworth = 100\n"
         "guaranteed_share = 0.5\nqueue_limit = 1000\n"
         "[[rank]]\nname = \"browse\"\ntarget_ms = 2000\nworth = 1\n"
         "guaranteed_share = 0.1\nqueue_limit = 1000\n"
         "[[group]]\nid = \"tickets\"\ndatabase = \"tickets\"\n"
         "user = \"app\"\nconnections = 36\nslots = " +
         std::to_string(kSlots) + "\nack = \"" + shape.ack +
         "\"\n"
         "[[access]]\nusers = [\"desk\"]\ngroups = [\"tickets\"]\n"
         "rank = \"urgent\"\nmax_staleness_ms = -1\nwrites = true\n"
         "[[access]]\nusers = [\"loadgen\"]\napplications = [\"browse\"]\n"
         "groups = [\"tickets\"]\nrank = \"browse\"\n"
         "max_staleness_ms = 2000\nwrites = true\n"
         "[[access]]\nusers = [\"loadgen\"]\ngroups = [\"tickets\"]\n"
         "rank = \"urgent\"\nmax_staleness_ms = 0\nwrites = true\n"
         "[[access]]\nusers = [\"viewer\"]\ngroups = [\"tickets\"]\n"
         "rank = \"browse\"\nmax_staleness_ms = 5000\nwrites = false\n";
}

}  // namespace

Cluster::Cluster(const std::string& name, Shape shape)
    : folder_(std::string(PROGRAM_FOLDER) + "/../system/" + name),
      shape_(shape),
      document_(DocumentText(shape)) {
  std::filesystem::remove_all(folder_);
  std::filesystem::create_directories(folder_);
  for (int i = 0; i < shape.control_members; ++i) {
    VmProcess vm;
    vm.id = "control-" + std::to_string(i + 1);
    vm.http_port = FreePort();
    vm.control_port = FreePort();
    control.push_back(std::move(vm));
  }
  for (int i = 0; i < shape.entries; ++i) {
    VmProcess vm;
    vm.id = "entry-" + std::to_string(i + 1);
    vm.callers_port = FreePort();
    vm.peers_port = FreePort();
    vm.http_port = FreePort();
    entries.push_back(std::move(vm));
  }
  for (int i = 0; i < shape.endpoints; ++i) {
    EndpointProcess endpoint;
    endpoint.id = "db-" + std::to_string(i + 1);
    endpoint.port = FreePort(kReplicationOffset);
    endpoint.proxy_port = FreePort(kReplicationOffset);
    endpoint.admin_port = FreePort();
    endpoint.route = 2 * i;
    endpoints.push_back(std::move(endpoint));
  }
  WriteSettings();
}

Cluster::~Cluster() = default;

void Cluster::WriteSettings() {
  std::string seeds;
  for (const VmProcess& vm : control) {
    if (!seeds.empty()) seeds += ", ";
    seeds += "{ id = \"" + vm.id + "\", address = \"" + Local(vm.control_port) +
             "\" }";
  }
  int index = 0;
  for (std::vector<VmProcess>* vms : {&control, &entries}) {
    for (VmProcess& vm : *vms) {
      vm.settings_file = folder_ + "/" + vm.id + ".toml";
      std::string text = "vm = \"" + vm.id + "\"\nzone = \"" + Zone(index++) +
                         "\"\nenvironment = \"production\"\n"
                         "log_level = \"debug\"\n";
      if (vms == &entries) text += shape_.entry_settings;
      text += "[listen]\nhttp = \"" + Local(vm.http_port) + "\"\n";
      if (vm.callers_port != 0) {
        text += "callers = \"" + Local(vm.callers_port) + "\"\n";
        text += "peers = \"" + Local(vm.peers_port) + "\"\n";
      }
      text += "[control]\nseeds = [" + seeds + "]\n";
      if (vm.control_port != 0) {
        text += "[member]\nlisten = \"" + Local(vm.control_port) +
                "\"\ndata_folder = \"" + folder_ + "/" + vm.id + "\"\n";
      }
      WriteFile(vm.settings_file, text);
    }
    index = 0;
  }
  WriteFile(folder_ + "/document.toml", document_);
}

void Cluster::StartVm(VmProcess& vm) {
  vm.process.reset();
  std::vector<std::string> args = {"--config", vm.settings_file};
  vm.process = std::make_unique<Process>("cardamomchuted", args,
                                         folder_ + "/" + vm.id + ".log");
}

void Cluster::StartEndpoint(EndpointProcess& endpoint) {
  endpoint.process.reset();
  endpoint.process =
      std::make_unique<Process>("cardamomchute-standin", endpoint.args,
                                folder_ + "/" + endpoint.id + ".log");
}

void Cluster::StartFollowing(EndpointProcess& endpoint,
                             const EndpointProcess& primary) {
  std::vector<std::string>::iterator option =
      std::find(endpoint.args.begin(), endpoint.args.end(), "--primary");
  if (option != endpoint.args.end()) {
    endpoint.args.erase(option, option + 2);
  }
  endpoint.args.push_back("--primary");
  endpoint.args.push_back(Local(primary.proxy_port + kReplicationOffset));
  StartEndpoint(endpoint);
}

void Cluster::StartProxy() {
  proxy_admin_ = FreePort();
  std::vector<std::string> args = {"--admin", Local(proxy_admin_)};
  for (const EndpointProcess& endpoint : endpoints) {
    args.push_back("--route");
    args.push_back(Local(endpoint.proxy_port) + "=" + Local(endpoint.port));
    args.push_back("--route");
    args.push_back(Local(endpoint.proxy_port + kReplicationOffset) + "=" +
                   Local(endpoint.port + kReplicationOffset));
  }
  proxy_ = std::make_unique<Process>("cardamomchute-faultproxy", args,
                                     folder_ + "/faultproxy.log");
}

void Cluster::Start() {
  StartProxy();
  for (VmProcess& vm : control) StartVm(vm);
  for (VmProcess& vm : entries) StartVm(vm);
  int index = 0;
  for (EndpointProcess& endpoint : endpoints) {
    endpoint.args = {"--id",
                     endpoint.id,
                     "--group",
                     "tickets",
                     "--zone",
                     Zone(index),
                     "--environment",
                     "production",
                     "--listen",
                     Local(endpoint.port),
                     "--announce-address",
                     Local(endpoint.proxy_port),
                     "--repl-offset",
                     std::to_string(kReplicationOffset),
                     "--admin",
                     Local(endpoint.admin_port),
                     "--slots",
                     std::to_string(kSlots),
                     "--connect-ms",
                     "5",
                     "--service-us",
                     "200",
                     "--max-connections",
                     "100",
                     "--lag-ms",
                     std::to_string(shape_.lag_ms),
                     "--history",
                     folder_ + "/" + endpoint.id + ".history"};
    for (const VmProcess& vm : entries) {
      endpoint.args.push_back("--announce");
      endpoint.args.push_back("http://" + Local(vm.http_port));
    }
    if (index++ > 0) {
      endpoint.args.push_back("--primary");
      endpoint.args.push_back(
          Local(endpoints[0].proxy_port + kReplicationOffset));
    }
    StartEndpoint(endpoint);
  }
  RunOutcome submitted;
  for (int i = 0; i < kGiveUpSeconds * 2; ++i) {
    submitted = Cli({"submit", "--environment", "production", "--replaces", "0",
                     "--file", folder_ + "/document.toml", "--id", "first"});
    if (submitted.status == 0) break;
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
  }
  BOOST_REQUIRE_MESSAGE(submitted.status == 0, submitted.output);
  for (const VmProcess& vm : entries) {
    Answer answer = RunUntilOk(vm.callers_port, kUser, kDatabase,
                               "CREATE TABLE IF NOT EXISTS t (k text primary "
                               "key, v text)",
                               kGiveUpSeconds);
    BOOST_REQUIRE_MESSAGE(answer.ok, vm.id + ": " + answer.message);
  }
}

void Cluster::Fault(const EndpointProcess& endpoint,
                    const std::string& command) {
  std::string joiner = command.find('?') == std::string::npos ? "?" : "&";
  Result<HttpResponse> response = CallHttp(
      Address{"127.0.0.1", proxy_admin_}, "POST",
      "/" + command + joiner + "route=" + std::to_string(endpoint.route), "",
      kHttpTimeout);
  BOOST_REQUIRE(response.has_value());
  BOOST_REQUIRE(response.value().status == 200);
}

void Cluster::Direct(const EndpointProcess& endpoint,
                     const std::string& command) {
  Result<HttpResponse> response =
      CallHttp(Address{"127.0.0.1", endpoint.admin_port}, "POST", "/" + command,
               "", kHttpTimeout);
  BOOST_REQUIRE(response.has_value());
  BOOST_REQUIRE(response.value().status == 200);
}

std::string Cluster::LeadingControl() {
  for (int i = 0; i < kGiveUpSeconds; ++i) {
    RunOutcome status = Cli({"status", "--environment", "production"});
    nlohmann::json json = nlohmann::json::parse(status.output, nullptr, false);
    if (json.is_object()) {
      for (const nlohmann::json& member : json["members"]) {
        if (member.value("leader", false)) return member["id"];
      }
    }
    Pause();
  }
  BOOST_FAIL("status names no leading control member");
  return "";
}

VmProcess& Cluster::Control(const std::string& id) {
  for (VmProcess& vm : control) {
    if (vm.id == id) return vm;
  }
  throw std::runtime_error("no control member " + id);
}

RunOutcome Cluster::Cli(std::vector<std::string> args) {
  std::string servers;
  for (const VmProcess& vm : control) {
    if (!servers.empty()) servers += ",";
    servers += Local(vm.http_port);
  }
  args.push_back("--server");
  args.push_back(servers);
  args.push_back("--output");
  args.push_back("json");
  return testing::Run("cardamomchute", args);
}

std::string Cluster::GroupField(const std::string& group,
                                const std::string& field) {
  for (int i = 0; i < kGiveUpSeconds; ++i) {
    RunOutcome status = Cli({"status", "--environment", "production"});
    nlohmann::json json = nlohmann::json::parse(status.output, nullptr, false);
    if (json.is_object()) {
      for (const nlohmann::json& entry : json["view"]["groups"]) {
        bool found = entry.value("id", "") == group;
        if (found && !entry.value(field, "").empty()) return entry[field];
      }
    }
    Pause();
  }
  BOOST_FAIL("status names no " + field + " of group " + group);
  return "";
}

std::string Cluster::OwnerOf(const std::string& group) {
  return GroupField(group, "owner");
}

std::string Cluster::PrimaryOf(const std::string& group) {
  return GroupField(group, "primary");
}

VmProcess& Cluster::Entry(const std::string& id) {
  for (VmProcess& vm : entries) {
    if (vm.id == id) return vm;
  }
  throw std::runtime_error("no entry " + id);
}

VmProcess& Cluster::OtherEntry(const std::string& owner) {
  for (VmProcess& vm : entries) {
    if (vm.id != owner) return vm;
  }
  throw std::runtime_error("no entry but " + owner);
}

EndpointProcess& Cluster::Endpoint(const std::string& id) {
  for (EndpointProcess& endpoint : endpoints) {
    if (endpoint.id == id) return endpoint;
  }
  throw std::runtime_error("no endpoint " + id);
}

}  // namespace cardamomchute::testing

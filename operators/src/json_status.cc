#include "cardamomchute/base/settings.h"
#include "cardamomchute/operators/document.h"
#include "cardamomchute/operators/json.h"
#include "json_codec.h"

namespace cardamomchute {
namespace {

using nlohmann::json;

json ToJson(const ControlMemberStatus& member) {
  return {{"id", member.id},
          {"leader", member.leader},
          {"reachable", member.reachable},
          {"applied_index", member.applied_index}};
}

ControlMemberStatus ReadMember(const json& object) {
  ControlMemberStatus member;
  object.at("id").get_to(member.id);
  object.at("leader").get_to(member.leader);
  object.at("reachable").get_to(member.reachable);
  object.at("applied_index").get_to(member.applied_index);
  return member;
}

json ToJson(const AcceptedDocument& document) {
  return {{"version", document.version},
          {"hash", document.hash},
          {"text", document.text}};
}

AcceptedDocument ReadDocument(const json& object) {
  AcceptedDocument document;
  object.at("version").get_to(document.version);
  object.at("hash").get_to(document.hash);
  object.at("text").get_to(document.text);
  DocumentOutcome parsed = ParseDocument(document.text);
  if (parsed.document) document.document = std::move(*parsed.document);
  return document;
}

json ToJson(const GroupId& id, const GroupState& group) {
  json object = {{"id", id},
                 {"owner", group.owner},
                 {"epoch", group.epoch},
                 {"primary", group.primary},
                 {"term", group.term}};
  if (group.failover) {
    object["failover"] = {{"candidate", group.failover->candidate},
                          {"old_term", group.failover->old_term}};
  }
  return object;
}

GroupState ReadGroup(const json& object) {
  GroupState group;
  object.at("owner").get_to(group.owner);
  object.at("epoch").get_to(group.epoch);
  object.at("primary").get_to(group.primary);
  object.at("term").get_to(group.term);
  if (!object.contains("failover")) return group;
  FailoverIntent intent;
  object["failover"].at("candidate").get_to(intent.candidate);
  object["failover"].at("old_term").get_to(intent.old_term);
  group.failover = intent;
  return group;
}

Address ReadAddress(const json& text) {
  return ParseAddress(text.get<std::string>()).value_or(Address{});
}

json ToJson(const EndpointState& endpoint) {
  return {{"id", endpoint.id},
          {"group", endpoint.group},
          {"address", ToString(endpoint.address)},
          {"zone", endpoint.zone},
          {"leaving", endpoint.leaving}};
}

EndpointState ReadEndpoint(const json& object) {
  EndpointState endpoint;
  object.at("id").get_to(endpoint.id);
  object.at("group").get_to(endpoint.group);
  endpoint.address = ReadAddress(object.at("address"));
  object.at("zone").get_to(endpoint.zone);
  object.at("leaving").get_to(endpoint.leaving);
  return endpoint;
}

json ToJson(const VmState& vm) {
  return {{"id", vm.id},
          {"zone", vm.zone},
          {"peer_address", ToString(vm.peer_address)},
          {"alive", vm.alive},
          {"draining", vm.draining},
          {"applied", vm.applied}};
}

VmState ReadVm(const json& object) {
  VmState vm;
  object.at("id").get_to(vm.id);
  object.at("zone").get_to(vm.zone);
  vm.peer_address = ReadAddress(object.at("peer_address"));
  object.at("alive").get_to(vm.alive);
  object.at("draining").get_to(vm.draining);
  object.at("applied").get_to(vm.applied);
  return vm;
}

json ToJson(const ClusterView& view) {
  json object = {{"environment", view.environment},
                 {"revision", view.revision},
                 {"groups", json::array()},
                 {"endpoints", json::array()},
                 {"vms", json::array()}};
  if (view.document) object["document"] = ToJson(*view.document);
  for (const auto& [id, group] : view.groups)
    object["groups"].push_back(ToJson(id, group));
  for (const auto& [id, endpoint] : view.endpoints)
    object["endpoints"].push_back(ToJson(endpoint));
  for (const auto& [id, vm] : view.vms) object["vms"].push_back(ToJson(vm));
  return object;
}

ClusterView ReadView(const json& object) {
  ClusterView view;
  object.at("environment").get_to(view.environment);
  object.at("revision").get_to(view.revision);
  if (object.contains("document"))
    view.document = ReadDocument(object["document"]);
  for (const json& group : object.at("groups"))
    view.groups[group.at("id").get<GroupId>()] = ReadGroup(group);
  for (const json& item : object.at("endpoints")) {
    EndpointState endpoint = ReadEndpoint(item);
    view.endpoints[endpoint.id] = endpoint;
  }
  for (const json& item : object.at("vms")) {
    VmState vm = ReadVm(item);
    view.vms[vm.id] = vm;
  }
  return view;
}

}  // namespace

std::string EncodeStatus(const StatusReport& report) {
  json object = {{"quorum_term", report.quorum_term},
                 {"members", json::array()},
                 {"problems", json::array()}};
  for (const ControlMemberStatus& member : report.members)
    object["members"].push_back(ToJson(member));
  for (const Problem& problem : report.problems) {
    object["problems"].push_back(
        {{"what", problem.what}, {"remedy", problem.remedy}});
  }
  object["view"] = ToJson(report.view);
  return Dump(object);
}

Result<StatusReport> DecodeStatus(std::string_view text) {
  return DecodeWith<StatusReport>(text, [](const json& object) {
    StatusReport report;
    object.at("quorum_term").get_to(report.quorum_term);
    for (const json& member : object.at("members"))
      report.members.push_back(ReadMember(member));
    for (const json& problem : object.at("problems")) {
      report.problems.push_back(
          Problem{problem.at("what").get<std::string>(),
                  problem.at("remedy").get<std::string>()});
    }
    report.view = ReadView(object.at("view"));
    return report;
  });
}

}  // namespace cardamomchute

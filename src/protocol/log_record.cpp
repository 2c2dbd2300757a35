#include "protocol/log_record.hpp"

#include "protocol/json_reader.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_from.hpp>
#include <fmt/format.h>

#include <array>
#include <limits>
#include <optional>
#include <utility>

namespace hornbeamrail {

namespace {

constexpr std::size_t max_record_bytes = 4 * 1024 * 1024;

/// Record kinds, in the order of the alternatives of `record_body`.
constexpr std::array<std::string_view, std::variant_size_v<record_body>> kinds{
    "config",           "key_grant",   "key_revoke",    "zone_out",           "zone_in",
    "vm_out",           "vm_in",       "node_register", "node_counted",       "node_leave",
    "node_reclaim",     "node_free",   "grant_delta",   "partitions_release", "planner_claim",
    "vm_add",           "vm_remove",   "vm_move",       "vm_move_done",       "maintenance_start",
    "maintenance_done", "task_submit", "task_state",    "task_cancel",        "snapshot_part"};

/// Names of the phases, in the order of `task_phase`.
constexpr std::array<std::string_view, 6> phases{"queued", "placed",    "finished",
                                                 "failed", "cancelled", "unknown"};

constexpr std::int64_t max_integer = std::numeric_limits<std::int64_t>::max();

log_offset read_offset(object_reader& reader, std::string_view name) {
    return reader.required_integer(name, 0, max_integer);
}

endpoint read_endpoint(object_reader& reader, std::string_view name) {
    const std::string text = reader.required_string(name);
    const auto parsed = parse_endpoint(text);
    if (!parsed) {
        reader.report(name, "expected an IP address and port", "write it as 127.0.0.1:8080");
        return {};
    }
    return *parsed;
}

boost::json::object encode(const key_grant_record& record) {
    return {{"key_id", record.key_id}, {"key_hash", record.key_hash}, {"team", record.team}};
}

boost::json::object encode(const key_revoke_record& record) {
    return {{"key_id", record.key_id}};
}

boost::json::object encode(const zone_out_record& record) {
    return {{"zone", record.zone}};
}

boost::json::object encode(const zone_in_record& record) {
    return {{"zone", record.zone}};
}

boost::json::object encode(const vm_out_record& record) {
    return {{"vm", record.vm}};
}

boost::json::object encode(const vm_in_record& record) {
    return {{"vm", record.vm}};
}

boost::json::object encode(const node_counted_record& record) {
    return {{"incarnation", record.incarnation}};
}

boost::json::object encode(const node_leave_record& record) {
    return {{"incarnation", record.incarnation}};
}

boost::json::object encode(const node_reclaim_record& record) {
    return {{"incarnation", record.incarnation}, {"vm_gone", record.vm_gone}};
}

boost::json::object encode(const node_free_record& record) {
    return {{"incarnation", record.incarnation}};
}

boost::json::object encode(const planner_claim_record& record) {
    return {{"incarnation", record.incarnation}, {"expected_epoch", record.expected_epoch}};
}

boost::json::object encode(const vm_move_record& record) {
    return {{"epoch", record.epoch}, {"vm", record.vm}, {"from", record.from}, {"to", record.to}};
}

boost::json::object encode(const vm_move_done_record& record) {
    return {{"epoch", record.epoch}, {"vm", record.vm}};
}

boost::json::object encode(const maintenance_start_record& record) {
    return {{"epoch", record.epoch}, {"vm", record.vm}};
}

boost::json::object encode(const task_cancel_record& record) {
    return {{"task_id", record.task_id}};
}

boost::json::object encode(const config_record& record) {
    return {{"expected_version", record.expected_version}, {"config", to_json(*record.config)}};
}

boost::json::object encode(const node_register_record& record) {
    return {{"node_id", record.node_id},
            {"peer_address", to_string(record.peer_address)},
            {"zone", record.zone},
            {"region", record.region},
            {"ended_before", record.ended_before}};
}

boost::json::object encode(const grant_delta_record& record) {
    boost::json::array deltas;
    for (const auto& delta : record.deltas) {
        deltas.push_back({{"team", delta.team}, {"units", delta.units}});
    }
    return {
        {"incarnation", record.incarnation}, {"sequence", record.sequence}, {"deltas", std::move(deltas)}};
}

boost::json::object encode(const partitions_release_record& record) {
    return {{"incarnation", record.incarnation}, {"partitions", boost::json::value_from(record.partitions)}};
}

boost::json::object encode(const vm_add_record& record) {
    boost::json::array vms;
    for (const auto& vm : record.vms) {
        vms.push_back(to_json(vm));
    }
    return {{"epoch", record.epoch}, {"vms", std::move(vms)}, {"at", record.at.time_since_epoch().count()}};
}

boost::json::object encode(const vm_remove_record& record) {
    return {{"epoch", record.epoch}, {"vms", boost::json::value_from(record.vms)}};
}

boost::json::object encode(const maintenance_done_record& record) {
    return {{"epoch", record.epoch}, {"vm", record.vm}, {"at", record.at.time_since_epoch().count()}};
}

boost::json::object encode(const task_submit_record& record) {
    return {{"incarnation", record.incarnation}, {"task", to_json(record.task)}};
}

boost::json::object encode(const task_state_record& record) {
    return {{"task_id", record.task_id},
            {"fencing_token", record.fencing_token},
            {"phase", to_string(record.phase)},
            {"vm", record.vm},
            {"detail", record.detail}};
}

boost::json::object encode(const snapshot_part_record& record) {
    return {{"snapshot_id", record.snapshot_id},
            {"next_offset", record.next_offset},
            {"part", record.part},
            {"parts", record.parts},
            {"sha256", record.sha256},
            {"data", record.data}};
}

void decode(object_reader& reader, key_grant_record& record) {
    record = {.key_id = reader.required_string("key_id"),
              .key_hash = reader.required_string("key_hash"),
              .team = reader.required_string("team")};
}

void decode(object_reader& reader, key_revoke_record& record) {
    record = {.key_id = reader.required_string("key_id")};
}

void decode(object_reader& reader, zone_out_record& record) {
    record = {.zone = reader.required_string("zone")};
}

void decode(object_reader& reader, zone_in_record& record) {
    record = {.zone = reader.required_string("zone")};
}

void decode(object_reader& reader, vm_out_record& record) {
    record = {.vm = reader.required_string("vm")};
}

void decode(object_reader& reader, vm_in_record& record) {
    record = {.vm = reader.required_string("vm")};
}

void decode(object_reader& reader, node_counted_record& record) {
    record = {.incarnation = read_offset(reader, "incarnation")};
}

void decode(object_reader& reader, node_leave_record& record) {
    record = {.incarnation = read_offset(reader, "incarnation")};
}

void decode(object_reader& reader, node_reclaim_record& record) {
    record = {.incarnation = read_offset(reader, "incarnation"),
              .vm_gone = reader.optional_bool("vm_gone", false)};
}

void decode(object_reader& reader, node_free_record& record) {
    record = {.incarnation = read_offset(reader, "incarnation")};
}

void decode(object_reader& reader, planner_claim_record& record) {
    record = {.incarnation = read_offset(reader, "incarnation"),
              .expected_epoch = read_offset(reader, "expected_epoch")};
}

void decode(object_reader& reader, vm_move_record& record) {
    record = {.epoch = read_offset(reader, "epoch"),
              .vm = reader.required_string("vm"),
              .from = reader.required_string("from"),
              .to = reader.required_string("to")};
}

void decode(object_reader& reader, vm_move_done_record& record) {
    record = {.epoch = read_offset(reader, "epoch"), .vm = reader.required_string("vm")};
}

void decode(object_reader& reader, maintenance_start_record& record) {
    record = {.epoch = read_offset(reader, "epoch"), .vm = reader.required_string("vm")};
}

void decode(object_reader& reader, task_cancel_record& record) {
    record = {.task_id = reader.required_string("task_id")};
}

void decode(object_reader& reader, config_record& record) {
    record.expected_version = read_offset(reader, "expected_version");
    std::vector<diagnostic> findings;
    const auto* document = reader.find("config");
    if (document == nullptr) {
        reader.report("config", "field is missing", "add the fleet configuration");
        return;
    }
    record.config = std::make_shared<const fleet_config>(read_fleet_config(*document, findings));
    if (!findings.empty()) {
        reader.report("config", findings.front().path + ": " + findings.front().message,
                      findings.front().remedy);
    }
}

void decode(object_reader& reader, node_register_record& record) {
    record = {.node_id = reader.required_string("node_id"),
              .peer_address = read_endpoint(reader, "peer_address"),
              .zone = reader.required_string("zone"),
              .region = reader.required_string("region"),
              .ended_before = reader.optional_integer("ended_before", 0, 0, max_integer)};
}

void decode(object_reader& reader, grant_delta_record& record) {
    record.incarnation = read_offset(reader, "incarnation");
    record.sequence = read_offset(reader, "sequence");
    std::vector<diagnostic> findings;
    std::size_t index = 0;
    for (const auto& element : reader.array("deltas", true)) {
        object_reader delta(element, indexed_path(reader.path_of("deltas"), index++), findings);
        record.deltas.push_back({.team = delta.required_string("team"),
                                 .units = delta.required_integer("units", -1'000'000, 1'000'000)});
    }
    if (!findings.empty()) {
        reader.report("deltas", findings.front().message, findings.front().remedy);
    }
}

void decode(object_reader& reader, partitions_release_record& record) {
    record.incarnation = read_offset(reader, "incarnation");
    for (const auto& element : reader.array("partitions", true)) {
        boost::system::error_code failure;
        const auto partition = element.is_number() ? element.to_number<int>(failure) : -1;
        if (failure || partition < 0 || partition >= claim_partition_count) {
            reader.report("partitions", "expected partition numbers", "use numbers from 0 to 63");
            return;
        }
        record.partitions.push_back(partition);
    }
}

void decode(object_reader& reader, vm_add_record& record) {
    record.epoch = read_offset(reader, "epoch");
    record.at =
        std::chrono::sys_seconds(std::chrono::seconds(reader.optional_integer("at", 0, 0, max_integer)));
    std::vector<diagnostic> findings;
    std::size_t index = 0;
    for (const auto& element : reader.array("vms", true)) {
        record.vms.push_back(
            read_vm_description(element, indexed_path(reader.path_of("vms"), index++), findings));
    }
    if (!findings.empty()) {
        reader.report("vms", findings.front().path + ": " + findings.front().message,
                      findings.front().remedy);
    }
}

void decode(object_reader& reader, vm_remove_record& record) {
    record = {.epoch = read_offset(reader, "epoch"), .vms = reader.string_array("vms", true)};
}

void decode(object_reader& reader, maintenance_done_record& record) {
    record = {.epoch = read_offset(reader, "epoch"),
              .vm = reader.required_string("vm"),
              .at = std::chrono::sys_seconds(std::chrono::seconds(read_offset(reader, "at")))};
}

void decode(object_reader& reader, task_submit_record& record) {
    record.incarnation = read_offset(reader, "incarnation");
    const auto* value = reader.find("task");
    if (value == nullptr) {
        reader.report("task", "field is missing", "add the task");
        return;
    }
    std::vector<diagnostic> findings;
    record.task = read_task_spec(*value, reader.path_of("task"), findings);
    if (!findings.empty()) {
        reader.report("task", findings.front().path + ": " + findings.front().message,
                      findings.front().remedy);
    }
}

void decode(object_reader& reader, task_state_record& record) {
    record.task_id = reader.required_string("task_id");
    record.fencing_token = read_offset(reader, "fencing_token");
    const auto phase = parse_task_phase(reader.required_string("phase"));
    if (!phase) {
        reader.report("phase", "unknown task phase",
                      "use one of queued, placed, finished, failed, cancelled, unknown");
    }
    record.phase = phase.value_or(task_phase::unknown);
    record.vm = reader.optional_string("vm", "");
    record.detail = reader.optional_string("detail", "");
}

void decode(object_reader& reader, snapshot_part_record& record) {
    record = {.snapshot_id = reader.required_string("snapshot_id"),
              .next_offset = read_offset(reader, "next_offset"),
              .part = read_offset(reader, "part"),
              .parts = read_offset(reader, "parts"),
              .sha256 = reader.required_string("sha256"),
              .data = reader.required_string("data")};
}

template <std::size_t Index = 0>
bool decode_kind(std::string_view kind, object_reader& reader, record_body& body) {
    if constexpr (Index == std::variant_size_v<record_body>) {
        return false;
    } else {
        if (kinds[Index] != kind) {
            return decode_kind<Index + 1>(kind, reader, body);
        }
        decode(reader, body.emplace<Index>());
        return true;
    }
}

} // namespace

std::string_view kind_of(const record_body& body) noexcept {
    return kinds[body.index()];
}

std::string_view to_string(task_phase phase) noexcept {
    return phases[static_cast<std::size_t>(phase)];
}

std::optional<task_phase> parse_task_phase(std::string_view text) noexcept {
    for (std::size_t index = 0; index < phases.size(); ++index) {
        if (phases[index] == text) {
            return static_cast<task_phase>(index);
        }
    }
    return std::nullopt;
}

boost::json::value to_json(const vm_description& vm) {
    return {{"id", vm.id},
            {"address", to_string(vm.address)},
            {"zone", vm.zone},
            {"rack", vm.rack},
            {"pool", vm.pool},
            {"cores", vm.cores},
            {"memory_mb", vm.memory_mb},
            {"accelerators", vm.accelerators}};
}

vm_description read_vm_description(const boost::json::value& value, std::string path,
                                   std::vector<diagnostic>& diagnostics) {
    object_reader reader(value, std::move(path), diagnostics);
    vm_description vm{.id = reader.required_string("id"),
                      .address = read_endpoint(reader, "address"),
                      .zone = reader.required_string("zone"),
                      .rack = reader.required_string("rack"),
                      .pool = reader.required_string("pool"),
                      .cores = reader.required_integer("cores", 0, 4096),
                      .memory_mb = reader.required_integer("memory_mb", 0, 1 << 30),
                      .accelerators = reader.optional_integer("accelerators", 0, 0, 1024)};
    return vm;
}

boost::json::value to_json(const task_spec& task) {
    return {{"id", task.id},
            {"team", task.team},
            {"service", task.service},
            {"cores", task.cores},
            {"memory_mb", task.memory_mb},
            {"accelerators", task.accelerators},
            {"run_ms", task.run_time.count()},
            {"idempotent", task.idempotent},
            {"urgent", task.urgent},
            {"key_id", task.key_id}};
}

task_spec read_task_spec(const boost::json::value& value, std::string path,
                         std::vector<diagnostic>& diagnostics) {
    object_reader reader(value, std::move(path), diagnostics);
    return {.id = reader.required_string("id"),
            .team = reader.required_string("team"),
            .service = reader.required_string("service"),
            .cores = reader.optional_integer("cores", 1, 0, 1 << 20),
            .memory_mb = reader.optional_integer("memory_mb", 1, 0, 1LL << 40),
            .accelerators = reader.optional_integer("accelerators", 0, 0, 1 << 20),
            .run_time = std::chrono::milliseconds(reader.optional_integer("run_ms", 0, 0, 1LL << 40)),
            .idempotent = reader.optional_bool("idempotent", true),
            .urgent = reader.optional_bool("urgent", false),
            .key_id = reader.optional_string("key_id", "")};
}

boost::json::value to_json(const log_record& record) {
    auto body = std::visit([](const auto& value) { return encode(value); }, record.body);
    return {{"format", log_record_format},
            {"change_id", record.change_id},
            {"kind", kind_of(record.body)},
            {"body", std::move(body)}};
}

std::string encode_record(const log_record& record) {
    return boost::json::serialize(to_json(record));
}

result<log_record> decode_record(std::string_view bytes) {
    constexpr auto remedy =
        "upgrade this binary if a newer one wrote the record, else report the record's offset";
    if (bytes.size() > max_record_bytes) {
        return make_error(errc::too_large, fmt::format("log record has {} bytes", bytes.size()), remedy);
    }
    boost::system::error_code failure;
    const auto document = boost::json::parse(bytes, failure);
    if (failure) {
        return make_error(errc::parse_failed, "log record is not JSON: " + failure.message(), remedy);
    }
    std::vector<diagnostic> findings;
    object_reader reader(document, "$", findings);
    // Every field of the previous format is known to this reader, so one decoder reads both.
    reader.required_integer("format", log_record_format - 1, log_record_format);
    log_record record{.change_id = reader.required_string("change_id"), .body = {}};
    const std::string kind = reader.required_string("kind");
    const auto* body = reader.find("body");
    if (body == nullptr) {
        return make_error(errc::parse_failed, "log record has no body", remedy);
    }
    object_reader fields(*body, "$.body", findings);
    if (!decode_kind(kind, fields, record.body)) {
        return make_error(errc::parse_failed, fmt::format("log record has unknown kind \"{}\"", kind),
                          remedy);
    }
    if (!findings.empty()) {
        return make_error(errc::parse_failed, findings.front().path + ": " + findings.front().message,
                          remedy);
    }
    return record;
}

} // namespace hornbeamrail

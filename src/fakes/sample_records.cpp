#include "fakes/sample_records.hpp"

#include <fmt/format.h>

#include <memory>
#include <utility>

namespace hornbeamrail {

namespace {

std::int64_t number(std::mt19937_64& generator) {
    return 1 + static_cast<std::int64_t>(generator() % 1000);
}

std::string text(std::mt19937_64& generator, std::string_view prefix) {
    return fmt::format("{}-{}", prefix, number(generator));
}

vm_description sample_vm(std::mt19937_64& generator) {
    return {.id = text(generator, "vm"),
            .address = {"10.0.0.1", static_cast<std::uint16_t>(number(generator))},
            .zone = text(generator, "zone"),
            .rack = text(generator, "rack"),
            .pool = text(generator, "pool"),
            .cores = number(generator),
            .memory_mb = number(generator),
            .accelerators = number(generator)};
}

task_spec sample_task(std::mt19937_64& generator) {
    return {.id = text(generator, "task"),
            .team = text(generator, "team"),
            .service = text(generator, "service"),
            .cores = number(generator) + 1,
            .memory_mb = number(generator) + 1,
            .accelerators = number(generator),
            .run_time = std::chrono::milliseconds(number(generator)),
            .idempotent = false,
            .urgent = true};
}

void fill(std::mt19937_64& generator, config_record& body) {
    body = {.expected_version = number(generator),
            .config = std::make_shared<const fleet_config>(sample_fleet_config())};
}

void fill(std::mt19937_64& generator, key_grant_record& body) {
    body = {.key_id = text(generator, "key"),
            .key_hash = text(generator, "hash"),
            .team = text(generator, "team")};
}

void fill(std::mt19937_64& generator, key_revoke_record& body) {
    body = {.key_id = text(generator, "key")};
}

void fill(std::mt19937_64& generator, zone_out_record& body) {
    body = {.zone = text(generator, "zone")};
}

void fill(std::mt19937_64& generator, zone_in_record& body) {
    body = {.zone = text(generator, "zone")};
}

void fill(std::mt19937_64& generator, vm_out_record& body) {
    body = {.vm = text(generator, "vm")};
}

void fill(std::mt19937_64& generator, vm_in_record& body) {
    body = {.vm = text(generator, "vm")};
}

void fill(std::mt19937_64& generator, node_register_record& body) {
    body = {.node_id = text(generator, "node"),
            .peer_address = {"::1", static_cast<std::uint16_t>(number(generator))},
            .zone = text(generator, "zone"),
            .region = text(generator, "region"),
            .ended_before = 7};
}

void fill(std::mt19937_64& generator, node_counted_record& body) {
    body = {.incarnation = number(generator)};
}

void fill(std::mt19937_64& generator, node_leave_record& body) {
    body = {.incarnation = number(generator)};
}

void fill(std::mt19937_64& generator, node_reclaim_record& body) {
    body = {.incarnation = number(generator), .vm_gone = true};
}

void fill(std::mt19937_64& generator, node_free_record& body) {
    body = {.incarnation = number(generator)};
}

void fill(std::mt19937_64& generator, grant_delta_record& body) {
    body = {.incarnation = number(generator),
            .sequence = number(generator),
            .deltas = {{text(generator, "team"), number(generator)},
                       {text(generator, "team"), -number(generator)}}};
}

void fill(std::mt19937_64& generator, partitions_release_record& body) {
    body = {.incarnation = number(generator), .partitions = {0, claim_partition_count - 1}};
}

void fill(std::mt19937_64& generator, planner_claim_record& body) {
    body = {.incarnation = number(generator), .expected_epoch = number(generator)};
}

void fill(std::mt19937_64& generator, vm_add_record& body) {
    body = {.epoch = number(generator), .vms = {sample_vm(generator), sample_vm(generator)}};
}

void fill(std::mt19937_64& generator, vm_remove_record& body) {
    body = {.epoch = number(generator), .vms = {text(generator, "vm"), text(generator, "vm")}};
}

void fill(std::mt19937_64& generator, vm_move_record& body) {
    body = {.epoch = number(generator),
            .vm = text(generator, "vm"),
            .from = text(generator, "pool"),
            .to = text(generator, "pool")};
}

void fill(std::mt19937_64& generator, vm_move_done_record& body) {
    body = {.epoch = number(generator), .vm = text(generator, "vm")};
}

void fill(std::mt19937_64& generator, maintenance_start_record& body) {
    body = {.epoch = number(generator), .vm = text(generator, "vm")};
}

void fill(std::mt19937_64& generator, maintenance_done_record& body) {
    body = {.epoch = number(generator),
            .vm = text(generator, "vm"),
            .at = std::chrono::sys_seconds(std::chrono::seconds(number(generator)))};
}

void fill(std::mt19937_64& generator, task_submit_record& body) {
    body = {.incarnation = number(generator), .task = sample_task(generator)};
}

void fill(std::mt19937_64& generator, task_state_record& body) {
    body = {.task_id = text(generator, "task"),
            .fencing_token = number(generator),
            .phase = task_phase::placed,
            .vm = text(generator, "vm"),
            .detail = "line one\nline \"two\""};
}

void fill(std::mt19937_64& generator, task_cancel_record& body) {
    body = {.task_id = text(generator, "task")};
}

void fill(std::mt19937_64& generator, snapshot_part_record& body) {
    body = {.snapshot_id = text(generator, "snapshot"),
            .next_offset = number(generator),
            .part = number(generator),
            .parts = number(generator),
            .sha256 = text(generator, "digest"),
            .data = "{\"nested\":[1,2]}"};
}

template <std::size_t... Kinds>
record_body make_body(std::size_t kind, std::mt19937_64& generator, std::index_sequence<Kinds...>) {
    record_body body;
    ((kind == Kinds ? fill(generator, body.emplace<Kinds>()) : void()), ...);
    return body;
}

} // namespace

fleet_config sample_fleet_config() {
    return {
        .site = "sample",
        .zones = {{.name = "a", .region = "r"}, {.name = "b", .region = "r"}},
        .pools = {{.name = "p1", .vms = 8, .min_vms = 4},
                  {.name = "p2", .vms = 8},
                  {.name = "spare", .vms = 2, .spare = true}},
        .services =
            {{.name = "base", .pool = "p1", .availability = {.max_failed_part = 0.0005}},
             {.name = "front", .pool = "p2", .depends_on = {"base"}, .open = true, .open_team = "public"}},
        .teams = {{.name = "large", .share = 70, .upper_limit = 100, .services = {"base", "front"}},
                  {.name = "public", .share = 10, .upper_limit = 8, .services = {"front"}}}};
}

log_record sample_record(std::size_t kind, std::mt19937_64& generator) {
    return {.change_id = text(generator, "change"),
            .body = make_body(kind, generator, std::make_index_sequence<record_kind_count>())};
}

} // namespace hornbeamrail

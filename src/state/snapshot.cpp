#include "state/snapshot.hpp"

#include "protocol/digest.hpp"
#include "state/byte_codec.hpp"

#include <algorithm>
#include <concepts>
#include <tuple>
#include <type_traits>
#include <utility>

namespace hornbeamrail {

namespace {

constexpr std::string_view format_header = "hornbeamrail-snapshot-2\n";
/// The previous format. It lacks the keys with which tasks were submitted.
constexpr std::string_view format_header_1 = "hornbeamrail-snapshot-1\n";
static_assert(format_header.size() == format_header_1.size());
constexpr std::size_t digest_size = 64; // SHA-256 in hexadecimal digits

/// Matches `Plain` and `const Plain`.
template <class Value, class Plain>
concept maybe_const = std::same_as<std::remove_const_t<Value>, Plain>;

// Encoded members of each type, in order. The same list serves writing (const values) and reading.
auto members(maybe_const<endpoint> auto& value) {
    return std::tie(value.address, value.port);
}
auto members(maybe_const<zone_config> auto& value) {
    return std::tie(value.name, value.region);
}
auto members(maybe_const<pool_config> auto& value) {
    return std::tie(value.name, value.vms, value.min_vms, value.cores_per_vm, value.memory_mb_per_vm,
                    value.accelerators_per_vm, value.spare);
}
auto members(maybe_const<availability_target> auto& value) {
    return std::tie(value.window, value.max_failed_part);
}
auto members(maybe_const<service_config> auto& value) {
    return std::tie(value.name, value.pool, value.depends_on, value.availability, value.open, value.open_team,
                    value.longest_run, value.queue_limit, value.slots_per_executor,
                    value.connections_per_executor);
}
auto members(maybe_const<team_config> auto& value) {
    return std::tie(value.name, value.share, value.upper_limit, value.services);
}
auto members(maybe_const<maintenance_config> auto& value) {
    return std::tie(value.period, value.max_parallel_part);
}
auto members(maybe_const<fleet_config> auto& value) {
    return std::tie(value.site, value.zones, value.pools, value.services, value.teams, value.maintenance);
}
auto members(maybe_const<key_info> auto& value) {
    return std::tie(value.key_id, value.key_hash, value.team, value.revoked);
}
auto members(maybe_const<node_info> auto& value) {
    return std::tie(value.incarnation, value.node_id, value.peer_address, value.zone, value.region,
                    value.counted, value.reclaim_offset, value.ended, value.grant_sequence);
}
auto members(maybe_const<vm_description> auto& value) {
    return std::tie(value.id, value.address, value.zone, value.rack, value.pool, value.cores, value.memory_mb,
                    value.accelerators);
}
auto members(maybe_const<vm_info> auto& value) {
    return std::tie(value.vm, value.out, value.operation, value.move_to, value.operation_offset,
                    value.operation_id, value.last_maintained);
}
auto members(maybe_const<planner_info> auto& value) {
    return std::tie(value.incarnation, value.epoch);
}
auto members(maybe_const<task_spec> auto& value) {
    return std::tie(value.id, value.team, value.service, value.cores, value.memory_mb, value.accelerators,
                    value.run_time, value.idempotent, value.urgent);
}
auto members(maybe_const<task_info> auto& value) {
    return std::tie(value.spec, value.owner, value.fencing_token, value.phase, value.vm, value.detail,
                    value.cancel_requested, value.submitted_at);
}
auto members(maybe_const<partition_info> auto& value) {
    return std::tie(value.owner, value.owned_since);
}
auto members(maybe_const<change_outcome> auto& value) {
    return std::tie(value.offset, value.accepted, value.reason);
}
template <class First, class Second>
auto members(const std::pair<First, Second>& value) {
    return std::tie(value.first, value.second);
}
template <class First, class Second>
auto members(std::pair<First, Second>& value) {
    return std::tie(value.first, value.second);
}

template <class Value>
concept duration_like = requires {
    typename Value::period;
};
template <class Value>
concept time_point_like = requires {
    typename Value::clock;
};
template <class Value>
concept map_like = requires {
    typename Value::mapped_type;
};
template <class Value>
concept list_like = requires(Value& value) {
    value.push_back(*value.begin());
};
template <class Value>
concept array_like = requires {
    std::tuple_size<Value>::value;
}
&&requires(Value& value) {
    value.fill({});
};

template <class Value>
void write(byte_writer& writer, const Value& value) {
    if constexpr (std::same_as<Value, std::string>) {
        writer.text(value);
    } else if constexpr (std::floating_point<Value>) {
        writer.number(value);
    } else if constexpr (std::integral<Value> || std::is_enum_v<Value>) {
        writer.integer(static_cast<std::int64_t>(value));
    } else if constexpr (duration_like<Value> && !time_point_like<Value>) {
        writer.integer(value.count());
    } else if constexpr (time_point_like<Value>) {
        writer.integer(value.time_since_epoch().count());
    } else if constexpr (array_like<Value>) {
        std::for_each(value.begin(), value.end(), [&](const auto& element) { write(writer, element); });
    } else if constexpr (map_like<Value> || list_like<Value>) {
        writer.integer(static_cast<std::int64_t>(value.size()));
        std::for_each(value.begin(), value.end(), [&](const auto& element) { write(writer, element); });
    } else {
        std::apply([&](const auto&... member) { (write(writer, member), ...); }, members(value));
    }
}

template <class Value>
void read(byte_reader& reader, Value& value) {
    if constexpr (std::same_as<Value, std::string>) {
        value = reader.text();
    } else if constexpr (std::floating_point<Value>) {
        value = reader.number();
    } else if constexpr (std::integral<Value> || std::is_enum_v<Value>) {
        value = static_cast<Value>(reader.integer());
    } else if constexpr (duration_like<Value> && !time_point_like<Value>) {
        value = Value(reader.integer());
    } else if constexpr (time_point_like<Value>) {
        value = Value(typename Value::duration(reader.integer()));
    } else if constexpr (array_like<Value>) {
        std::for_each(value.begin(), value.end(), [&](auto& element) { read(reader, element); });
    } else if constexpr (map_like<Value>) {
        for (auto remaining = reader.count(); remaining > 0 && !reader.failed(); --remaining) {
            std::pair<typename Value::key_type, typename Value::mapped_type> entry;
            read(reader, entry);
            value.emplace_hint(value.end(), std::move(entry));
        }
    } else if constexpr (list_like<Value>) {
        for (auto remaining = reader.count(); remaining > 0 && !reader.failed(); --remaining) {
            read(reader, value.emplace_back());
        }
    } else {
        std::apply([&](auto&... member) { (read(reader, member), ...); }, members(value));
    }
}

boost::leaf::error_id damaged_snapshot(std::string message) {
    return make_error(errc::parse_failed, std::move(message),
                      "use an older snapshot or one from a peer; a newer version may have written this one");
}

} // namespace

template <class State>
auto snapshot_codec::tables(State& state) {
    return std::tie(state.next, state.undecodable, state.version, state.current_planner,
                    state.snapshot_offset);
}

std::string snapshot_codec::encode(const fleet_state& state) {
    std::map<std::string, std::string> task_keys;
    for (const auto& [id, task] : *state.task_table) {
        task_keys.emplace(id, task.spec.key_id);
    }
    byte_writer writer;
    std::apply([&](const auto&... value) { (write(writer, value), ...); }, tables(state));
    write(writer, *state.current_config);
    write(writer, *state.key_table);
    write(writer, *state.out_zones);
    write(writer, *state.node_table);
    write(writer, *state.team_grants);
    write(writer, *state.claim_partitions);
    write(writer, *state.vm_table);
    write(writer, *state.task_table);
    write(writer, *state.ended_tasks);
    write(writer, static_cast<std::int64_t>(state.changes.all().size()));
    for (const auto& segment : state.changes.all()) {
        write(writer, *segment);
    }
    write(writer, task_keys);
    const auto& payload = writer.bytes();
    std::string bytes(format_header);
    bytes.reserve(format_header.size() + digest_size + payload.size());
    bytes += sha256_hex(payload);
    bytes += payload;
    return bytes;
}

result<fleet_state> snapshot_codec::decode(std::string_view bytes) {
    const bool has_task_keys = bytes.starts_with(format_header);
    if ((!has_task_keys && !bytes.starts_with(format_header_1)) ||
        bytes.size() < format_header.size() + digest_size) {
        return damaged_snapshot("snapshot has an unknown format");
    }
    const auto digest = bytes.substr(format_header.size(), digest_size);
    const auto payload = bytes.substr(format_header.size() + digest_size);
    if (sha256_hex(payload) != digest) {
        return damaged_snapshot("snapshot does not match its SHA-256");
    }
    byte_reader reader(payload);
    fleet_state state;
    std::apply([&](auto&... value) { (read(reader, value), ...); }, tables(state));
    fleet_config config;
    read(reader, config);
    state.current_config = std::make_shared<const fleet_config>(std::move(config));
    read(reader, state.key_table.write());
    read(reader, state.out_zones.write());
    read(reader, state.node_table.write());
    read(reader, state.team_grants.write());
    read(reader, state.claim_partitions.write());
    read(reader, state.vm_table.write());
    read(reader, state.task_table.write());
    read(reader, state.ended_tasks.write());
    // All segments except the newest are full, so inserting in order restores the same segments.
    for (auto segments = reader.count(); segments > 0 && !reader.failed(); --segments) {
        change_table::segment entries;
        read(reader, entries);
        for (auto& [change_id, outcome] : entries) {
            state.changes.insert(change_id, std::move(outcome));
        }
    }
    if (has_task_keys) {
        std::map<std::string, std::string> task_keys;
        read(reader, task_keys);
        for (auto& [id, key] : task_keys) {
            if (const auto task = state.task_table.write().find(id); task != state.task_table.write().end()) {
                task->second.spec.key_id = std::move(key);
            }
        }
    }
    if (reader.failed() || !reader.at_end()) {
        return damaged_snapshot("snapshot is truncated or has trailing bytes");
    }
    return state;
}

std::vector<snapshot_part_record> split_snapshot(const std::string& snapshot_id, log_offset next_offset,
                                                 std::string_view bytes, std::size_t part_bytes) {
    const auto digest = sha256_hex(bytes);
    const auto parts = static_cast<std::int64_t>((bytes.size() + part_bytes - 1) / part_bytes);
    std::vector<snapshot_part_record> records;
    for (std::int64_t part = 0; part < parts; ++part) {
        records.push_back(
            {.snapshot_id = snapshot_id,
             .next_offset = next_offset,
             .part = part,
             .parts = parts,
             .sha256 = digest,
             .data = base64_encode(bytes.substr(static_cast<std::size_t>(part) * part_bytes, part_bytes))});
    }
    return records;
}

std::optional<fleet_state> snapshot_assembler::add(const snapshot_part_record& part) {
    if (part.parts <= 0 || part.part < 0 || part.part >= part.parts) {
        return std::nullopt;
    }
    if (!this->partials.contains(part.snapshot_id)) {
        this->order.push_back(part.snapshot_id);
        if (this->order.size() > max_snapshots) {
            this->partials.erase(this->order.front());
            this->order.pop_front();
        }
    }
    auto& entry = this->partials[part.snapshot_id];
    entry.sha256 = part.sha256;
    entry.parts = part.parts;
    auto& data = entry.received[part.part];
    entry.bytes -= data.size();
    data = base64_decode(part.data);
    entry.bytes += data.size();
    if (entry.bytes > max_snapshot_bytes || static_cast<std::int64_t>(entry.received.size()) < entry.parts) {
        return std::nullopt;
    }
    std::string bytes;
    bytes.reserve(entry.bytes);
    for (const auto& [number, received] : entry.received) {
        bytes += received;
    }
    const bool intact = sha256_hex(bytes) == entry.sha256;
    this->partials.erase(part.snapshot_id);
    std::erase(this->order, part.snapshot_id);
    error failure;
    auto state =
        intact ? value_or_error([&] { return snapshot_codec::decode(bytes); }, failure) : std::nullopt;
    if (!state || state->next_offset() != part.next_offset) {
        ++this->damaged;
        return std::nullopt;
    }
    return state;
}

void snapshot_assembler::clear() {
    this->partials.clear();
    this->order.clear();
}

} // namespace hornbeamrail

#include "fakes/history.hpp"

#include <fmt/format.h>

#include <utility>

namespace hornbeamrail {

std::string_view to_string(event_kind kind) noexcept {
    switch (kind) {
    case event_kind::service_defined:
        return "service_defined";
    case event_kind::team_defined:
        return "team_defined";
    case event_kind::invoke:
        return "invoke";
    case event_kind::answer:
        return "answer";
    case event_kind::connection_lost:
        return "connection_lost";
    case event_kind::run_start:
        return "run_start";
    case event_kind::run_end:
        return "run_end";
    case event_kind::change_submitted:
        return "change_submitted";
    case event_kind::change_accepted:
        return "change_accepted";
    case event_kind::change_rejected:
        return "change_rejected";
    case event_kind::node_view:
        return "node_view";
    case event_kind::node_end:
        return "node_end";
    case event_kind::stop_begin:
        return "stop_begin";
    case event_kind::stop_end:
        return "stop_end";
    case event_kind::pool_view:
        return "pool_view";
    case event_kind::vm_in_pool:
        return "vm_in_pool";
    case event_kind::vm_ended:
        return "vm_ended";
    case event_kind::vm_leaving:
        return "vm_leaving";
    case event_kind::vm_returned:
        return "vm_returned";
    case event_kind::lease_granted:
        return "lease_granted";
    }
    return "";
}

std::string to_string(const history_event& event) {
    std::string line =
        fmt::format("{:>12.3f} ms {}", static_cast<double>(event.at.time_since_epoch().count()) / 1e3,
                    to_string(event.kind));
    const auto text = [&](std::string_view name, const std::string& value) {
        if (!value.empty()) {
            line += fmt::format(" {}={}", name, value.size() > 160 ? value.substr(0, 160) + "..." : value);
        }
    };
    const auto number = [&](std::string_view name, std::int64_t value) {
        if (value != 0) {
            line += fmt::format(" {}={}", name, value);
        }
    };
    text("node", event.node);
    text("request", event.request);
    number("attempt", event.attempt);
    number("run", event.run);
    text("service", event.service);
    text("team", event.team);
    text("key", event.key);
    text("vm", event.vm);
    text("zone", event.zone);
    text("pool", event.pool);
    text("change_id", event.change_id);
    text("text", event.text);
    number("status", event.status);
    text("outcome", event.outcome);
    number("units", event.units);
    number("version", event.version);
    text("body", event.body);
    if (event.kind == event_kind::node_view) {
        line += event.fresh ? " fresh" : " not_fresh";
    }
    if (!event.idempotent) {
        line += " non_idempotent";
    }
    return line;
}

void history_recorder::record(history_event event) {
    const std::lock_guard lock(this->mutex);
    this->entries.push_back(std::move(event));
}

std::vector<history_event> history_recorder::events() const {
    const std::lock_guard lock(this->mutex);
    return this->entries;
}

} // namespace hornbeamrail

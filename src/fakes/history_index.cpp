#include "fakes/history_index.hpp"

#include <algorithm>

namespace hornbeamrail::history_detail {

history_index::history_index(const std::vector<history_event>& events) : history(events) {
    for (size_t i = 0; i < events.size(); ++i) {
        const history_event& event = events[i];
        switch (event.kind) {
        case event_kind::service_defined:
            this->services[event.service] = i;
            break;
        case event_kind::team_defined:
            this->teams[event.team] = i;
            break;
        case event_kind::invoke:
            this->attempts[{event.request, event.attempt}].invoke = i;
            break;
        case event_kind::answer:
            this->attempts[{event.request, event.attempt}].answers.push_back(i);
            break;
        case event_kind::connection_lost:
            this->attempts[{event.request, event.attempt}].lost = i;
            break;
        case event_kind::run_start:
            this->attempts[{event.request, event.attempt}].runs.push_back(i);
            this->runs[event.run].start = i;
            break;
        case event_kind::run_end:
            this->runs[event.run].end = i;
            break;
        case event_kind::change_submitted:
            this->changes[event.change_id].submitted = i;
            break;
        case event_kind::change_accepted:
            this->changes[event.change_id].accepted = i;
            this->changes[event.change_id].version = event.version;
            break;
        case event_kind::change_rejected:
            this->changes[event.change_id].rejected = true;
            break;
        default:
            break;
        }
    }
}

std::int64_t unit_timeline::lowest(boot_time from, boot_time until) const {
    auto next = std::ranges::upper_bound(this->values, from, {}, &std::pair<boot_time, std::int64_t>::first);
    std::int64_t result = next == this->values.begin() ? 0 : std::prev(next)->second;
    for (; next != this->values.end() && next->first <= until; ++next) {
        result = std::min(result, next->second);
    }
    return result;
}

std::int64_t unit_timeline::highest(boot_time from, boot_time until) const {
    auto next = std::ranges::upper_bound(this->values, from, {}, &std::pair<boot_time, std::int64_t>::first);
    std::int64_t result = next == this->values.begin() ? 0 : std::prev(next)->second;
    for (; next != this->values.end() && next->first <= until; ++next) {
        result = std::max(result, next->second);
    }
    return result;
}

capacity_tracker::capacity_tracker(const history_index& events) {
    for (const auto& [name, definition] : events.services) {
        this->service_of_pool[events.at(definition).pool] = name;
    }
}

void capacity_tracker::update(const history_event& event, std::map<std::string, unit_timeline>& slots) {
    if (!this->apply(event)) {
        return;
    }
    std::map<std::string, std::int64_t> sums;
    for (const auto& [pool, service] : this->service_of_pool) {
        sums[service] = 0;
    }
    for (const auto& [id, vm] : this->vms) {
        const auto service = this->service_of_pool.find(vm.pool);
        if (service != this->service_of_pool.end() && !vm.leaving && !vm.out &&
            !this->zones_out.contains(vm.zone)) {
            sums[service->second] += vm.units;
        }
    }
    for (const auto& [service, sum] : sums) {
        slots[service].values.emplace_back(event.at, sum);
    }
}

bool capacity_tracker::apply(const history_event& event) {
    switch (event.kind) {
    case event_kind::vm_in_pool:
        this->vms[event.vm].pool = event.pool;
        this->vms[event.vm].zone = event.zone;
        this->vms[event.vm].units = event.units;
        return true;
    case event_kind::vm_ended:
        this->vms[event.vm].units = 0;
        return true;
    case event_kind::vm_leaving:
    case event_kind::vm_returned:
        this->vms[event.vm].leaving = event.kind == event_kind::vm_leaving;
        return true;
    case event_kind::change_accepted:
        return this->apply_change(event);
    default:
        return false;
    }
}

bool capacity_tracker::apply_change(const history_event& event) {
    if (event.text == "zone_out") {
        return this->zones_out.insert(event.zone).second;
    }
    if (event.text == "zone_in") {
        return this->zones_out.erase(event.zone) > 0;
    }
    if (event.text == "vm_out" || event.text == "vm_in") {
        this->vms[event.vm].out = event.text == "vm_out";
        return true;
    }
    return false;
}

} // namespace hornbeamrail::history_detail

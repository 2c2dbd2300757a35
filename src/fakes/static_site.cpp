#include "fakes/static_site.hpp"

#include <algorithm>
#include <cmath>
#include <set>

namespace hornbeamrail {

namespace {

using std::chrono::microseconds;

/// Serves one request on the slot that can start it first.
static_outcome serve(const site_arrival& arrival, std::vector<static_slot>& slots, bool skips_infeasible) {
    static_slot* best = nullptr;
    microseconds start = microseconds::max();
    for (static_slot& slot : slots) {
        const microseconds possible = slot.earliest(arrival.at);
        if (possible < start) {
            best = &slot;
            start = possible;
        }
    }
    const microseconds deadline = arrival.at + arrival.deadline;
    const bool is_infeasible = start >= deadline || (skips_infeasible && start + arrival.run_time > deadline);
    if (!best || is_infeasible) {
        return {};
    }
    const microseconds end = std::min(start + arrival.run_time, deadline);
    best->free_from = end;
    return {.done = start + arrival.run_time <= deadline, .started = start, .ended = end};
}

struct vm_timeline {
    std::string service;
    std::string zone;
    std::int64_t units = 0;
    bool leaving = false;
    bool out_of_service = false;
    bool has_open_window = false;
    std::map<std::string, std::vector<static_slot::window>> windows; ///< by service
};

void update_windows(vm_timeline& vm, const std::set<std::string>& zones_out, const std::string& service,
                    microseconds now) {
    const bool usable =
        !service.empty() && vm.units > 0 && !vm.leaving && !vm.out_of_service && !zones_out.contains(vm.zone);
    if (vm.has_open_window && (!usable || service != vm.service)) {
        vm.windows[vm.service].back().until = now;
        vm.has_open_window = false;
    }
    vm.service = service;
    if (usable && !vm.has_open_window) {
        vm.windows[service].push_back({now});
        vm.has_open_window = true;
    }
}

} // namespace

microseconds static_slot::earliest(microseconds arrival) const {
    const microseconds from = std::max(arrival, this->free_from);
    for (const window& open : this->windows) {
        if (from < open.until) {
            return std::max(from, open.from);
        }
    }
    return microseconds::max();
}

std::vector<static_outcome> run_static_site(const fleet_config& config,
                                            const std::vector<site_arrival>& arrivals,
                                            const static_site_options& options,
                                            static_slot::window zone_out) {
    std::map<std::string, std::vector<std::vector<static_slot>>> queues;
    for (const service_config& service : config.services) {
        const double slots =
            static_cast<double>(config.find_pool(service.pool)->vms * service.slots_per_executor);
        const auto total = static_cast<std::size_t>(std::llround(slots * options.scale));
        auto& nodes = queues[service.name];
        nodes.resize(static_cast<std::size_t>(options.nodes));
        for (std::size_t i = 0; i < total; ++i) {
            static_slot slot;
            if (i / nodes.size() % 3 == 0 && zone_out.from != microseconds::max()) {
                slot.windows = {{microseconds(0), zone_out.from}, {zone_out.until}};
            }
            nodes[i % nodes.size()].push_back(slot);
        }
    }
    std::vector<static_outcome> outcomes;
    outcomes.reserve(arrivals.size());
    for (std::size_t i = 0; i < arrivals.size(); ++i) {
        auto& nodes = queues[arrivals[i].service];
        outcomes.push_back(serve(arrivals[i], nodes[i % nodes.size()], options.skips_infeasible));
    }
    return outcomes;
}

std::vector<static_outcome> run_ideal_site(const std::vector<site_arrival>& arrivals,
                                           std::map<std::string, std::vector<static_slot>> slots) {
    std::vector<static_outcome> outcomes;
    outcomes.reserve(arrivals.size());
    for (const site_arrival& arrival : arrivals) {
        outcomes.push_back(serve(arrival, slots[arrival.service], true));
    }
    return outcomes;
}

std::map<std::string, std::vector<static_slot>> slots_in_service(const std::vector<history_event>& history,
                                                                 boot_time load_start) {
    std::map<std::string, std::string> service_of_pool;
    std::map<std::string, vm_timeline> vms;
    std::map<std::string, std::string> pool_of_vm;
    std::set<std::string> zones_out;
    for (const history_event& event : history) {
        const bool accepted = event.kind == event_kind::change_accepted;
        if (event.kind == event_kind::service_defined) {
            service_of_pool[event.pool] = event.service;
        } else if (event.kind == event_kind::vm_in_pool) {
            vms[event.vm].zone = event.zone;
            vms[event.vm].units = event.units;
            pool_of_vm[event.vm] = event.pool;
        } else if (event.kind == event_kind::vm_ended) {
            vms[event.vm].units = 0;
        } else if (event.kind == event_kind::vm_leaving || event.kind == event_kind::vm_returned) {
            vms[event.vm].leaving = event.kind == event_kind::vm_leaving;
        } else if (accepted && (event.text == "vm_out" || event.text == "vm_in")) {
            vms[event.vm].out_of_service = event.text == "vm_out";
        } else if (accepted && event.text == "zone_out") {
            zones_out.insert(event.zone);
        } else if (accepted && event.text == "zone_in") {
            zones_out.erase(event.zone);
        } else {
            continue;
        }
        const microseconds now = std::max(microseconds(0), event.at - load_start);
        for (auto& [id, vm] : vms) {
            const auto service = service_of_pool.find(pool_of_vm[id]);
            update_windows(vm, zones_out, service == service_of_pool.end() ? std::string() : service->second,
                           now);
        }
    }
    std::map<std::string, std::vector<static_slot>> slots;
    for (const auto& [id, vm] : vms) {
        for (const auto& [service, windows] : vm.windows) {
            for (int i = 0; i < 8; ++i) {
                slots[service].push_back({.windows = windows});
            }
        }
    }
    return slots;
}

} // namespace hornbeamrail

#include "node/executor_table.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <algorithm>
#include <cmath>

namespace hornbeamrail {

namespace {

/// The clock rate of each VM is off by at most 1%. A lease is therefore used for 2% less than its TTL, and
/// treated as possibly valid at the executor for 2% more.
constexpr double clock_margin = 0.02;

std::chrono::microseconds scaled(std::chrono::microseconds value, double factor) {
    return std::chrono::microseconds(std::llround(static_cast<double>(value.count()) * factor));
}

/// FNV-1a with a final mix. Each node ranks executors differently, so that nodes lease different subsets of a
/// large pool.
std::uint64_t rank_of(std::string_view text, std::uint64_t seed) {
    std::uint64_t hash = 14695981039346656037ULL ^ seed;
    for (const unsigned char c : text) {
        hash = (hash ^ c) * 1099511628211ULL;
    }
    hash ^= hash >> 31;
    return hash * 0x9E3779B97F4A7C15ULL;
}

} // namespace

executor_table::executor_table(options table_options) : settings(std::move(table_options)) {}

executor_table::executor* executor_table::find(std::string_view vm) {
    const auto found = this->executors.find(vm);
    return found == this->executors.end() ? nullptr : &found->second;
}

const executor_table::executor* executor_table::find(std::string_view vm) const {
    const auto found = this->executors.find(vm);
    return found == this->executors.end() ? nullptr : &found->second;
}

void executor_table::set_state(boot_time now, std::shared_ptr<const fleet_state> next) {
    if (next == this->state || next == nullptr) {
        return;
    }
    const auto previous = std::exchange(this->state, std::move(next));
    const bool same_zones = previous != nullptr && &previous->zones_out() == &this->state->zones_out();
    if (!same_zones && previous != nullptr) {
        for (const auto& [zone, offset] : previous->zones_out()) {
            if (!this->state->zone_is_out(zone)) {
                this->zone_returned[zone] = now;
            }
        }
    }
    if (previous == nullptr || &previous->vms() != &this->state->vms() ||
        previous->shared_config() != this->state->shared_config()) {
        this->rebuild(now);
    } else if (!same_zones) {
        this->update_zones(now);
    }
}

void executor_table::rebuild(boot_time now) {
    std::map<std::string, service_entry, std::less<>> old_services;
    old_services.swap(this->services);
    std::map<std::string_view, service_entry*> service_of_pool;
    for (const auto& config : this->state->config().services) {
        auto& service = this->services[config.name];
        service.name = config.name;
        service.slots_per_executor = config.slots_per_executor;
        if (const auto previous_service = old_services.find(config.name);
            previous_service != old_services.end()) {
            service.health = std::move(previous_service->second.health);
            service.target_slots = previous_service->second.target_slots;
        }
        service_of_pool[config.pool] = &service;
    }
    std::set<std::string, std::less<>> listed;
    for (const auto& [id, info] : this->state->vms()) {
        const auto found = service_of_pool.find(info.vm.pool);
        if (found == service_of_pool.end()) {
            continue;
        }
        auto& service = *found->second;
        auto& item = this->executors[id];
        if (item.service != service.name || item.address != info.vm.address) {
            // After a move another process answers at the VM, for which the old lease is not valid.
            if (item.due) {
                this->renewals.erase({*item.due, id});
            }
            this->expiries.erase({item.valid_until, id});
            item = executor{.in_flight = item.in_flight, .known_since = now};
            if (const auto previous_service = old_services.find(item.service);
                previous_service != old_services.end()) {
                previous_service->second.health.remove(id);
            }
        }
        item.vm = id;
        item.address = info.vm.address;
        item.zone = info.vm.zone;
        item.rack = info.vm.rack;
        item.service = service.name;
        item.in_service = info.in_service();
        item.zone_out = this->state->zone_is_out(info.vm.zone);
        item.index =
            service.placement.add({.rack = item.rack, .same_zone = item.zone == this->settings.zone});
        service.vm_by_index.push_back(id);
        service.ranked.push_back(id);
        service.health.add(id);
        listed.insert(id);
    }
    for (auto it = this->executors.begin(); it != this->executors.end();) {
        if (listed.contains(it->first)) {
            ++it;
            continue;
        }
        if (it->second.due) {
            this->renewals.erase({*it->second.due, it->first});
        }
        this->expiries.erase({it->second.valid_until, it->first});
        this->with_reduced_slots.erase(it->first);
        for (auto& [name, service] : this->services) {
            service.health.remove(it->first);
        }
        it = this->executors.erase(it);
    }
    for (auto& [name, service] : this->services) {
        const auto rank = [&](const std::string& vm) {
            return rank_of(vm, this->settings.seed);
        };
        std::sort(service.ranked.begin(), service.ranked.end(),
                  [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
        this->count_capacity(service);
        this->select_executors_to_lease(now, service);
    }
    for (auto& [id, item] : this->executors) {
        this->update_slots(now, item);
    }
}

void executor_table::update_zones(boot_time now) {
    for (auto& [id, item] : this->executors) {
        const bool out = this->state->zone_is_out(item.zone);
        if (out != item.zone_out) {
            item.zone_out = out;
            this->update_slots(now, item);
        }
    }
    for (auto& [name, service] : this->services) {
        this->count_capacity(service);
        this->select_executors_to_lease(now, service);
    }
}

void executor_table::count_capacity(service_entry& service) {
    std::int64_t usable = 0;
    std::int64_t in_zones_out = 0;
    std::int64_t in_usable_zones = 0;
    for (const auto& vm : service.vm_by_index) {
        const auto& item = this->executors.at(vm);
        usable += item.in_service && !item.zone_out && !item.leaving ? 1 : 0;
        in_zones_out += item.in_service && item.zone_out ? 1 : 0;
        in_usable_zones += item.in_service && !item.zone_out ? 1 : 0;
    }
    service.capacity = usable * service.slots_per_executor;
    service.all_zones_out = in_usable_zones == 0 && in_zones_out > 0;
}

void executor_table::select_executors_to_lease(boot_time now, service_entry& service) {
    // Twice the executors that the node's slots need, so that the best-of-two placement has candidates.
    const auto needed =
        2 * (service.target_slots + service.slots_per_executor - 1) / service.slots_per_executor;
    const auto count = std::max(this->settings.min_leases, needed);
    std::int64_t selected = 0;
    for (const auto& vm : service.ranked) {
        auto& item = this->executors.at(vm);
        item.should_lease = item.in_service && !item.zone_out && selected < count;
        if (!item.should_lease) {
            continue;
        }
        ++selected;
        if (!item.due && !item.renewing) {
            this->schedule_renewal(item, now);
        }
    }
}

void executor_table::set_target_slots(boot_time now, std::string_view name, std::int64_t slots) {
    const auto found = this->services.find(name);
    if (found == this->services.end() || found->second.target_slots == slots) {
        return;
    }
    found->second.target_slots = slots;
    this->select_executors_to_lease(now, found->second);
}

void executor_table::schedule_renewal(executor& item, boot_time at) {
    if (item.due) {
        this->renewals.erase({*item.due, item.vm});
    }
    item.due = at;
    this->renewals.emplace(at, item.vm);
}

bool executor_table::has_zone_without_ramp(boot_time now, const service_entry& service) const {
    return std::any_of(service.vm_by_index.begin(), service.vm_by_index.end(), [&](const std::string& vm) {
        const auto& item = this->executors.at(vm);
        const auto returned = this->zone_returned.find(item.zone);
        const bool ramps =
            returned != this->zone_returned.end() && now < returned->second + this->settings.zone_ramp;
        return item.in_service && !item.zone_out && !item.leaving && !ramps;
    });
}

std::int64_t executor_table::usable_slots(boot_time now, const executor& item,
                                          const service_entry& service) const {
    if (!item.may_start(now)) {
        return 0;
    }
    double weight = service.health.weight(now, item.vm);
    // The ramp shifts load gradually from other zones. If every usable zone ramps up, it would only leave
    // executors idle.
    if (const auto returned = this->zone_returned.find(item.zone);
        returned != this->zone_returned.end() && now < returned->second + this->settings.zone_ramp &&
        this->has_zone_without_ramp(now, service)) {
        weight = std::min(weight, ramp_weight(now, returned->second, this->settings.zone_ramp));
    }
    if (weight <= 0) {
        return 0;
    }
    const auto weighted_slots = static_cast<std::int64_t>(weight * static_cast<double>(item.slots));
    return std::min(item.slots, std::max<std::int64_t>(1, weighted_slots));
}

void executor_table::update_slots(boot_time now, executor& item) {
    auto& service = this->services.at(item.service);
    const auto slots = this->usable_slots(now, item, service);
    service.placement.update(item.index, slots, item.in_flight_of_others + item.in_flight);
    const bool reduced = item.may_start(now) && slots < item.slots;
    if (reduced) {
        this->with_reduced_slots.insert(item.vm);
    } else {
        this->with_reduced_slots.erase(item.vm);
    }
}

void executor_table::advance(boot_time now) {
    while (!this->expiries.empty() && this->expiries.begin()->first <= now) {
        const auto vm = this->expiries.begin()->second;
        this->expiries.erase(this->expiries.begin());
        if (auto* item = this->find(vm)) {
            this->update_slots(now, *item);
        }
    }
    // Ramps last seconds, so steps of 50 ms are small enough.
    if (now < this->ramps_updated + std::chrono::milliseconds(50)) {
        return;
    }
    this->ramps_updated = now;
    const auto reduced_vms = this->with_reduced_slots;
    for (const auto& vm : reduced_vms) {
        if (auto* item = this->find(vm)) {
            this->update_slots(now, *item);
        }
    }
}

std::vector<renew_lease> executor_table::due_renewals(boot_time now) {
    std::vector<renew_lease> due;
    while (!this->renewals.empty() && this->renewals.begin()->first <= now) {
        const auto vm = this->renewals.begin()->second;
        this->renewals.erase(this->renewals.begin());
        auto& item = this->executors.at(vm);
        item.due.reset();
        if (!item.should_lease || item.renewing) {
            continue;
        }
        item.renewing = true;
        item.in_flight_at_send = item.in_flight;
        due.push_back({.vm = vm, .address = item.address});
    }
    return due;
}

void executor_table::on_lease(boot_time now, std::string_view vm, boot_time sent_at,
                              const lease_answer& answer) {
    auto* item = this->find(vm);
    if (item == nullptr || sent_at < item->known_since) {
        return;
    }
    item->renewing = false;
    this->schedule_renewal(*item, std::max(now, sent_at + this->settings.lease_interval));
    const auto valid_until = sent_at + scaled(answer.ttl, 1 - clock_margin);
    if (valid_until > item->valid_until || answer.leaving) {
        this->expiries.erase({item->valid_until, item->vm});
        item->token = answer.token;
        item->valid_until = valid_until;
        item->executor_valid_until =
            std::max(item->executor_valid_until, now + scaled(answer.ttl, 1 + clock_margin));
        this->expiries.emplace(item->valid_until, item->vm);
        item->slots = answer.slots;
        // Work that this node started while the answer was in transit may be in both counts. The lower
        // estimate is used; the executor refuses a start beyond its slots.
        item->in_flight_of_others =
            std::max<std::int64_t>(0, answer.running - std::max(item->in_flight, item->in_flight_at_send));
    }
    if (answer.leaving != item->leaving) {
        item->leaving = answer.leaving;
        this->count_capacity(this->services.at(item->service));
    }
    this->update_slots(now, *item);
}

void executor_table::on_lease_failed(boot_time now, std::string_view vm) {
    if (auto* item = this->find(vm)) {
        item->renewing = false;
        this->schedule_renewal(*item, now + this->settings.lease_interval);
    }
}

std::optional<executor_table::reserved_slot> executor_table::reserve_slot(boot_time now,
                                                                          std::string_view name,
                                                                          std::string_view exclude,
                                                                          std::mt19937_64& random) {
    const auto found = this->services.find(name);
    if (found == this->services.end()) {
        return std::nullopt;
    }
    auto& service = found->second;
    std::optional<std::size_t> excluded;
    if (const auto* item = this->find(exclude); item != nullptr && item->service == name) {
        excluded = item->index;
    }
    while (const auto index = service.placement.choose(random, excluded)) {
        auto& item = this->executors.at(service.vm_by_index[*index]);
        if (!item.may_start(now)) {
            this->update_slots(now, item); // removes it from the placement pool
            continue;
        }
        ++item.in_flight;
        this->update_slots(now, item);
        return reserved_slot{.vm = item.vm,
                             .address = item.address,
                             .token = item.token,
                             .accepted_until = item.executor_valid_until};
    }
    return std::nullopt;
}

void executor_table::release_slot(boot_time now, std::string_view vm) {
    if (auto* item = this->find(vm)) {
        item->in_flight = std::max<std::int64_t>(0, item->in_flight - 1);
        this->update_slots(now, *item);
    }
}

void executor_table::record_health(boot_time now, std::string_view vm, bool failed) {
    auto* item = this->find(vm);
    if (item == nullptr) {
        return;
    }
    if (this->services.at(item->service).health.record(now, vm, failed)) {
        this->update_slots(now, *item);
    }
}

void executor_table::mark_full(boot_time now, std::string_view vm) {
    if (auto* item = this->find(vm)) {
        item->in_flight_of_others = std::max(item->in_flight_of_others, item->slots - item->in_flight);
        this->update_slots(now, *item);
    }
}

void executor_table::mark_lease_lapsed(boot_time now, std::string_view vm) {
    auto* item = this->find(vm);
    if (item == nullptr) {
        return;
    }
    this->expiries.erase({item->valid_until, item->vm});
    item->valid_until = std::min(item->valid_until, now);
    this->update_slots(now, *item);
    if (!item->renewing) {
        // Delayed, so that an executor that refuses every token is not called in a tight loop.
        this->schedule_renewal(*item, now + std::chrono::milliseconds(50));
    }
}

boot_time executor_table::accepted_until(const reserved_slot& slot) const {
    const auto* item = this->find(slot.vm);
    const bool extended = item != nullptr && item->token == slot.token;
    return extended ? std::max(slot.accepted_until, item->executor_valid_until) : slot.accepted_until;
}

std::int64_t executor_table::capacity(std::string_view service) const {
    const auto found = this->services.find(service);
    return found == this->services.end() ? 0 : found->second.capacity;
}

bool executor_table::all_zones_out(std::string_view service) const {
    const auto found = this->services.find(service);
    return found != this->services.end() && found->second.all_zones_out;
}

bool executor_table::has_free_slot(std::string_view service) const {
    const auto found = this->services.find(service);
    return found != this->services.end() && found->second.placement.has_free_slot();
}

boost::json::value executor_table::dump(boot_time now) const {
    boost::json::array list;
    for (const auto& [id, item] : this->executors) {
        const auto& service = this->services.at(item.service);
        list.push_back(boost::json::object{{"vm", id},
                                           {"service", item.service},
                                           {"zone", item.zone},
                                           {"rack", item.rack},
                                           {"in_service", item.in_service},
                                           {"zone_out", item.zone_out},
                                           {"leaving", item.leaving},
                                           {"lease_valid", now < item.valid_until},
                                           {"slots", item.slots},
                                           {"usable_slots", this->usable_slots(now, item, service)},
                                           {"in_flight", item.in_flight},
                                           {"others", item.in_flight_of_others},
                                           {"health_weight", service.health.weight(now, id)}});
    }
    return list;
}

} // namespace hornbeamrail

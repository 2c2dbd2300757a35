#include "node/executor_table.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <algorithm>
#include <cmath>

namespace hornbeamrail {

namespace {

/// Clocks of VMs differ by at most 1% each in rate; a lease is used for 2% less and waited out for 2% more.
constexpr double clock_margin = 0.02;

std::chrono::microseconds scaled(std::chrono::microseconds value, double factor) {
    return std::chrono::microseconds(std::llround(static_cast<double>(value.count()) * factor));
}

/// FNV-1a with a final mix: ranks executors per node, so that nodes lease different parts of a large pool.
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
    const auto before = std::exchange(this->state, std::move(next));
    const bool same_zones = before != nullptr && &before->zones_out() == &this->state->zones_out();
    if (!same_zones && before != nullptr) {
        for (const auto& [zone, offset] : before->zones_out()) {
            if (!this->state->zone_is_out(zone)) {
                this->zone_returned[zone] = now;
            }
        }
    }
    if (before == nullptr || &before->vms() != &this->state->vms() ||
        before->shared_config() != this->state->shared_config()) {
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
        if (const auto old = old_services.find(config.name); old != old_services.end()) {
            service.health = std::move(old->second.health);
            service.wanted_slots = old->second.wanted_slots;
        }
        service_of_pool[config.pool] = &service;
    }
    std::set<std::string, std::less<>> kept;
    for (const auto& [id, info] : this->state->vms()) {
        const auto found = service_of_pool.find(info.vm.pool);
        if (found == service_of_pool.end()) {
            continue;
        }
        auto& service = *found->second;
        auto& item = this->executors[id];
        if (item.service != service.name || item.address != info.vm.address) {
            // Another process answers at the VM after a move: the lease of the old one does not bind it.
            if (item.due) {
                this->renewals.erase({*item.due, id});
            }
            this->expiries.erase({item.valid_until, id});
            item = executor{.in_flight = item.in_flight, .since = now};
            if (const auto old = old_services.find(item.service); old != old_services.end()) {
                old->second.health.remove(id);
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
        service.vm_at.push_back(id);
        service.ranked.push_back(id);
        service.health.add(id);
        kept.insert(id);
    }
    for (auto it = this->executors.begin(); it != this->executors.end();) {
        if (kept.contains(it->first)) {
            ++it;
            continue;
        }
        if (it->second.due) {
            this->renewals.erase({*it->second.due, it->first});
        }
        this->expiries.erase({it->second.valid_until, it->first});
        this->ramping.erase(it->first);
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
        this->choose_wanted(now, service);
    }
    for (auto& [id, item] : this->executors) {
        this->refresh(now, item);
    }
}

void executor_table::update_zones(boot_time now) {
    for (auto& [id, item] : this->executors) {
        const bool out = this->state->zone_is_out(item.zone);
        if (out != item.zone_out) {
            item.zone_out = out;
            this->refresh(now, item);
        }
    }
    for (auto& [name, service] : this->services) {
        this->count_capacity(service);
        this->choose_wanted(now, service);
    }
}

void executor_table::count_capacity(service_entry& service) {
    std::int64_t usable = 0;
    std::int64_t in_lost_zones = 0;
    std::int64_t elsewhere = 0;
    for (const auto& vm : service.vm_at) {
        const auto& item = this->executors.at(vm);
        usable += item.in_service && !item.zone_out && !item.leaving ? 1 : 0;
        in_lost_zones += item.in_service && item.zone_out ? 1 : 0;
        elsewhere += item.in_service && !item.zone_out ? 1 : 0;
    }
    service.capacity = usable * service.slots_per_executor;
    service.all_zones_out = elsewhere == 0 && in_lost_zones > 0;
}

void executor_table::choose_wanted(boot_time now, service_entry& service) {
    // Twice the executors that the node's slots need: the rest gives the choice between two something to
    // choose from.
    const auto needed =
        2 * (service.wanted_slots + service.slots_per_executor - 1) / service.slots_per_executor;
    const auto count = std::max(this->settings.min_leases, needed);
    std::int64_t chosen = 0;
    for (const auto& vm : service.ranked) {
        auto& item = this->executors.at(vm);
        item.wanted = item.in_service && !item.zone_out && chosen < count;
        if (!item.wanted) {
            continue;
        }
        ++chosen;
        if (!item.due && !item.renewing) {
            this->schedule(item, now);
        }
    }
}

void executor_table::set_wanted_slots(boot_time now, std::string_view name, std::int64_t slots) {
    const auto found = this->services.find(name);
    if (found == this->services.end() || found->second.wanted_slots == slots) {
        return;
    }
    found->second.wanted_slots = slots;
    this->choose_wanted(now, found->second);
}

void executor_table::schedule(executor& item, boot_time at) {
    if (item.due) {
        this->renewals.erase({*item.due, item.vm});
    }
    item.due = at;
    this->renewals.emplace(at, item.vm);
}

bool executor_table::has_settled_zone(boot_time now, const service_entry& service) const {
    return std::any_of(service.vm_at.begin(), service.vm_at.end(), [&](const std::string& vm) {
        const auto& item = this->executors.at(vm);
        const auto returned = this->zone_returned.find(item.zone);
        const bool ramps =
            returned != this->zone_returned.end() && now < returned->second + this->settings.zone_ramp;
        return item.in_service && !item.zone_out && !item.leaving && !ramps;
    });
}

std::int64_t executor_table::slots_now(boot_time now, const executor& item,
                                       const service_entry& service) const {
    if (!item.may_start(now)) {
        return 0;
    }
    double weight = service.health.weight(now, item.vm);
    // The ramp shifts load from other zones; with none to shift from, it would only refuse work to idle
    // executors.
    if (const auto returned = this->zone_returned.find(item.zone);
        returned != this->zone_returned.end() && now < returned->second + this->settings.zone_ramp &&
        this->has_settled_zone(now, service)) {
        weight = std::min(weight, ramp_weight(now, returned->second, this->settings.zone_ramp));
    }
    if (weight <= 0) {
        return 0;
    }
    const auto part = static_cast<std::int64_t>(weight * static_cast<double>(item.slots));
    return std::min(item.slots, std::max<std::int64_t>(1, part));
}

void executor_table::refresh(boot_time now, executor& item) {
    auto& service = this->services.at(item.service);
    const auto slots = this->slots_now(now, item, service);
    service.placement.update(item.index, slots, item.others + item.in_flight);
    const bool reduced = item.may_start(now) && slots < item.slots;
    if (reduced) {
        this->ramping.insert(item.vm);
    } else {
        this->ramping.erase(item.vm);
    }
}

void executor_table::advance(boot_time now) {
    while (!this->expiries.empty() && this->expiries.begin()->first <= now) {
        const auto vm = this->expiries.begin()->second;
        this->expiries.erase(this->expiries.begin());
        if (auto* item = this->find(vm)) {
            this->refresh(now, *item);
        }
    }
    // Steps of 50 ms are fine enough for ramps of seconds.
    if (now < this->ramps_updated + std::chrono::milliseconds(50)) {
        return;
    }
    this->ramps_updated = now;
    const auto changing = this->ramping;
    for (const auto& vm : changing) {
        if (auto* item = this->find(vm)) {
            this->refresh(now, *item);
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
        if (!item.wanted || item.renewing) {
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
    if (item == nullptr || sent_at < item->since) {
        return;
    }
    item->renewing = false;
    this->schedule(*item, std::max(now, sent_at + this->settings.lease_interval));
    const auto valid_until = sent_at + scaled(answer.ttl, 1 - clock_margin);
    if (valid_until > item->valid_until || answer.leaving) {
        this->expiries.erase({item->valid_until, item->vm});
        item->token = answer.token;
        item->valid_until = valid_until;
        item->executor_end = std::max(item->executor_end, now + scaled(answer.ttl, 1 + clock_margin));
        this->expiries.emplace(item->valid_until, item->vm);
        item->slots = answer.slots;
        // Work that this node started while the answer was on its way may be in both counts; the lower is
        // taken, and the executor refuses a start above its slots.
        item->others =
            std::max<std::int64_t>(0, answer.running - std::max(item->in_flight, item->in_flight_at_send));
    }
    if (answer.leaving != item->leaving) {
        item->leaving = answer.leaving;
        this->count_capacity(this->services.at(item->service));
    }
    this->refresh(now, *item);
}

void executor_table::on_lease_failed(boot_time now, std::string_view vm) {
    if (auto* item = this->find(vm)) {
        item->renewing = false;
        this->schedule(*item, now + this->settings.lease_interval);
    }
}

std::optional<executor_table::choice> executor_table::take(boot_time now, std::string_view name,
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
        auto& item = this->executors.at(service.vm_at[*index]);
        if (!item.may_start(now)) {
            this->refresh(now, item); // takes it out of the choice
            continue;
        }
        ++item.in_flight;
        this->refresh(now, item);
        return choice{
            .vm = item.vm, .address = item.address, .token = item.token, .accepted_until = item.executor_end};
    }
    return std::nullopt;
}

void executor_table::give_back(boot_time now, std::string_view vm) {
    if (auto* item = this->find(vm)) {
        item->in_flight = std::max<std::int64_t>(0, item->in_flight - 1);
        this->refresh(now, *item);
    }
}

void executor_table::record_health(boot_time now, std::string_view vm, bool failed) {
    auto* item = this->find(vm);
    if (item == nullptr) {
        return;
    }
    if (this->services.at(item->service).health.record(now, vm, failed)) {
        this->refresh(now, *item);
    }
}

void executor_table::mark_full(boot_time now, std::string_view vm) {
    if (auto* item = this->find(vm)) {
        item->others = std::max(item->others, item->slots - item->in_flight);
        this->refresh(now, *item);
    }
}

void executor_table::mark_lease_lapsed(boot_time now, std::string_view vm) {
    auto* item = this->find(vm);
    if (item == nullptr) {
        return;
    }
    this->expiries.erase({item->valid_until, item->vm});
    item->valid_until = std::min(item->valid_until, now);
    this->refresh(now, *item);
    if (!item->renewing) {
        // Not at once: an executor that refuses each token must not be asked in a tight loop.
        this->schedule(*item, now + std::chrono::milliseconds(50));
    }
}

boot_time executor_table::accepted_until(const choice& taken) const {
    const auto* item = this->find(taken.vm);
    const bool extended = item != nullptr && item->token == taken.token;
    return extended ? std::max(taken.accepted_until, item->executor_end) : taken.accepted_until;
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
                                           {"usable_slots", this->slots_now(now, item, service)},
                                           {"in_flight", item.in_flight},
                                           {"others", item.others},
                                           {"health_weight", service.health.weight(now, id)}});
    }
    return list;
}

} // namespace hornbeamrail

#include "node/dispatcher_impl.hpp"

#include <algorithm>

namespace hornbeamrail {

void dispatcher::impl::update_state(boot_time now) {
    auto current = this->core.state();
    if (current == this->state || current == nullptr) {
        return;
    }
    this->state = std::move(current);
    this->executors.set_state(now, this->state);
    if (this->state->shared_config() != this->config) {
        this->apply_config();
        this->next_plan = now;
    }
    // A new record may have increased a grant.
    for (auto& [name, service] : this->services) {
        service.queue.unblock_all();
    }
}

void dispatcher::impl::apply_config() {
    this->config = this->state->shared_config();
    this->access = access_index(this->config);
    for (auto& [name, service] : this->services) {
        service.config = nullptr; // the entry stays for running requests; new ones get unknown_service
    }
    for (const auto& item : this->config->services) {
        auto& service = this->services[item.name];
        service.config = &item;
        service.queue.set_limit(item.queue_limit);
        service.availability.set_target(item.availability);
    }
}

void dispatcher::impl::plan(boot_time now) {
    this->next_plan = now + this->options.plan_interval;
    if (this->config == nullptr) {
        return;
    }
    auto fleet = this->core.demand_of_all_nodes();
    const auto self = this->core.incarnation();
    // The current demand of this node is newer than its last heartbeat and replaces it.
    std::erase_if(fleet.nodes, [&](const auto& node) { return node.incarnation == self; });
    fleet.nodes.push_back({.incarnation = self, .services = this->demand(now)});
    std::sort(fleet.nodes.begin(), fleet.nodes.end(),
              [](const auto& a, const auto& b) { return a.incarnation < b.incarnation; });
    const slot_planner planner(*this->config, fleet, self);
    std::map<std::string, std::vector<request_queue::team_summary>> teams;
    for (auto& [name, service] : this->services) {
        service.plan = planner.plan(name, this->executors.capacity(name));
        for (const auto& [team, share] : service.plan.slot_shares) {
            service.queue.set_slot_share(team, share);
        }
        service.queue.unblock_all();
        this->executors.set_target_slots(now, name, service.plan.node_slots);
        teams[name] = service.queue.teams();
    }
    this->plan_dependencies(teams);
}

void dispatcher::impl::plan_dependencies(
    const std::map<std::string, std::vector<request_queue::team_summary>>& teams) {
    for (auto& [name, service] : this->services) {
        for (auto& [team, load] : service.teams) {
            load.shed_fraction = 0;
        }
    }
    for (const auto& [name, dependency] : this->services) {
        if (const auto missing = this->missing_fraction(dependency); missing > 0) {
            this->shed_dependents(name, dependency.plan.capacity == 0, missing, teams);
        }
    }
}

double dispatcher::impl::missing_fraction(const service_entry& dependency) const {
    const auto* pool =
        dependency.config == nullptr ? nullptr : this->config->find_pool(dependency.config->pool);
    if (pool == nullptr) {
        return 0;
    }
    const auto planned = pool->vms * dependency.config->slots_per_executor;
    const auto capacity = dependency.plan.capacity;
    if (capacity == 0) {
        return 1;
    }
    // Short: less than half of the planned slots exist, and the demand exceeds them.
    if (2 * capacity >= planned || dependency.plan.demand <= capacity) {
        return 0;
    }
    return 1.0 - static_cast<double>(capacity) / static_cast<double>(dependency.plan.demand);
}

void dispatcher::impl::shed_dependents(
    const std::string& name, bool sheds_all, double missing,
    const std::map<std::string, std::vector<request_queue::team_summary>>& teams) {
    std::vector<shed_candidate> candidates;
    std::vector<team_load*> loads;
    double total = 0;
    for (auto& [dependent_name, dependent] : this->services) {
        if (dependent.config == nullptr ||
            std::find(dependent.config->depends_on.begin(), dependent.config->depends_on.end(), name) ==
                dependent.config->depends_on.end()) {
            continue;
        }
        const double budget = dependent.availability.at(this->next_plan).remaining;
        for (const auto& team : teams.at(dependent_name)) {
            const auto load = static_cast<double>(team.queued + team.running);
            candidates.push_back({.load = load, .fair_share = team.slot_share, .remaining_budget = budget});
            loads.push_back(&dependent.teams[team.team]);
            total += load;
        }
        if (sheds_all) {
            for (auto& [team, load] : dependent.teams) {
                load.shed_fraction = 1;
            }
        }
    }
    const auto fractions = plan_shedding(candidates, total * missing);
    for (std::size_t i = 0; i < fractions.size(); ++i) {
        loads[i]->shed_fraction = std::max(loads[i]->shed_fraction, fractions[i]);
    }
}

} // namespace hornbeamrail

#include "scheduler/scheduler_impl.hpp"

#include "protocol/durations.hpp"
#include "protocol/json_log.hpp"

#include <algorithm>
#include <cmath>

namespace hornbeamrail {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds demand_log_interval{1000};
/// A move that does not show in a VM list within this time is no longer expected.
constexpr milliseconds move_timeout{4000};

/// CPU that an account may still use, in millicores.
struct account_room {
    double left = 0;
    double upper_limit = 0;

    /// @return how much of @p wanted the account may use, by the rules of `account_limit`
    [[nodiscard]] double clip(double wanted, double task, bool must_not_wait) const {
        const bool may_exceed = must_not_wait && this->left * 2 > this->upper_limit;
        const auto most = may_exceed ? std::max(this->left, task) : this->left;
        return std::clamp(wanted, 0.0, std::max(0.0, most));
    }
};

/// Rooms by account; accounts without an upper limit have no entry.
using account_rooms = std::map<std::string_view, account_room>;

/// Adds the needs of the job's tasks that are ready to start and could run on another VM of its pool.
/// Best-effort tasks need no VM of their own.
void add_waiting_load(pool_load& load, account_rooms& rooms, const job_progress& job) {
    const auto room = rooms.find(job.spec.account);
    for (const auto& occurrence : job.occurrences) {
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
            const auto& spec = job.spec.steps[step];
            const auto need = static_cast<double>(spec.need.cpu_millicores);
            if (spec.best_effort || need > load.vm_millicores ||
                !job.is_released(occurrence, static_cast<std::int32_t>(step))) {
                continue;
            }
            auto waiting = static_cast<double>(occurrence.steps[step].waiting) * need;
            if (room != rooms.end()) {
                const bool must_not_wait = spec.long_running || job.active_tasks() == 0;
                waiting = room->second.clip(waiting, need, must_not_wait);
                room->second.left -= waiting;
            }
            load.waiting_millicores += waiting;
            if (spec.long_running) {
                load.long_running_vms = std::max(load.long_running_vms, spec.count);
            }
        }
    }
}

} // namespace

void scheduler::impl::count_arrival(job_progress& job, boot_time now) {
    if (job.is_long_running()) {
        return;
    }
    this->releases_allowed_from = std::min(this->releases_allowed_from, now + this->timings.move_warmup);
    this->count_rack_claims(job, now);
    const auto* account = this->config->find_account(job.spec.account);
    job.beyond_share = account != nullptr && !this->shares.admit(account->name, account->weight, now);
    if (job.beyond_share) {
        write_log(severity::info, "job_beyond_share",
                  {{"job", job.spec.id}, {"account", account->name}, {"weight", account->weight}});
        return;
    }
    double work = 0;
    for (const auto& step : job.spec.steps) {
        const auto duration = this->durations.expected(job.spec.queue, step.estimate);
        work += static_cast<double>(step.count) * static_cast<double>(step.need.cpu_millicores) *
                seconds_of(duration);
    }
    this->demand[this->pool_of(job)].arrivals.add(work, now);
}

bool scheduler::impl::has_batch_jobs() const {
    return !this->finals.empty() || std::any_of(this->jobs.begin(), this->jobs.end(), [](const auto& item) {
        return !item.second->is_long_running();
    });
}

void scheduler::impl::count_known_arrivals(boot_time now) {
    std::vector<job_progress*> known_jobs;
    for (const auto& [id, job] : this->jobs) {
        known_jobs.push_back(job.get());
    }
    std::sort(known_jobs.begin(), known_jobs.end(), [](const auto* first, const auto* second) {
        return first->spec.submitted < second->spec.submitted;
    });
    for (auto* job : known_jobs) {
        // Clocks of nodes differ, so times of submission count relative to the newest job.
        this->count_arrival(*job, now - (known_jobs.back()->spec.submitted - job->spec.submitted));
    }
}

std::map<std::string, pool_load> scheduler::impl::compute_pool_loads(boot_time now) {
    std::map<std::string, pool_load> loads;
    for (const auto& pool : this->config->pools) {
        loads[pool.name].arriving_millicores =
            this->demand[pool.name].arrivals.expected_millicores(now, this->timings.move_lead_time);
    }
    for (const auto& [id, worker] : this->workers) {
        auto& load = loads[worker.entry.pool];
        for (const auto& [task, placed] : worker.tasks) {
            if (placed.beyond_share) {
                continue; // uses free capacity and causes no move
            }
            (placed.long_running ? load.long_running_millicores : load.running_millicores) +=
                static_cast<double>(placed.need.cpu_millicores);
        }
    }
    for (const auto& [name, vm] : this->vms) {
        auto& load = loads[vm.pool];
        load.vm_millicores = std::max(load.vm_millicores, static_cast<double>(vm.capacity.cpu_millicores));
    }
    account_rooms rooms;
    for (const auto& account : this->config->accounts) {
        const auto found = this->account_use.find(account.name);
        const auto used = found == this->account_use.end() ? 0 : found->second.cpu_millicores;
        const auto upper_limit = account.upper_limit.cpu_millicores;
        if (upper_limit > 0) {
            rooms[account.name] = {.left = static_cast<double>(upper_limit - used),
                                   .upper_limit = static_cast<double>(upper_limit)};
        }
    }
    for (const auto& [id, job] : this->jobs) {
        if (!is_final(job->state) && !job->beyond_share && !this->is_set_aside(id, now)) {
            add_waiting_load(loads[this->pool_of(*job)], rooms, *job);
        }
    }
    return loads;
}

void scheduler::impl::update_need(pool_need& entry, const pool_load& load, boot_time now) {
    entry.needed = needed_vms(load);
    auto& needs = this->demand[entry.pool].needs;
    needs.emplace_back(now, entry.needed);
    while (needs.front().first + this->timings.need_window < now) {
        needs.pop_front();
    }
    entry.recent_peak_needed =
        std::max_element(needs.begin(), needs.end(), [](const auto& first, const auto& second) {
            return first.second < second.second;
        })->second;
}

bool scheduler::impl::is_unserved(const vm_entry& vm, boot_time now) {
    const auto worker = this->workers.find(vm.worker);
    const auto block =
        worker == this->workers.end() ? worker_block::not_listed : this->find_block(worker->second, now);
    const bool has_usable_worker = block != worker_block::not_listed && block != worker_block::unresponsive &&
                                   block != worker_block::unconfirmed;
    if (vm.condition != vm_condition::up || has_usable_worker) {
        this->unserved_since.erase(vm.id);
        return false;
    }
    const auto since = this->unserved_since.emplace(vm.id, now).first->second;
    return now > since + this->timings.unserved_after;
}

pool_need scheduler::impl::compute_need(const worker_pool_config& pool, const pool_load& load,
                                        std::vector<movable_vm>& movable, boot_time now) {
    pool_need entry{.pool = pool.name, .spare = pool.spare};
    if (!pool.spare) {
        this->update_need(entry, load, now);
    }
    entry.may_release = now > this->releases_allowed_from;
    entry.wanted_racks = this->find_wanted_racks(pool.name, now);
    for (const auto& [name, vm] : this->vms) {
        const auto move = this->vm_moves.find(name);
        if ((move == this->vm_moves.end() ? vm.pool : move->second.first) != pool.name) {
            continue;
        }
        const auto worker = this->workers.find(vm.worker);
        const bool has_worker = worker != this->workers.end();
        const bool unserved = !pool.spare && this->is_unserved(vm, now);
        const bool usable = !unserved && !this->zones_out.contains(vm.zone) &&
                            vm.condition != vm_condition::down && vm.condition != vm_condition::maintenance &&
                            !(has_worker && worker->second.entry.draining) && !this->is_next_in_wave(name);
        entry.vms += usable ? 1 : 0;
        const bool idle = pool.spare || (has_worker && worker->second.tasks.empty() &&
                                         worker->second.confirmed && !worker->second.is_unresponsive());
        if (usable && idle && vm.condition == vm_condition::up && !this->has_pending_vm_order(name)) {
            movable.push_back({.id = name,
                               .pool = pool.name,
                               .idle = true,
                               .rack = vm.labels.empty() ? std::string() : vm.labels.back()});
        }
    }
    return entry;
}

void scheduler::impl::plan_moves(boot_time now) {
    if (now < this->last_move_plan + this->timings.move_interval || this->vm_list_as_of == boot_time{}) {
        return;
    }
    this->last_move_plan = now;
    for (auto at = this->vm_moves.begin(); at != this->vm_moves.end();) {
        const auto& [target, ordered] = at->second;
        const auto vm = this->vms.find(at->first);
        const bool arrived = vm != this->vms.end() && vm->second.pool == target &&
                             this->vm_list_as_of > ordered && vm->second.condition == vm_condition::up;
        const bool ended = arrived || now > ordered + move_timeout;
        this->dispatch_due = this->dispatch_due || ended; // its worker may have joined before
        at = ended ? this->vm_moves.erase(at) : std::next(at);
    }
    this->forget_idle_racks(now);
    auto loads = this->compute_pool_loads(now);
    std::vector<pool_need> pools;
    std::vector<movable_vm> movable;
    for (const auto& pool : this->config->pools) {
        pools.push_back(this->compute_need(pool, loads[pool.name], movable, now));
    }
    if (now >= this->last_demand_log + demand_log_interval) {
        this->last_demand_log = now;
        for (const auto& pool : pools) {
            const auto& load = loads[pool.pool];
            write_log(severity::info, "pool_demand",
                      {{"pool", pool.pool},
                       {"vms", pool.vms},
                       {"needed", pool.needed},
                       {"long_running_cores", std::llround(load.long_running_millicores / 1000)},
                       {"running_cores", std::llround(load.running_millicores / 1000)},
                       {"waiting_cores", std::llround(load.waiting_millicores / 1000)},
                       {"arriving_cores", std::llround(load.arriving_millicores / 1000)}});
        }
    }
    const auto bounds = bounds_of_plan(this->vms.size(), this->options.limits.vm_orders_per_second,
                                       this->timings.move_interval);
    for (const auto& move : plan_pool_moves(pools, movable, bounds)) {
        this->vm_moves[move.vm] = {move.to_pool, now};
        this->vm_orders[move.vm] = now;
        write_log(severity::info, "move_ordered",
                  {{"vm", move.vm}, {"from", this->vms[move.vm].pool}, {"to", move.to_pool}});
        this->add_action(order_move{.order = {.vm = move.vm,
                                              .pool = move.to_pool,
                                              .holder = this->options.node_id,
                                              .fence = this->term,
                                              .send_before = this->vm_orders_allowed_until()}});
    }
}

} // namespace hornbeamrail

#include "coordination/scheduler_impl.hpp"

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

milliseconds mean_time_since_placement(const step_progress& step, boot_time now) {
    std::chrono::microseconds total{0};
    std::int64_t active = 0;
    for (const auto& task : step.tasks) {
        if (task.phase == run_phase::placed || task.phase == run_phase::running) {
            total += now - task.placed_at;
            ++active;
        }
    }
    return active == 0 ? milliseconds(0) : to_millis(total / active);
}

/// Adds the VMs that the long-running steps of the job need to stay apart, and the CPU of their tasks that
/// wait.
void add_long_running_load(pool_load& load, const job_progress& job) {
    for (const auto& occurrence : job.occurrences) {
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
            const auto& spec = job.spec.steps[step];
            if (!spec.long_running || !job.is_released(occurrence, static_cast<std::int32_t>(step))) {
                continue;
            }
            load.long_running_vms = std::max(load.long_running_vms, spec.count);
            if (!spec.best_effort) {
                load.long_running_millicores += static_cast<double>(occurrence.steps[step].waiting) *
                                                static_cast<double>(spec.need.cpu_millicores);
            }
        }
    }
}

} // namespace

void scheduler::impl::count_arrival(job_progress& job, boot_time now) {
    if (job.is_long_running()) {
        return;
    }
    const auto* account = this->config->find_account(job.spec.account);
    job.beyond_share = account != nullptr && !this->shares.admit(account->name, account->weight, now);
    if (job.beyond_share) {
        write_log(severity::info, "job_beyond_share",
                  {{"job", job.spec.id}, {"account", account->name}, {"weight", account->weight}});
        return;
    }
    std::vector<forecast_step> steps;
    for (const auto& step : job.spec.steps) {
        steps.push_back(this->make_forecast_step(job, step));
        steps.back().waiting = step.count;
    }
    this->demand[this->pool_of(job)].arrivals.add(work_within(steps, this->timings.move_lead_time), now);
}

forecast_step scheduler::impl::make_forecast_step(const job_progress& job, const step_spec& step) const {
    const auto learned = this->durations.find(job.spec.queue);
    const bool counts = !step.best_effort && !step.long_running;
    return {.task_millicores = counts ? static_cast<double>(step.need.cpu_millicores) : 0,
            .duration =
                learned == this->durations.end() ? step.estimate : learned->second.predict(step.estimate),
            .after = step.after};
}

double scheduler::impl::forecast_job(const job_progress& job, boot_time now) const {
    double millicores = 0;
    std::vector<forecast_step> steps;
    for (const auto& occurrence : job.occurrences) {
        steps.clear();
        for (std::size_t number = 0; number < occurrence.steps.size(); ++number) {
            auto& step = steps.emplace_back(this->make_forecast_step(job, job.spec.steps[number]));
            const auto& progress = occurrence.steps[number];
            step.waiting = progress.waiting;
            step.running = progress.active();
            step.elapsed = mean_time_since_placement(progress, now);
        }
        millicores += forecast_millicores(steps, this->timings.move_lead_time);
    }
    return millicores;
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
        // The jobs arrive evenly spread over the time until then, so the rate at half that time counts.
        loads[pool.name].arriving_millicores =
            this->demand[pool.name].arrivals.expected_millicores(now, this->timings.move_lead_time / 2);
    }
    for (const auto& [id, worker] : this->workers) {
        auto& load = loads[worker.entry.pool];
        load.vm_millicores =
            std::max(load.vm_millicores, static_cast<double>(worker.entry.capacity.cpu_millicores));
        for (const auto& [task, placed] : worker.tasks) {
            if (placed.long_running && !placed.beyond_share) {
                load.long_running_millicores += static_cast<double>(placed.need.cpu_millicores);
            }
        }
    }
    for (const auto& [name, vm] : this->vms) {
        auto& load = loads[vm.pool];
        load.vm_millicores = std::max(load.vm_millicores, static_cast<double>(vm.capacity.cpu_millicores));
    }
    for (const auto& [id, job] : this->jobs) {
        if (is_final(job->state) || job->beyond_share) {
            continue; // a job beyond its share uses free capacity and causes no move
        }
        auto& load = loads[this->pool_of(*job)];
        add_long_running_load(load, *job);
        load.known_millicores += this->forecast_job(*job, now);
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

pool_need scheduler::impl::compute_need(const worker_pool_config& pool, const pool_load& load,
                                        std::vector<movable_vm>& movable, boot_time now) {
    pool_need entry{.pool = pool.name, .spare = pool.spare};
    if (!pool.spare) {
        this->update_need(entry, load, now);
    }
    entry.may_release = now > this->releases_allowed_from;
    for (const auto& [name, vm] : this->vms) {
        const auto move = this->vm_moves.find(name);
        if ((move == this->vm_moves.end() ? vm.pool : move->second.first) != pool.name) {
            continue;
        }
        const auto worker = this->workers.find(vm.worker);
        const bool has_worker = worker != this->workers.end();
        const bool usable = !this->zones_out.contains(vm.zone) && vm.condition != vm_condition::down &&
                            vm.condition != vm_condition::maintenance &&
                            !(has_worker && worker->second.entry.draining) && !this->is_next_in_wave(name);
        entry.vms += usable ? 1 : 0;
        const bool idle = pool.spare || (has_worker && worker->second.tasks.empty() &&
                                         worker->second.confirmed && !worker->second.is_unresponsive());
        if (usable && idle && vm.condition == vm_condition::up && !this->has_pending_vm_order(name)) {
            movable.push_back({.id = name, .pool = pool.name, .idle = true});
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
        at = arrived || now > ordered + move_timeout ? this->vm_moves.erase(at) : std::next(at);
    }
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
                       {"lasting_cores", std::llround(load.long_running_millicores / 1000)},
                       {"known_cores", std::llround(load.known_millicores / 1000)},
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

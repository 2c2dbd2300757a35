#include "scheduler/scheduler_impl.hpp"

#include "protocol/json_log.hpp"

#include <algorithm>

// Loss of workers that do not answer: what shows that their runs have ended.

namespace hornbeamrail {

bool scheduler::impl::has_task_at_work(const std::string& id) const {
    const auto job = this->jobs.find(id);
    const auto is_at_work = [this](const task_progress& task) {
        const auto worker = this->workers.find(task.worker);
        return (task.phase == run_phase::placed || task.phase == run_phase::running) &&
               worker != this->workers.end() && !worker->second.is_unresponsive();
    };
    const auto step_is_at_work = [&](const step_progress& step) {
        return step.active() > 0 && std::any_of(step.tasks.begin(), step.tasks.end(), is_at_work);
    };
    return job != this->jobs.end() &&
           std::any_of(
               job->second->occurrences.begin(), job->second->occurrences.end(), [&](const auto& occurrence) {
                   return std::any_of(occurrence.steps.begin(), occurrence.steps.end(), step_is_at_work);
               });
}

bool scheduler::impl::may_run_despite(const worker_control& worker, const task_id& id,
                                      const placement& placed, loss_evidence evidence, boot_time now) const {
    if (!placed.may_be_elsewhere || evidence == loss_evidence::replaced) {
        return false;
    }
    if (evidence == loss_evidence::leases_expired) {
        return now <= worker.late_lease_bound;
    }
    const bool was_executed = placed.stage == start_stage::confirmed;
    // A long-running task must not be away for that long if the worker never comes back.
    if (was_executed || placed.long_running ||
        now > placed.stage_entered + this->timings.longest_order_delay) {
        return false;
    }
    // Nor must a job of which nothing is at work.
    const bool waits_for_long =
        worker.vm_not_up_since && now > *worker.vm_not_up_since + this->timings.longest_wait_for_vm;
    return !waits_for_long || this->has_task_at_work(id.job);
}

bool scheduler::impl::declare_worker_lost(const std::string& id, const worker_loss& loss, boot_time now) {
    const auto found = this->workers.find(id);
    if (found == this->workers.end()) {
        return false;
    }
    auto& worker = found->second;
    auto ended = worker.tasks;
    std::erase_if(ended, [&](const auto& item) {
        return this->may_run_despite(worker, item.first, item.second, loss.evidence, now);
    });
    const auto kept = worker.tasks.size() - ended.size();
    if (ended.empty() && kept > 0) {
        return false;
    }
    write_log(severity::warning, "worker_lost",
              {{"worker", id}, {"reason", loss.reason}, {"tasks", ended.size()}, {"tasks_kept", kept}});
    for (const auto& [task_name, placed] : ended) {
        auto* job = this->find_job(task_name.job);
        auto* task = job == nullptr ? nullptr : job->find_task(task_name);
        this->remove_placement(worker, task_name, job == nullptr ? "" : job->spec.account);
        if (task != nullptr && task->run == placed.run) {
            this->requeue(*job, task_name, *task, now);
            this->advance_job(*job, now);
        }
    }
    this->drop_acknowledgements(id);
    this->raise_fence(worker, now); // an order in flight may reach the worker if it lives and comes back
    if (kept > 0) {
        worker.process = {}; // it lists its ends again if it comes back
        return false;
    }
    this->workers.erase(found);
    return true;
}

std::optional<worker_loss> scheduler::impl::find_loss(const std::string& id, const worker_control& worker,
                                                      boot_time now) const {
    if (this->vm_list_as_of > worker.unanswered_since) {
        const auto vm = this->vms.find(worker.vm);
        const bool is_known = vm != this->vms.end();
        if (!worker.vm.empty() && !is_known) {
            return worker_loss{loss_evidence::replaced, "the VM is gone"};
        }
        if (is_known && !vm->second.worker.empty() && vm->second.worker != id) {
            return worker_loss{loss_evidence::replaced, "the VM runs another worker"};
        }
        if (!this->vm_of_worker.contains(id)) {
            return worker_loss{loss_evidence::vm_not_up, "no VM runs the worker"};
        }
        if (is_known && vm->second.condition != vm_condition::up) {
            return worker_loss{loss_evidence::vm_not_up, "the VM is not up"};
        }
    }
    if (now > worker.lease_bound) {
        return worker_loss{loss_evidence::leases_expired, "all leases have expired"};
    }
    return std::nullopt;
}

void scheduler::impl::check_unresponsive_workers(boot_time now) {
    if (now < this->last_worker_check + this->timings.worker_check_interval) {
        return;
    }
    this->last_worker_check = now;
    std::vector<std::string> unresponsive;
    for (const auto& [id, worker] : this->workers) {
        const bool missed_two_holds = worker.unanswered_holds >= 2;
        if (missed_two_holds && !(worker.listed && worker.tasks.empty())) {
            unresponsive.push_back(id);
        }
    }
    for (const auto& id : unresponsive) {
        auto& worker = this->workers.at(id);
        const auto loss = this->find_loss(id, worker, now);
        if (!loss || loss->evidence != loss_evidence::vm_not_up) {
            worker.vm_not_up_since.reset();
        } else if (!worker.vm_not_up_since) {
            worker.vm_not_up_since = now;
        }
        if (!loss) {
            continue;
        }
        const bool listed = worker.listed;
        auto entry = worker.entry;
        if (this->declare_worker_lost(id, *loss, now) && listed) {
            auto& relisted = this->workers[id]; // its holds continue, because it may recover
            relisted.entry = std::move(entry);
            relisted.listed = true;
            relisted.listed_since = now;
            relisted.unanswered_holds = 2;
            relisted.unanswered_since = now;
            relisted.next_hold = now + this->timings.hold_retry * 2;
            relisted.lease_bound = now;
        }
    }
}

void scheduler::impl::request_vm_list(boot_time now) {
    const bool has_unresponsive_worker =
        std::any_of(this->workers.begin(), this->workers.end(), [](const auto& item) {
            return item.second.is_unresponsive() && !item.second.tasks.empty();
        });
    const bool has_open_moves = !this->vm_moves.empty();
    const bool has_open_waves = std::any_of(this->waves.begin(), this->waves.end(),
                                            [](const auto& item) { return !item.second.completed; });
    const auto interval = has_unresponsive_worker || has_open_waves || has_open_moves
                              ? this->timings.vm_list_interval
                              : this->timings.vm_list_idle_interval;
    if (this->vm_list_in_flight || now < this->vm_list_requested + interval) {
        return;
    }
    this->vm_list_in_flight = true;
    this->vm_list_requested = now;
    this->add_action(read_vm_list{});
}

void scheduler::on_vm_list(const std::vector<vm_entry>& vms, boot_time requested_at, boot_time now) {
    auto& state = *this->self;
    if (requested_at < state.term_begin || requested_at < state.vm_list_as_of) {
        return; // requested in an earlier term, or older than the list that is known
    }
    state.vm_list_in_flight = false;
    state.vm_list_as_of = requested_at;
    const auto before = std::exchange(state.vm_of_worker, {});
    state.vms.clear();
    for (const auto& vm : vms) {
        state.vms[vm.id] = vm;
        if (vm.worker.empty()) {
            continue;
        }
        state.vm_of_worker[vm.worker] = vm.id;
        if (const auto worker = state.workers.find(vm.worker); worker != state.workers.end()) {
            worker->second.vm = vm.id;
        }
    }
    std::erase_if(state.unserved_since, [&](const auto& item) { return !state.vms.contains(item.first); });
    state.declare_replaced_workers_lost(before, now);
}

// A VM that was moved, maintained or given another worker has ended its previous worker.
void scheduler::impl::declare_replaced_workers_lost(const std::map<std::string, std::string>& before,
                                                    boot_time now) {
    for (const auto& [worker, name] : before) {
        const auto vm = this->vms.find(name);
        if (vm == this->vms.end() || !this->workers.contains(worker)) {
            continue;
        }
        const bool is_out_of_service =
            vm->second.condition == vm_condition::moving || vm->second.condition == vm_condition::maintenance;
        const bool is_replaced = !vm->second.worker.empty() && vm->second.worker != worker;
        if (is_out_of_service || is_replaced) {
            const auto* reason =
                is_out_of_service ? "the VM is in a move or maintenance" : "the VM runs another worker";
            this->declare_worker_lost(worker, {loss_evidence::replaced, reason}, now);
        }
    }
}

void scheduler::on_vm_list_failed(boot_time) {
    this->self->vm_list_in_flight = false;
}

} // namespace hornbeamrail

#include "fakes/site_simulation.hpp"

#include "fakes/site_callers.hpp"
#include "fakes/site_operators.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

namespace hornbeamrail {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Time between the end of a node process and the start of the next one, unless the fault sets it.
constexpr milliseconds restart_delay{1500};

/// One run of a site: builds it, injects the planned faults and collects the result.
class site_run {
public:
    explicit site_run(const site_options& settings);
    site_result run();

private:
    struct entry_slot {
        node_identity identity;
        std::shared_ptr<simulated_node> node;
        int processes = 0;
        bool restart_pending = false;
    };

    void define_fleet();
    void add_machines();
    void start_node(entry_slot& slot);
    void watch_nodes();
    void bootstrap();
    void sample_idle();
    [[nodiscard]] std::shared_ptr<simulated_node> pick_node();
    [[nodiscard]] std::shared_ptr<simulated_node> find_node(const endpoint& address) const;
    [[nodiscard]] entry_slot& slot_of(std::uint64_t choice) {
        return this->slots[choice % this->slots.size()];
    }
    /// @return every @p one_in -th live VM, counted from an offset that @p choice determines
    [[nodiscard]] std::vector<std::string> select_vms(std::uint64_t choice, std::size_t one_in) const;
    [[nodiscard]] const std::string& zone_of(std::uint64_t choice) const {
        return this->site.config.zones[choice % this->site.config.zones.size()].name;
    }

    void inject(const planned_fault& fault);
    void worker_wave(const planned_fault& fault);
    void zone_drill(const planned_fault& fault);
    void zone_loss(const planned_fault& fault);
    void log_fault(const planned_fault& fault);
    void cut(const planned_fault& fault);
    void operator_race(const planned_fault& fault);
    void key_change(const planned_fault& fault);
    void vm_out_and_in(const planned_fault& fault);
    void vm_leave(const planned_fault& fault);
    void executor_fault(const planned_fault& fault);
    void resubmissions(const planned_fault& fault);
    void replace_node(entry_slot& slot);
    void after(boot_clock::duration delay, std::function<void()> action) {
        this->site.queue.after(delay, std::move(action));
    }

    site_options options;
    site_world site;
    site_operators operators;
    site_callers callers;
    std::vector<entry_slot> slots;
    bool under_load = false;
};

site_run::site_run(const site_options& settings)
    : options(settings), site(settings.seed, make_site_config(settings.shape)),
      operators(this->site, [this] { return this->pick_node(); }),
      callers(this->site, this->operators,
              make_arrivals(this->site.config,
                            [&] {
                                workload_options workload = settings.workload;
                                workload.seed = settings.seed * 7919 + 17;
                                return workload;
                            }()),
              settings.client_delay, [this] { return this->pick_node(); }) {
    this->site.reboot_without_drain = settings.defects.reboots_busy_vms;
}

void site_run::define_fleet() {
    for (const service_config& service : this->site.config.services) {
        this->site.history.record({.at = this->site.now(),
                                   .kind = event_kind::service_defined,
                                   .service = service.name,
                                   .team = service.open_team,
                                   .pool = service.pool,
                                   .max_failed_fraction = service.availability.max_failed_part,
                                   .duration = this->options.budget_window,
                                   .open = service.open});
    }
    for (const team_config& team : this->site.config.teams) {
        this->site.history.record({.at = this->site.now(),
                                   .kind = event_kind::team_defined,
                                   .team = team.name,
                                   .names = team.services,
                                   .units = team.upper_limit});
    }
}

void site_run::add_machines() {
    int number = 0;
    for (const pool_config& pool : this->site.config.pools) {
        for (std::int64_t i = 0; i < pool.vms; ++i, ++number) {
            const std::string& zone = this->site.config.zones[static_cast<std::size_t>(number % 3)].name;
            this->site.add_vm(fmt::format("vm{:02}", number), zone,
                              fmt::format("{}-rack{}", zone, number / 12), pool.name);
        }
    }
    for (int i = 0; i < this->options.nodes; ++i) {
        const std::string& zone = this->site.config.zones[static_cast<std::size_t>(i % 3)].name;
        this->slots.push_back({.identity = {.node_id = fmt::format("entry{}", i + 1),
                                            .address = {fmt::format("10.0.0.{}", i + 1), 7000},
                                            .zone = zone,
                                            .wall_start = this->options.wall_start,
                                            .defective = i == 0}});
    }
    for (entry_slot& slot : this->slots) {
        for (const entry_slot& other : this->slots) {
            slot.identity.seeds.push_back(other.identity.address);
        }
        this->start_node(slot);
    }
}

void site_run::start_node(entry_slot& slot) {
    slot.identity.process = fmt::format("{}#{}", slot.identity.node_id, ++slot.processes);
    this->site.link.set_zone(slot.identity.node_id, slot.identity.zone);
    const auto& listed = this->site.vms.truth().vms;
    if (std::ranges::none_of(listed,
                             [&](const vm_listing& vm) { return vm.vm.id == slot.identity.node_id; })) {
        this->site.vms.add(this->site.now(), {.vm = {.id = slot.identity.node_id,
                                                     .address = slot.identity.address,
                                                     .zone = slot.identity.zone},
                                              .kind = vm_kind::entry});
    }
    slot.node = std::make_shared<simulated_node>(
        this->site, slot.identity, this->options.timings, this->options.defects, this->callers.events(),
        [this](const endpoint& address) { return this->find_node(address); });
    slot.node->start();
}

void site_run::watch_nodes() {
    for (entry_slot& slot : this->slots) {
        if (slot.node->alive() || std::exchange(slot.restart_pending, true)) {
            continue;
        }
        this->after(restart_delay, [this, &slot] {
            slot.restart_pending = false;
            this->start_node(slot);
        });
    }
    this->after(milliseconds(100), [this] { this->watch_nodes(); });
}

std::shared_ptr<simulated_node> site_run::find_node(const endpoint& address) const {
    const auto found = std::ranges::find_if(this->slots, [&](const entry_slot& slot) {
        return slot.identity.address == address && slot.node && slot.node->alive();
    });
    return found == this->slots.end() ? nullptr : found->node;
}

std::shared_ptr<simulated_node> site_run::pick_node() {
    std::vector<std::shared_ptr<simulated_node>> healthy;
    std::vector<std::shared_ptr<simulated_node>> alive;
    for (const entry_slot& slot : this->slots) {
        if (slot.node->alive()) {
            alive.push_back(slot.node);
        }
        if (slot.node->healthy()) {
            healthy.push_back(slot.node);
        }
    }
    // The load balancer's health checks lag, so some requests reach a node whose check fails.
    const auto& candidates = healthy.empty() || this->site.random.chance(0.02) ? alive : healthy;
    return candidates.empty() ? nullptr : candidates[this->site.random.next() % candidates.size()];
}

void site_run::bootstrap() {
    this->operators.submit(config_record{.expected_version = 0,
                                         .config = std::make_shared<const fleet_config>(this->site.config)},
                           {.text = "config"}, [this](bool) {
                               for (const team_config& team : this->site.config.teams) {
                                   this->operators.grant_key(team.name);
                               }
                           });
}

void site_run::sample_idle() {
    if (this->under_load) {
        this->site.sample_idle(milliseconds(100));
    }
    this->after(milliseconds(100), [this] { this->sample_idle(); });
}

site_result site_run::run() {
    this->define_fleet();
    this->add_machines();
    this->watch_nodes();
    this->bootstrap();
    this->sample_idle();
    this->after(this->options.warm_up, [this] {
        this->under_load = true;
        this->callers.start();
        for (const planned_fault& fault : this->options.faults) {
            this->after(fault.at, [this, fault] { this->inject(fault); });
        }
        this->after(this->options.workload.length, [this] { this->under_load = false; });
    });
    this->site.queue.run_until(site_world::start + this->options.warm_up + this->options.workload.length +
                               this->options.settle_time);
    site_result result{.history = this->site.history.events(),
                       .arrivals = this->callers.arrivals(),
                       .outcomes = this->callers.outcomes()};
    result.figures.offered = std::ssize(result.arrivals);
    for (const request_outcome& outcome : result.outcomes) {
        result.figures.completed += outcome.done ? 1 : 0;
        if (!outcome.done) {
            ++result.figures.refusals[outcome.error.empty() ? "no_answer" : outcome.error];
        }
    }
    result.figures.vm_moves = this->site.reboots;
    result.figures.roll_out = this->operators.roll_out();
    for (const pool_config& pool : this->site.config.pools) {
        result.figures.idle_slot_seconds[pool.name] = this->site.idle_slot_seconds(pool.name);
    }
    return result;
}

std::vector<std::string> site_run::select_vms(std::uint64_t choice, std::size_t one_in) const {
    std::vector<std::string> selected;
    std::size_t number = choice;
    for (const auto& [id, vm] : const_cast<site_world&>(this->site).machines()) {
        if (vm.alive && ++number % one_in == 0) {
            selected.push_back(id);
        }
    }
    return selected;
}

void site_run::inject(const planned_fault& fault) {
    entry_slot& slot = this->slot_of(fault.choice);
    switch (fault.kind) {
    case fault_kind::worker_wave:
        return this->worker_wave(fault);
    case fault_kind::zone_drill:
        return this->zone_drill(fault);
    case fault_kind::zone_loss:
        return this->zone_loss(fault);
    case fault_kind::log_outage:
    case fault_kind::log_slow:
    case fault_kind::lost_appends:
        return this->log_fault(fault);
    case fault_kind::node_pause:
        return slot.node->pause(fault.length);
    case fault_kind::node_kill:
        return slot.node->end("killed");
    case fault_kind::node_replace:
        return this->replace_node(slot);
    case fault_kind::node_stop:
        return slot.node->begin_stop();
    case fault_kind::link_cut:
    case fault_kind::one_way_cut:
        return this->cut(fault);
    case fault_kind::operator_race:
        return this->operator_race(fault);
    case fault_kind::key_change:
        return this->key_change(fault);
    case fault_kind::vm_drain:
        return this->vm_out_and_in(fault);
    case fault_kind::vm_leave:
        return this->vm_leave(fault);
    case fault_kind::cancel_wave:
        return this->callers.cancel(0.5);
    case fault_kind::failing_executors:
    case fault_kind::lying_executors:
    case fault_kind::slow_executors:
        return this->executor_fault(fault);
    case fault_kind::resubmissions:
        return this->resubmissions(fault);
    }
}

void site_run::worker_wave(const planned_fault& fault) {
    const auto wave = this->select_vms(fault.choice, 3);
    for (std::size_t i = 0; i < wave.size(); ++i) {
        this->after(milliseconds(20 * i), [this, id = wave[i]] { this->site.crash_vm(id); });
        this->after(fault.length + milliseconds(20 * i), [this, id = wave[i], replaced = i % 2 == 0] {
            if (replaced) {
                this->site.replace_vm(id);
            } else {
                this->site.restart_vm(id);
            }
        });
    }
}

void site_run::zone_drill(const planned_fault& fault) {
    const std::string zone = this->zone_of(fault.choice);
    this->operators.submit(
        zone_out_record{zone}, {.zone = zone, .text = "zone_out"}, [this, zone, fault](bool) {
            this->after(fault.length, [this, zone] {
                this->operators.submit(zone_in_record{zone}, {.zone = zone, .text = "zone_in"});
            });
        });
}

void site_run::zone_loss(const planned_fault& fault) {
    const std::string zone = this->zone_of(fault.choice);
    std::vector<std::string> lost;
    for (const auto& [id, vm] : this->site.machines()) {
        if (vm.description.zone == zone && vm.alive) {
            lost.push_back(id);
        }
    }
    for (const std::string& id : lost) {
        this->site.crash_vm(id);
        this->after(fault.length, [this, id] { this->site.restart_vm(id); });
    }
    for (entry_slot& slot : this->slots) {
        if (slot.identity.zone == zone && slot.node->alive()) {
            slot.node->end("killed");
            slot.restart_pending = true;
            this->after(fault.length, [this, &slot] {
                slot.restart_pending = false;
                this->start_node(slot);
            });
        }
    }
}

void site_run::log_fault(const planned_fault& fault) {
    fake_log_options& log = this->site.log.faults();
    if (fault.kind == fault_kind::log_outage) {
        log.down = true;
        this->after(fault.length, [&log] { log.down = false; });
    } else if (fault.kind == fault_kind::log_slow) {
        log.delay = milliseconds(300 + fault.choice % 700);
        this->after(fault.length, [&log] { log.delay = fake_log_options().delay; });
    } else {
        log.lost_answer_fraction = 0.5;
        log.duplicate_fraction = 0.2;
        this->after(fault.length, [&log] {
            log.lost_answer_fraction = 0;
            log.duplicate_fraction = 0;
        });
    }
}

void site_run::cut(const planned_fault& fault) {
    const std::string node = this->slot_of(fault.choice).identity.node_id;
    std::vector<std::string> others;
    for (const entry_slot& slot : this->slots) {
        others.push_back(slot.identity.node_id);
    }
    // Bits of the choice decide whether the node also loses the platform and the VMs, and select the
    // direction of a one-way cut.
    if (fault.choice & 0x100) {
        others.push_back(site_world::platform);
    }
    if (fault.choice & 0x200) {
        for (const auto& [id, vm] : this->site.machines()) {
            others.push_back(id);
        }
    }
    for (const std::string& other : others) {
        if (fault.kind == fault_kind::link_cut) {
            this->site.link.cut(node, other);
        } else if (fault.choice & 0x400) {
            this->site.link.cut_one_way(node, other);
        } else {
            this->site.link.cut_one_way(other, node);
        }
    }
    this->after(fault.length, [this, node, others] {
        for (const std::string& other : others) {
            this->site.link.restore(node, other);
        }
    });
}

void site_run::operator_race(const planned_fault& fault) {
    const auto first = this->slot_of(fault.choice).node;
    const auto second = this->slot_of(fault.choice / 7).node;
    const auto& teams = this->site.config.teams;
    const auto change = [&](const std::shared_ptr<simulated_node>& node, std::uint64_t choice) {
        const team_config& team = teams[choice % teams.size()];
        const auto percent = static_cast<std::int64_t>(60 + choice / 16 % 60);
        this->operators.change_upper_limit(node, team.name,
                                           std::max<std::int64_t>(1, team.upper_limit * percent / 100));
    };
    change(first, fault.choice);
    change(second, fault.choice / 3);
}

void site_run::key_change(const planned_fault& fault) {
    const std::string team = this->site.config.teams[fault.choice % this->site.config.teams.size()].name;
    const std::string old = this->operators.key_of(team);
    if (old.empty()) {
        return;
    }
    this->operators.grant_key(team, [this, old](bool accepted) {
        if (accepted) {
            this->operators.revoke_key(old);
        }
    });
}

void site_run::vm_out_and_in(const planned_fault& fault) {
    const auto drained = this->select_vms(fault.choice, 7);
    for (const std::string& vm : drained) {
        this->operators.submit(
            vm_out_record{vm}, {.vm = vm, .text = "vm_out"}, [this, vm, fault](bool accepted) {
                if (accepted) {
                    this->after(fault.length, [this, vm] {
                        this->operators.submit(vm_in_record{vm}, {.vm = vm, .text = "vm_in"});
                    });
                }
            });
    }
}

void site_run::vm_leave(const planned_fault& fault) {
    for (const std::string& vm : this->select_vms(fault.choice, 8)) {
        this->site.vms.set_state(this->site.now(), vm, vm_state::leaving);
        this->site.set_leaving(vm, true);
        // The real platform removes a leaving VM one minute after the announcement. The simulation shortens
        // this to the length of the fault, but to no less than 8 s. Runs that are still in progress end with
        // the VM.
        this->after(std::max<boot_clock::duration>(fault.length, seconds(8)), [this, vm] {
            this->site.crash_vm(vm);
            this->site.replace_vm(vm);
        });
    }
}

void site_run::executor_fault(const planned_fault& fault) {
    for (const std::string& id : this->select_vms(fault.choice, 4)) {
        fake_executor_options& executor = this->site.find_vm(id)->executor.faults();
        if (fault.kind == fault_kind::failing_executors) {
            executor.fails_everything = true;
        } else if (fault.kind == fault_kind::slow_executors) {
            executor.run_time_factor = fault.choice % 2 == 0 ? 8 : 0.1;
        } else {
            executor.hang_fraction = 0.1;
            executor.late_fraction = 0.1;
            executor.crossed_fraction = 0.2;
            executor.truncated_fraction = 0.1;
        }
        this->after(fault.length, [this, id] {
            fake_executor_options& restored = this->site.find_vm(id)->executor.faults();
            restored = fake_executor_options{.leaving = restored.leaving};
        });
    }
}

void site_run::resubmissions(const planned_fault& fault) {
    this->callers.resubmit_fraction = 0.5;
    this->after(fault.length, [this] { this->callers.resubmit_fraction = 0; });
}

void site_run::replace_node(entry_slot& slot) {
    if (!slot.node->alive()) {
        return;
    }
    slot.node->end("killed");
    this->site.vms.remove(this->site.now(), slot.identity.node_id);
    slot.identity.node_id += "r";
    slot.identity.address.port += 1;
}

} // namespace

core_timings simulation_timings() {
    core_timings timings;
    timings.longest_run = milliseconds(4000);
    timings.task_lease = milliseconds(4000);
    return timings;
}

site_result run_site(const site_options& options) {
    return site_run(options).run();
}

site_options history_options(std::uint64_t seed) {
    site_options options{.seed = seed};
    options.workload.length = seconds(40);
    options.workload.resubmit_fraction = 0.02;
    options.shape.limit_fraction = std::array{0.75, 0.3, 0.15}[seed / 3 % 3];
    const bool planned_only = seed % 3 == 0;
    options.faults = make_fault_plan(seed, seconds(34), planned_only);
    if (planned_only) {
        // The shortest window that a fleet configuration accepts.
        options.budget_window = std::chrono::hours(1);
        // The load fits into the capacity that remains after a zone-out, so no refusal is excused by
        // overload.
        options.shape.pool_vms = {6, 6, 6};
        options.shape.spare_vms = 3;
        options.workload.burst_load = 0.3;
    }
    return options;
}

} // namespace hornbeamrail

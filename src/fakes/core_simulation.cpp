#include "fakes/core_simulation.hpp"

#include "transport/thrift_frame.hpp"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>
#include <ctime>
#include <stdexcept>
#include <utility>

namespace hornbeamrail {

namespace {

constexpr std::chrono::milliseconds refused_connection_delay{1};
constexpr std::chrono::milliseconds log_down_answer_delay{50};

std::chrono::nanoseconds thread_processor_time() {
    timespec value{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &value);
    return std::chrono::seconds(value.tv_sec) + std::chrono::nanoseconds(value.tv_nsec);
}

bool is_later(std::chrono::microseconds left_at, std::uint64_t left_order, std::chrono::microseconds right_at,
              std::uint64_t right_order) {
    return left_at != right_at ? left_at > right_at : left_order > right_order;
}

} // namespace

core_simulation::core_simulation(core_simulation_options initial)
    : options(initial), random(initial.seed), platform_log(random.next(), initial.log),
      network(random.next(), initial.link) {}

void core_simulation::schedule(std::chrono::microseconds delay, std::function<void()> run) {
    this->events.push_back({.at = this->clock + delay, .order = ++this->event_count, .run = std::move(run)});
    std::push_heap(this->events.begin(), this->events.end(), [](const event& left, const event& right) {
        return is_later(left.at, left.order, right.at, right.order);
    });
}

void core_simulation::run_for(std::chrono::microseconds span) {
    const auto end = this->clock + span;
    while (!this->events.empty() && this->events.front().at <= end) {
        std::pop_heap(this->events.begin(), this->events.end(), [](const event& left, const event& right) {
            return is_later(left.at, left.order, right.at, right.order);
        });
        auto next = std::move(this->events.back());
        this->events.pop_back();
        this->clock = next.at;
        next.run();
    }
    this->clock = end;
}

std::optional<std::chrono::microseconds> core_simulation::run_until(const std::function<bool()>& condition,
                                                                    std::chrono::microseconds limit) {
    const auto start = this->clock;
    while (!condition()) {
        if (this->clock - start >= limit) {
            return std::nullopt;
        }
        this->run_for(std::chrono::milliseconds(5));
    }
    return this->clock - start;
}

node_core& core_simulation::start(const simulated_place& place,
                                  const std::function<void(core_options&)>& adjust_options) {
    const auto number = static_cast<std::uint16_t>(this->processes.size() + 1);
    auto& target = this->processes[place.node_id];
    if (target.address.port == 0) {
        target.address = {.address = "10.0.0.1", .port = number};
    }
    target.place = place;
    target.paused = false;
    target.tick_scheduled = false;
    target.deferred_inputs.clear();
    this->network.set_zone(place.node_id, place.zone);
    core_options core{.node_id = place.node_id,
                      .peer_address = target.address,
                      .zone = place.zone,
                      .region = place.region,
                      .seed = this->random.next()};
    for (const auto& [id, other] : this->processes) {
        if (id != place.node_id && core.peer_seeds.size() < 3) {
            core.peer_seeds.push_back(other.address);
        }
    }
    if (adjust_options) {
        adjust_options(core);
    }
    target.core = std::make_unique<node_core>(std::move(core));
    this->vms[place.node_id] = {.vm = {.id = place.node_id}, .kind = vm_kind::entry};
    const auto generation = ++target.generation;
    // A random first tick keeps the processes from ticking at the same times.
    this->schedule(this->random.between(std::chrono::microseconds(0), this->options.tick_interval),
                   [this, id = place.node_id, generation] { this->periodic_tick(id, generation); });
    return *target.core;
}

void core_simulation::kill(const std::string& node_id) {
    auto& target = this->processes.at(node_id);
    target.core.reset();
    ++target.generation;
    for (auto& [team, load] : target.loads) {
        load.target_units = 0;
    }
}

void core_simulation::pause(const std::string& node_id) {
    this->processes.at(node_id).paused = true;
}

void core_simulation::resume(const std::string& node_id) {
    auto& target = this->processes.at(node_id);
    target.paused = false;
    for (auto& input : std::exchange(target.deferred_inputs, {})) {
        input();
    }
}

bool core_simulation::alive(const std::string& node_id) const {
    const auto found = this->processes.find(node_id);
    return found != this->processes.end() && found->second.core != nullptr;
}

node_core& core_simulation::core(const std::string& node_id) {
    return *this->processes.at(node_id).core;
}

boot_time core_simulation::local_time(const std::string& node_id) const {
    const auto rate = this->processes.at(node_id).place.clock_rate;
    return boot_time(std::chrono::microseconds(
        static_cast<std::int64_t>(static_cast<double>(this->clock.count()) * rate)));
}

bool core_simulation::fresh(const std::string& node_id) {
    return this->alive(node_id) && this->core(node_id).view_is_fresh(this->local_time(node_id));
}

void core_simulation::append_now(const std::vector<std::string>& records) {
    this->platform_log.append(records);
    this->answer_ready_reads();
}

template <class Function>
void core_simulation::measure_processor_time(process& target, Function&& function) {
    if (this->is_measuring) {
        std::forward<Function>(function)();
        return;
    }
    this->is_measuring = true;
    const auto before = thread_processor_time();
    std::forward<Function>(function)();
    target.cost.processor += thread_processor_time() - before;
    this->is_measuring = false;
}

void core_simulation::deliver(process& target, std::uint64_t generation,
                              std::function<void(node_core&, boot_time)> input) {
    if (target.generation != generation || target.core == nullptr) {
        return;
    }
    if (target.paused) {
        target.deferred_inputs.push_back([this, &target, generation, input = std::move(input)]() mutable {
            this->deliver(target, generation, std::move(input));
        });
        return;
    }
    this->measure_processor_time(target,
                                 [&] { input(*target.core, this->local_time(target.place.node_id)); });
    if (!target.tick_scheduled) {
        target.tick_scheduled = true;
        this->schedule(std::chrono::microseconds(10), [this, &target, generation] {
            if (target.generation == generation) {
                target.tick_scheduled = false;
                this->tick(target);
            }
        });
    }
}

void core_simulation::periodic_tick(const std::string& node_id, std::uint64_t generation) {
    auto& target = this->processes.at(node_id);
    if (target.generation != generation) {
        return;
    }
    this->tick(target);
    if (target.core != nullptr && !target.paused) {
        this->start_units(target);
        if ((this->clock / this->options.tick_interval) %
                (this->options.report_interval / this->options.tick_interval) ==
            0) {
            this->report_load(target);
        }
    }
    this->schedule(this->options.tick_interval,
                   [this, node_id, generation] { this->periodic_tick(node_id, generation); });
}

void core_simulation::tick(process& target) {
    if (target.core == nullptr || target.paused) {
        return;
    }
    std::vector<core_action> actions;
    this->measure_processor_time(
        target, [&] { actions = target.core->tick(this->local_time(target.place.node_id)); });
    for (auto& action : actions) {
        std::visit([&](auto& value) { this->perform(target, std::move(value)); }, action);
    }
}

void core_simulation::start_units(process& target) {
    const auto now = this->local_time(target.place.node_id);
    const bool may_start = target.core->view_is_fresh(now) && target.core->incarnation() != 0;
    for (auto& [team, load] : target.loads) {
        while (!load.ends.empty() && load.ends.front() <= this->clock) {
            load.ends.pop_front();
        }
        const auto usable = may_start ? target.core->usable_units(team) : 0;
        const auto before = load.started;
        while (static_cast<std::int64_t>(load.ends.size()) < std::min(usable, load.target_units)) {
            load.ends.push_back(this->clock + load.run_time);
            ++load.started;
            if (this->on_start) {
                this->on_start(target.place.node_id, team);
            }
        }
        if (load.started != before) {
            auto& peak = this->peaks[team];
            peak = std::max(peak, this->running(team));
        }
    }
}

void core_simulation::report_load(process& target) {
    std::vector<service_demand> demand;
    std::vector<team_units> running;
    for (const auto& [team, load] : target.loads) {
        const auto running_units = static_cast<std::int64_t>(load.ends.size());
        demand.push_back({.service = "s",
                          .team = team,
                          .running = running_units,
                          .queued = std::max<std::int64_t>(0, load.target_units - running_units)});
        running.push_back({.team = team, .units = running_units});
    }
    const auto now = this->local_time(target.place.node_id);
    this->measure_processor_time(target,
                                 [&] { target.core->report_demand(now, std::move(demand), running); });
}

void core_simulation::set_load(const std::string& node_id, const std::string& team, std::int64_t target_units,
                               std::chrono::milliseconds run_time) {
    auto& load = this->processes.at(node_id).loads[team];
    load.target_units = target_units;
    load.run_time = run_time;
}

std::int64_t core_simulation::running(const std::string& node_id, std::string_view team) const {
    const auto& loads = this->processes.at(node_id).loads;
    const auto load = loads.find(team);
    if (load == loads.end()) {
        return 0;
    }
    // Ended units may not have been removed yet, and a change of the run time breaks the ascending order of
    // the ends, so every entry is compared.
    return std::count_if(load->second.ends.begin(), load->second.ends.end(),
                         [&](const auto& end) { return end > this->clock; });
}

std::int64_t core_simulation::running(std::string_view team) const {
    std::int64_t units = 0;
    for (const auto& [id, target] : this->processes) {
        units += this->running(id, team);
    }
    return units;
}

std::int64_t core_simulation::started(std::string_view team) const {
    std::int64_t units = 0;
    for (const auto& [id, target] : this->processes) {
        for (const auto& [name, load] : target.loads) {
            units += name == team ? load.started : 0;
        }
    }
    return units;
}

std::int64_t core_simulation::take_peak(const std::string& team) {
    return std::exchange(this->peaks[team], 0);
}

node_cost core_simulation::cost(const std::string& node_id) const {
    return this->processes.at(node_id).cost;
}

core_simulation::process* core_simulation::find_process(const endpoint& address) {
    for (auto& [id, target] : this->processes) {
        if (target.address == address) {
            return &target;
        }
    }
    return nullptr;
}

template <class Message>
void core_simulation::count_message(process& owner, const Message& message) {
    ++owner.cost.messages;
    if (!this->options.count_bytes) {
        return;
    }
    this->measure_processor_time(owner, [&] {
        auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
        apache::thrift::protocol::TCompactProtocol protocol(buffer);
        message.write(&protocol);
        owner.cost.bytes += static_cast<std::int64_t>(buffer->available_read() + frame_header_bytes);
    });
}

void core_simulation::perform(process& source, append_records action) {
    ++source.cost.append_calls;
    for (const auto& record : action.records) {
        source.cost.log_bytes += static_cast<std::int64_t>(record.size());
    }
    const auto generation = source.generation;
    const auto arrives = this->network.send(boot_time(this->clock), source.place.node_id, "log");
    if (!arrives) {
        this->schedule(this->options.append_timeout, [this, &source, generation, batch = action.batch] {
            this->deliver(source, generation,
                          [batch](node_core& core, boot_time now) { core.on_append_failed(now, batch); });
        });
        return;
    }
    const auto delay =
        arrives->time_since_epoch() - this->clock + this->log_delay + this->platform_log.faults().delay / 2;
    this->schedule(delay, [this, &source, generation, action = std::move(action)] {
        const auto outcome = this->platform_log.append(action.records);
        this->answer_ready_reads();
        const bool lost =
            !outcome.first_offset || !this->network.send(boot_time(this->clock), "log", source.place.node_id);
        const auto answer_delay =
            lost ? this->options.append_timeout
                 : std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::milliseconds(1));
        this->schedule(answer_delay, [this, &source, generation, lost, batch = action.batch,
                                      first = outcome.first_offset.value_or(0)] {
            this->deliver(source, generation, [lost, batch, first](node_core& core, boot_time now) {
                lost ? core.on_append_failed(now, batch) : core.on_append(now, batch, first);
            });
        });
    });
}

void core_simulation::perform(process& source, read_log action) {
    auto read = std::make_shared<pending_read>(pending_read{.node_id = source.place.node_id,
                                                            .generation = source.generation,
                                                            .started = this->local_time(source.place.node_id),
                                                            .request = action});
    const auto arrives = this->network.send(boot_time(this->clock), source.place.node_id, "log");
    if (!arrives) {
        this->schedule(this->options.append_timeout, [this, &source, generation = source.generation] {
            this->deliver(source, generation,
                          [](node_core& core, boot_time now) { core.on_log_read_failed(now); });
        });
        return;
    }
    const auto delay =
        arrives->time_since_epoch() - this->clock + this->log_delay + this->platform_log.faults().delay / 2;
    this->schedule(delay, [this, read] {
        if (this->platform_log.faults().down || this->platform_log.head() > read->request.from) {
            this->answer_read(read);
            return;
        }
        this->pending_reads.push_back(read);
        this->schedule(read->request.wait, [this, read] { this->answer_read(read); });
    });
}

void core_simulation::answer_read(const std::shared_ptr<pending_read>& read) {
    if (std::exchange(read->answered, true)) {
        return;
    }
    auto& source = this->processes.at(read->node_id);
    auto result =
        this->platform_log.read(read->request.from, static_cast<std::size_t>(read->request.max_records));
    const bool lost = !this->network.send(boot_time(this->clock), "log", read->node_id);
    if (!result || lost) {
        this->schedule(lost ? this->options.append_timeout : log_down_answer_delay, [this, &source, read] {
            this->deliver(source, read->generation,
                          [](node_core& core, boot_time now) { core.on_log_read_failed(now); });
        });
        return;
    }
    for (const auto& entry : result->entries) {
        source.cost.log_bytes += static_cast<std::int64_t>(entry.data.size());
    }
    this->schedule(
        std::chrono::milliseconds(1) + this->log_delay, [this, &source, read, answer = std::move(*result)] {
            this->deliver(source, read->generation, [read, answer](node_core& core, boot_time now) {
                core.on_log_read(now, read->started, answer);
            });
        });
}

void core_simulation::answer_ready_reads() {
    auto waiting = std::exchange(this->pending_reads, {});
    for (const auto& read : waiting) {
        if (this->platform_log.head() > read->request.from) {
            this->answer_read(read);
        } else if (!read->answered) {
            this->pending_reads.push_back(read);
        }
    }
}

void core_simulation::perform(process& source, const fetch_vm_list&) {
    vm_list list{.version = ++this->vm_list_version, .vms = {}};
    for (const auto& [id, listing] : this->vms) {
        list.vms.push_back(listing);
    }
    this->schedule(std::chrono::milliseconds(2),
                   [this, &source, generation = source.generation, list = std::move(list)] {
                       this->deliver(source, generation,
                                     [&list](node_core& core, boot_time now) { core.on_vm_list(now, list); });
                   });
}

void core_simulation::perform(process& source, send_peer_request action) {
    const auto generation = source.generation;
    this->count_message(source, action.request);
    // The sender receives either the answer or the failure, whichever comes first.
    auto settled = std::make_shared<bool>(false);
    const auto fail = [this, &source, generation, settled, call = action.call] {
        if (!std::exchange(*settled, true)) {
            this->deliver(source, generation,
                          [call](node_core& core, boot_time now) { core.on_peer_failed(now, call); });
        }
    };
    this->schedule(action.timeout, fail);
    auto* target = this->find_process(action.call.peer);
    if (target == nullptr || target->core == nullptr) {
        this->schedule(refused_connection_delay, fail);
        return;
    }
    const int copies = this->random.chance(this->options.duplicate_fraction) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        const auto arrives =
            this->network.send(boot_time(this->clock), source.place.node_id, target->place.node_id);
        if (!arrives) {
            continue;
        }
        this->schedule(arrives->time_since_epoch() - this->clock, [this, &source, target, generation, settled,
                                                                   receiver = target->generation,
                                                                   request = action.request,
                                                                   call = action.call] {
            this->deliver(*target, receiver, [=, this, &source](node_core& core, boot_time now) {
                this->count_message(*target, request);
                auto response = core.on_peer_request(now, request);
                this->count_message(*target, response);
                const auto returns =
                    this->network.send(boot_time(this->clock), target->place.node_id, source.place.node_id);
                if (!returns) {
                    return;
                }
                this->schedule(returns->time_since_epoch() - this->clock,
                               [this, &source, generation, settled, call, response = std::move(response)] {
                                   if (std::exchange(*settled, true)) {
                                       return;
                                   }
                                   this->count_message(source, response);
                                   this->deliver(source, generation,
                                                 [call, response](node_core& from, boot_time then) {
                                                     from.on_peer_response(then, call, response);
                                                 });
                               });
            });
        });
    }
}

void core_simulation::perform(process& source, const vm_call& action) {
    this->schedule(std::chrono::milliseconds(2), [this, &source, generation = source.generation, action] {
        this->deliver(source, generation, [&action](node_core& core, boot_time now) {
            core.on_vm_call_answer(now, action, vm_operation_state::unknown);
        });
    });
}

} // namespace hornbeamrail

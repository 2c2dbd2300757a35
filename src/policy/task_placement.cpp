#include "policy/task_placement.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <set>

namespace hornbeamrail {

namespace {

using amounts = std::array<double, 3>;

bool fits(const amounts& need, const amounts& available) {
    // The tolerance covers rounding errors in sums of reserved sizes.
    return need[0] <= available[0] + 1e-6 && need[1] <= available[1] + 1e-6 && need[2] <= available[2] + 1e-6;
}

/// Amounts of a position that accepts no task.
constexpr amounts unavailable{-1, -1, -1};

/// Binary tree over positions that keeps the largest free amount of each resource per subtree.
class capacity_tree {
public:
    /// @return a position that is not in use; its amounts are to be set
    std::size_t add() {
        if (!this->free_positions.empty()) {
            const auto position = this->free_positions.back();
            this->free_positions.pop_back();
            return position;
        }
        if (this->count == this->leaves) {
            this->grow();
        }
        return this->count++;
    }

    void remove(std::size_t position) {
        this->set(position, unavailable);
        this->free_positions.push_back(position);
    }

    void set(std::size_t position, const amounts& available) {
        auto node = this->leaves + position;
        this->nodes[node] = available;
        for (node /= 2; node >= 1; node /= 2) {
            this->nodes[node] = largest(this->nodes[2 * node], this->nodes[2 * node + 1]);
        }
    }

    /// @return the first position at or after @p start where @p need fits, continuing from the first position
    /// at the end; nothing when it fits nowhere
    [[nodiscard]] std::optional<std::size_t> find(const amounts& need, std::size_t start) const {
        if (this->count == 0) {
            return std::nullopt;
        }
        if (const auto found = this->search(1, 0, this->leaves, start, this->leaves, need)) {
            return found;
        }
        return this->search(1, 0, this->leaves, 0, start, need);
    }

    [[nodiscard]] std::size_t size() const noexcept { return this->count; }

private:
    static amounts largest(const amounts& a, const amounts& b) {
        return {std::max(a[0], b[0]), std::max(a[1], b[1]), std::max(a[2], b[2])};
    }

    void grow() {
        const auto old_leaves = this->leaves;
        const auto old_nodes = this->nodes;
        this->leaves = std::max<std::size_t>(1, this->leaves * 2);
        this->nodes.assign(2 * this->leaves, unavailable);
        for (std::size_t i = 0; i < this->count; ++i) {
            this->nodes[this->leaves + i] = old_nodes[old_leaves + i];
        }
        for (std::size_t node = this->leaves - 1; node >= 1; --node) {
            this->nodes[node] = largest(this->nodes[2 * node], this->nodes[2 * node + 1]);
        }
    }

    [[nodiscard]] std::optional<std::size_t> search(std::size_t node, std::size_t low, std::size_t high,
                                                    std::size_t from, std::size_t to,
                                                    const amounts& need) const {
        if (high <= from || low >= to || !fits(need, this->nodes[node])) {
            return std::nullopt;
        }
        if (high - low == 1) {
            return low;
        }
        const auto middle = (low + high) / 2;
        if (const auto found = this->search(2 * node, low, middle, from, to, need)) {
            return found;
        }
        return this->search(2 * node + 1, middle, high, from, to, need);
    }

    std::vector<amounts> nodes;
    std::size_t leaves = 0;
    std::size_t count = 0;
    std::vector<std::size_t> free_positions;
};

struct worker_entry {
    vm_description vm;
    bool in_service = false;
    amounts reserved{};
    std::size_t position = 0;

    [[nodiscard]] amounts total() const {
        return {static_cast<double>(this->vm.cores), static_cast<double>(this->vm.memory_mb),
                static_cast<double>(this->vm.accelerators)};
    }
    [[nodiscard]] amounts available() const {
        const auto all = this->total();
        return {all[0] - this->reserved[0], all[1] - this->reserved[1], all[2] - this->reserved[2]};
    }
    /// @return the highest reserved fraction over all resources
    [[nodiscard]] double load() const {
        double highest = 0;
        const auto all = this->total();
        for (std::size_t r = 0; r < all.size(); ++r) {
            if (all[r] > 0) {
                highest = std::max(highest, this->reserved[r] / all[r]);
            }
        }
        return highest;
    }
};

/// Workers of a pool that are searched together.
struct worker_group {
    capacity_tree tree;
    std::vector<std::string> vm_at; ///< VM by position in the tree
};

struct pool_entry {
    worker_group plain;       ///< without accelerators
    worker_group accelerated; ///< with accelerators
    /// Number of workers by size, in service or not.
    std::map<std::array<std::int64_t, 3>, std::int64_t> shapes;
    std::map<std::string, std::int64_t> tasks_in_rack;

    worker_group& group_of(const vm_description& vm) {
        return vm.accelerators > 0 ? this->accelerated : this->plain;
    }
};

struct task_entry {
    std::string vm;
    std::string pool; ///< at the time of placement
    std::string rack; ///< at the time of placement
    std::string usage_class;
    amounts declared{};
    amounts reserved{};
    boot_time started{};
    boot_time last_report{}; ///< time of the last measurement
};

/// Ratio of reserved to declared size for new tasks of a usage class.
struct usage_factors {
    double cores = 1;
    double memory = 1;
};

std::array<std::int64_t, 3> shape_of(const vm_description& vm) {
    return {vm.cores, vm.memory_mb, vm.accelerators};
}

/// @return the usage class: tasks of one team on one service are assumed to be alike
std::string usage_class_of(std::string_view service, std::string_view team) {
    return fmt::format("{}/{}", service, team);
}

} // namespace

struct task_placement::impl {
    explicit impl(task_placement_options placement_options) : options(placement_options) {}

    /// Updates the free amounts of a worker in the tree of its group.
    void update_tree(worker_entry& worker) {
        auto& members = this->pools[worker.vm.pool].group_of(worker.vm);
        members.tree.set(worker.position, worker.in_service ? worker.available() : unavailable);
    }

    /// Adds a worker to its pool.
    void attach(worker_entry& worker) {
        auto& pool = this->pools[worker.vm.pool];
        auto& members = pool.group_of(worker.vm);
        worker.position = members.tree.add();
        if (members.vm_at.size() <= worker.position) {
            members.vm_at.resize(worker.position + 1);
        }
        members.vm_at[worker.position] = worker.vm.id;
        ++pool.shapes[shape_of(worker.vm)];
        this->update_tree(worker);
    }

    /// Removes a worker from its pool.
    void detach(worker_entry& worker) {
        auto& pool = this->pools[worker.vm.pool];
        pool.group_of(worker.vm).tree.remove(worker.position);
        const auto shape = pool.shapes.find(shape_of(worker.vm));
        if (--shape->second == 0) {
            pool.shapes.erase(shape);
        }
    }

    /// Replaces the reservation @p from on a worker by @p to.
    void change_reserved(const std::string& vm, const amounts& from, const amounts& to) {
        const auto found = this->workers.find(vm);
        if (found == this->workers.end()) {
            return;
        }
        for (std::size_t r = 0; r < from.size(); ++r) {
            found->second.reserved[r] += to[r] - from[r];
        }
        this->update_tree(found->second);
    }

    [[nodiscard]] usage_factors factors_of(const std::string& usage_class) const {
        const auto found = this->classes.find(usage_class);
        return found == this->classes.end() ? usage_factors{} : found->second;
    }

    /// @return load of a worker with the penalty for its rack; lower is better
    [[nodiscard]] double score(const pool_entry& pool, const worker_entry& worker) const {
        // One more task in the rack counts as 2% of load, so that the failure of a rack does not end all
        // tasks of the pool.
        const auto rack = pool.tasks_in_rack.find(worker.vm.rack);
        return worker.load() +
               0.02 * static_cast<double>(rack == pool.tasks_in_rack.end() ? 0 : rack->second);
    }

    /// @return the better of two random workers on which @p need fits, or nothing when it fits on none
    std::optional<std::string> choose(const pool_entry& pool, const worker_group& members,
                                      const amounts& need, std::mt19937_64& random) const {
        if (members.tree.size() == 0) {
            return std::nullopt;
        }
        std::optional<std::string> best;
        double best_score = 0;
        for (int probe = 0; probe < 2; ++probe) {
            const auto found =
                members.tree.find(need, static_cast<std::size_t>(random() % members.tree.size()));
            if (!found) {
                return std::nullopt;
            }
            const auto& vm = members.vm_at[*found];
            const double value = this->score(pool, this->workers.at(vm));
            if (!best || value < best_score) {
                best = vm;
                best_score = value;
            }
        }
        return best;
    }

    task_placement_options options;
    std::map<std::string, worker_entry, std::less<>> workers;
    std::map<std::string, pool_entry, std::less<>> pools;
    std::map<std::string, task_entry, std::less<>> tasks;
    std::map<std::string, usage_factors> classes;
};

task_placement::task_placement(task_placement_options options) : self(std::make_unique<impl>(options)) {}
task_placement::~task_placement() = default;
task_placement::task_placement(task_placement&&) noexcept = default;
task_placement& task_placement::operator=(task_placement&&) noexcept = default;

void task_placement::set_worker(const vm_description& vm, bool in_service) {
    const auto found = this->self->workers.find(vm.id);
    if (found == this->self->workers.end()) {
        auto& worker = this->self->workers.emplace(vm.id, worker_entry{.vm = vm}).first->second;
        worker.in_service = in_service;
        this->self->attach(worker);
        return;
    }
    auto& worker = found->second;
    if (worker.vm.pool != vm.pool || shape_of(worker.vm) != shape_of(vm)) {
        this->self->detach(worker);
        worker.vm = vm;
        worker.in_service = in_service;
        this->self->attach(worker);
        return;
    }
    worker.vm = vm;
    worker.in_service = in_service;
    this->self->update_tree(worker);
}

void task_placement::remove_worker(std::string_view vm) {
    const auto found = this->self->workers.find(vm);
    if (found == this->self->workers.end()) {
        return;
    }
    this->self->detach(found->second);
    this->self->workers.erase(found);
}

std::optional<std::string> task_placement::explain_infeasibility(std::string_view pool_name,
                                                                 const task_spec& task) const {
    const auto found = this->self->pools.find(pool_name);
    if (found == this->self->pools.end() || found->second.shapes.empty()) {
        return fmt::format("pool \"{}\" has no workers", pool_name);
    }
    bool fits_some_worker = false;
    std::array<std::int64_t, 3> largest{};
    for (const auto& [shape, count] : found->second.shapes) {
        for (std::size_t r = 0; r < shape.size(); ++r) {
            largest[r] = std::max(largest[r], shape[r]);
        }
        if (task.cores <= shape[0] && task.memory_mb <= shape[1] && task.accelerators <= shape[2]) {
            fits_some_worker = true;
        }
    }
    if (!fits_some_worker) {
        return fmt::format(
            "no worker of pool \"{}\" has {} cores, {} MB and {} accelerators together; the largest "
            "amounts on any worker are {}, {} and {}",
            pool_name, task.cores, task.memory_mb, task.accelerators, largest[0], largest[1], largest[2]);
    }
    return std::nullopt;
}

std::optional<task_reservation> task_placement::place(boot_time now, std::string_view pool_name,
                                                      const task_spec& task, std::mt19937_64& random) {
    const auto found = this->self->pools.find(pool_name);
    if (found == this->self->pools.end() || this->self->tasks.contains(task.id)) {
        return std::nullopt;
    }
    auto& pool = found->second;
    const auto usage_class = usage_class_of(task.service, task.team);
    const auto factors = this->self->factors_of(usage_class);
    const amounts declared{static_cast<double>(task.cores), static_cast<double>(task.memory_mb),
                           static_cast<double>(task.accelerators)};
    // A size that was corrected upwards is limited to the largest worker on which the declared size fits:
    // beyond it, a task that can run would never be placed.
    amounts need{declared[0] * factors.cores, declared[1] * factors.memory, declared[2]};
    amounts upper_bound = declared;
    for (const auto& [shape, count] : pool.shapes) {
        if (task.cores <= shape[0] && task.memory_mb <= shape[1] && task.accelerators <= shape[2]) {
            upper_bound[0] = std::max(upper_bound[0], static_cast<double>(shape[0]));
            upper_bound[1] = std::max(upper_bound[1], static_cast<double>(shape[1]));
        }
    }
    need[0] = std::min(need[0], upper_bound[0]);
    need[1] = std::min(need[1], upper_bound[1]);

    auto vm = task.accelerators == 0 ? this->self->choose(pool, pool.plain, need, random) : std::nullopt;
    if (!vm) {
        vm = this->self->choose(pool, pool.accelerated, need, random);
    }
    if (!vm) {
        return std::nullopt;
    }
    auto& worker = this->self->workers.at(*vm);
    this->self->change_reserved(*vm, {}, need);
    ++pool.tasks_in_rack[worker.vm.rack];
    this->self->tasks.emplace(task.id, task_entry{.vm = *vm,
                                                  .pool = std::string(pool_name),
                                                  .rack = worker.vm.rack,
                                                  .usage_class = usage_class,
                                                  .declared = declared,
                                                  .reserved = need,
                                                  .started = now,
                                                  .last_report = now});
    return task_reservation{.vm = *vm,
                            .size = {.cores = need[0], .memory_mb = need[1], .accelerators = need[2]}};
}

void task_placement::release(std::string_view task_id) {
    const auto found = this->self->tasks.find(task_id);
    if (found == this->self->tasks.end()) {
        return;
    }
    const auto entry = found->second;
    this->self->tasks.erase(found);
    this->self->change_reserved(entry.vm, entry.reserved, {});
    auto& count = this->self->pools[entry.pool].tasks_in_rack[entry.rack];
    count = std::max<std::int64_t>(0, count - 1);
}

void task_placement::report_usage(boot_time sampled_at, std::string_view task_id, double cores_used,
                                  double memory_mb_used) {
    const auto found = this->self->tasks.find(task_id);
    if (found == this->self->tasks.end() || sampled_at <= found->second.last_report) {
        return;
    }
    auto& task = found->second;
    const auto& options = this->self->options;
    task.last_report = sampled_at;
    const bool settled = sampled_at - task.started >= options.settle_time;
    const amounts target{cores_used * options.usage_margin, memory_mb_used * options.usage_margin,
                         task.declared[2]};
    amounts reserved = task.reserved;
    for (std::size_t r = 0; r < 2; ++r) {
        // Higher usage counts immediately, because the resource is in use. Lower usage counts only after the
        // settling time, and in steps, because the next report may be higher.
        if (target[r] > reserved[r]) {
            reserved[r] = target[r];
        } else if (settled) {
            reserved[r] += 0.3 * (std::max(target[r], task.declared[r] * options.min_factor) - reserved[r]);
        }
    }
    this->self->change_reserved(task.vm, task.reserved, reserved);
    task.reserved = reserved;
    if (!settled) {
        return;
    }
    auto& factors = this->self->classes[task.usage_class];
    const auto learn = [&](double& factor, double used, double declared) {
        const double ratio =
            std::clamp(used / std::max(declared, 1.0), options.min_factor, options.max_factor);
        factor += 0.1 * (ratio - factor);
    };
    learn(factors.cores, target[0], task.declared[0]);
    learn(factors.memory, target[1], task.declared[1]);
}

std::optional<resource_vector> task_placement::free_on(std::string_view vm) const {
    const auto found = this->self->workers.find(vm);
    if (found == this->self->workers.end()) {
        return std::nullopt;
    }
    const auto available = found->second.available();
    return resource_vector{.cores = available[0], .memory_mb = available[1], .accelerators = available[2]};
}

std::pair<double, double> task_placement::factors(std::string_view service, std::string_view team) const {
    const auto found = this->self->factors_of(usage_class_of(service, team));
    return {found.cores, found.memory};
}

} // namespace hornbeamrail

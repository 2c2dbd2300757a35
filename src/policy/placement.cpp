#include "policy/placement.hpp"

#include "protocol/durations.hpp"

#include <algorithm>

namespace hornbeamrail {

double ramp_weight(boot_time now, boot_time since, std::chrono::milliseconds duration) {
    const double elapsed_s = seconds_of(now - since);
    return std::clamp(elapsed_s / seconds_of(duration), 0.0, 1.0);
}

std::size_t placement_pool::add(entry executor) {
    const auto index = this->executors.size();
    const auto slots = executor.slots;
    const auto in_use = executor.in_use;
    executor.slots = executor.in_use = 0;
    this->rack_of.push_back(&this->racks[executor.rack]);
    this->executors.push_back(std::move(executor));
    this->position.push_back(not_listed);
    this->update(index, slots, in_use);
    return index;
}

std::vector<std::size_t>& placement_pool::list_of(std::size_t index) {
    return this->executors[index].same_zone ? this->free_local : this->free_remote;
}

void placement_pool::set_listed(std::size_t index, bool listed) {
    if (listed == (this->position[index] != not_listed)) {
        return;
    }
    auto& list = this->list_of(index);
    if (listed) {
        this->position[index] = list.size();
        list.push_back(index);
        return;
    }
    const auto place = this->position[index];
    list[place] = list.back();
    this->position[list[place]] = place;
    list.pop_back();
    this->position[index] = not_listed;
}

void placement_pool::update(std::size_t index, std::int64_t slots, std::int64_t in_use) {
    auto& executor = this->executors[index];
    auto& rack = *this->rack_of[index];
    rack.slots += slots - executor.slots;
    rack.in_use += in_use - executor.in_use;
    this->total_slots += slots - executor.slots;
    executor.slots = slots;
    executor.in_use = in_use;
    this->set_listed(index, slots > in_use);
}

double placement_pool::load_of(std::size_t index) const {
    const auto& executor = this->executors[index];
    const auto& rack = *this->rack_of[index];
    const double executor_load =
        static_cast<double>(executor.in_use) / static_cast<double>(std::max<std::int64_t>(1, executor.slots));
    const double shared_load =
        static_cast<double>(rack.in_use) / static_cast<double>(std::max<std::int64_t>(1, rack.slots));
    return (1 - rack_weight) * executor_load + rack_weight * shared_load;
}

std::optional<std::size_t> placement_pool::best_of_two(const std::vector<std::size_t>& candidates,
                                                       std::mt19937_64& random,
                                                       std::optional<std::size_t> exclude) const {
    if (candidates.empty() || (candidates.size() == 1 && candidates.front() == exclude)) {
        return std::nullopt;
    }
    const auto pick = [&] {
        const auto place = static_cast<std::size_t>(random() % candidates.size());
        return candidates[place] != exclude ? candidates[place] : candidates[(place + 1) % candidates.size()];
    };
    const auto first = pick();
    const auto second = pick();
    return this->load_of(second) < this->load_of(first) ? second : first;
}

std::optional<std::size_t> placement_pool::choose(std::mt19937_64& random,
                                                  std::optional<std::size_t> exclude) const {
    const auto local = this->best_of_two(this->free_local, random, exclude);
    const auto remote = this->best_of_two(this->free_remote, random, exclude);
    if (local && remote) {
        return this->load_of(*local) > this->load_of(*remote) + zone_preference ? remote : local;
    }
    if (local || remote) {
        return local ? local : remote;
    }
    if (exclude && *exclude < this->size() && this->position[*exclude] != not_listed) {
        return exclude;
    }
    return std::nullopt;
}

} // namespace hornbeamrail

#pragma once

#include "protocol/platform.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace hornbeamrail {

/// Computes the weight of an executor that has returned to service. It grows linearly from 0 to 1.
/// @param since time of the return
/// @param duration length of the ramp
double ramp_weight(boot_time now, boot_time since, std::chrono::milliseconds duration);

/// Executors of one service as known to one node. Chooses one of them in constant time.
///
/// The less loaded of two random executors with free slots is chosen. Choosing the least loaded of all would
/// send the requests of all nodes to the same executor between two lease answers.
class placement_pool {
public:
    /// Location and load of one executor.
    struct entry {
        std::string rack;
        bool same_zone = false;  ///< whether it is in the zone of the node
        std::int64_t slots = 0;  ///< usable now; 0 excludes the executor
        std::int64_t in_use = 0; ///< slots in use by all nodes, as far as known
    };

    /// @return index of the new executor
    std::size_t add(entry executor);

    /// Sets the slots of an executor.
    void update(std::size_t index, std::int64_t slots, std::int64_t in_use);
    [[nodiscard]] const entry& at(std::size_t index) const { return this->executors[index]; }
    [[nodiscard]] std::size_t size() const noexcept { return this->executors.size(); }

    /// @return usable slots of all executors together
    [[nodiscard]] std::int64_t usable_slots() const noexcept { return this->total_slots; }
    [[nodiscard]] bool has_free_slot() const noexcept {
        return !this->free_local.empty() || !this->free_remote.empty();
    }

    /// Chooses an executor.
    /// @param exclude executor that is chosen only if no other has a free slot
    /// @return index of an executor with a free slot, or nothing
    std::optional<std::size_t> choose(std::mt19937_64& random,
                                      std::optional<std::size_t> exclude = std::nullopt) const;

    /// An executor of another zone is chosen only if no executor of the same zone has a free slot, or if its
    /// load, from 0 to 1, is lower by more than this.
    static constexpr double zone_preference = 0.25;
    /// Weight of the load of the rack; that of the executor itself has the rest.
    static constexpr double rack_weight = 0.2;

private:
    /// Slots of all executors in one rack.
    struct rack_load {
        std::int64_t slots = 0;
        std::int64_t in_use = 0;
    };
    static constexpr std::size_t not_listed = static_cast<std::size_t>(-1);

    /// @return the free list to which the executor belongs when it has free slots
    std::vector<std::size_t>& list_of(std::size_t index);
    void set_listed(std::size_t index, bool listed);

    /// @return used fraction of the slots of an executor, combined with that of its rack
    [[nodiscard]] double load_of(std::size_t index) const;

    /// @return the less loaded of two random candidates, or nothing when there is none besides @p exclude
    std::optional<std::size_t> best_of_two(const std::vector<std::size_t>& candidates,
                                           std::mt19937_64& random, std::optional<std::size_t> exclude) const;

    std::vector<entry> executors;
    std::vector<std::size_t> position; ///< index in its free list, or `not_listed`
    std::vector<rack_load*> rack_of;
    std::map<std::string, rack_load> racks;
    std::vector<std::size_t> free_local;  ///< executors of the same zone with free slots
    std::vector<std::size_t> free_remote; ///< executors of other zones with free slots
    std::int64_t total_slots = 0;
};

} // namespace hornbeamrail

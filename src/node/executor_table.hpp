#pragma once

#include "node/dispatcher.hpp"
#include "policy/placement.hpp"
#include "policy/worker_health.hpp"
#include "state/fleet_state.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hornbeamrail {

/// The executors of all services as seen by one node: slot leases, health, and selection of one with a free
/// slot. Not thread-safe.
class executor_table {
public:
    struct options {
        std::string zone; ///< of this node
        std::uint64_t seed = 1;
        std::chrono::milliseconds lease_interval{500}; ///< between renewals of one lease
        std::chrono::milliseconds zone_ramp{10000};    ///< ramp-up after a zone is back in service
        /// Minimum number of executors to lease per service, if the pool has that many. Larger pools are
        /// leased only partially, or the lease traffic of a node would grow with the fleet.
        std::int64_t min_leases = 16;
    };

    explicit executor_table(options table_options);

    /// Applies VMs, pools and zones of a new state. Compares tables by address and skips unchanged ones.
    void set_state(boot_time now, std::shared_ptr<const fleet_state> next);

    /// Expires leases and recomputes ramps.
    void advance(boot_time now);

    /// Sets how many executors of a service to lease, from the number of slots that the node may use.
    void set_target_slots(boot_time now, std::string_view service, std::int64_t slots);

    /// @return leases to renew now; each counts as being renewed until `on_lease` or `on_lease_failed`
    std::vector<renew_lease> due_renewals(boot_time now);

    void on_lease(boot_time now, std::string_view vm, boot_time sent_at, const lease_answer& answer);
    void on_lease_failed(boot_time now, std::string_view vm);

    /// A reserved slot of an executor, with the lease token to present.
    struct reserved_slot {
        std::string vm;
        endpoint address;
        std::string token;
        boot_time accepted_until{}; ///< the executor accepts the token until this time at the latest
    };
    /// Reserves a slot of an executor that may start work: in service in the fold, zone not out, not leaving,
    /// valid lease.
    /// @param exclude VM that is used only if no other has a free slot
    /// @return the slot, or `nullopt` when none is free
    std::optional<reserved_slot> reserve_slot(boot_time now, std::string_view service,
                                              std::string_view exclude, std::mt19937_64& random);

    /// Releases a slot reserved by `reserve_slot`.
    void release_slot(boot_time now, std::string_view vm);

    /// Records the result of one dispatch.
    void record_health(boot_time now, std::string_view vm, bool failed);
    /// Counts all slots that this node does not use as used by other nodes until the next lease answer.
    void mark_full(boot_time now, std::string_view vm);
    /// Drops the lease after the executor refused its token, and schedules a renewal.
    void mark_lease_lapsed(boot_time now, std::string_view vm);

    /// @return the latest time at which the executor can have accepted work under the token of @p slot. A
    ///         later lease answer extends it only if that answer carried the same token.
    [[nodiscard]] boot_time accepted_until(const reserved_slot& slot) const;

    /// @return slots of all executors in service in the fold, leased by this node or not
    [[nodiscard]] std::int64_t capacity(std::string_view service) const;
    /// @return whether all executors of the service that are otherwise in service are in zones that are out
    [[nodiscard]] bool all_zones_out(std::string_view service) const;
    [[nodiscard]] bool has_free_slot(std::string_view service) const;

    [[nodiscard]] boost::json::value dump(boot_time now) const;

private:
    struct executor {
        std::string vm;
        endpoint address;
        std::string zone;
        std::string rack;
        std::string service;
        std::size_t index = 0;   ///< in the service's placement pool
        bool in_service = false; ///< in the fold
        bool zone_out = false;
        bool should_lease = false;  ///< selected for leasing by this node
        std::int64_t in_flight = 0; ///< requests of this node
        /// When this node learned of the executor process. Answers to earlier lease requests are ignored:
        /// they came from another process on the VM.
        boot_time known_since{};
        // Lease
        std::string token;
        boot_time valid_until{};
        boot_time executor_valid_until{}; ///< latest end of the lease by the executor's clock
        std::int64_t slots = 0;
        std::int64_t in_flight_of_others = 0; ///< requests of other nodes at the last lease answer
        bool leaving = false;
        bool renewing = false;
        std::int64_t in_flight_at_send = 0; ///< when the pending renewal was sent
        std::optional<boot_time> due;       ///< entry in `renewals`

        [[nodiscard]] bool may_start(boot_time now) const {
            return this->in_service && !this->zone_out && !this->leaving && now < this->valid_until;
        }
    };
    struct service_entry {
        std::string name;
        std::int64_t slots_per_executor = 8;
        std::vector<std::string> ranked;      ///< VMs in the order in which this node leases them
        std::vector<std::string> vm_by_index; ///< VM of each placement index
        placement_pool placement;
        worker_health health;
        std::int64_t capacity = 0;
        std::int64_t target_slots = 0;
        bool all_zones_out = false;
    };

    void rebuild(boot_time now);
    void update_zones(boot_time now);
    void count_capacity(service_entry& service);
    /// Selects the executors to lease and schedules their first renewals.
    void select_executors_to_lease(boot_time now, service_entry& service);
    void schedule_renewal(executor& item, boot_time at);
    /// Updates the usable and used slots of an executor in the placement pool.
    void update_slots(boot_time now, executor& item);
    executor* find(std::string_view vm);
    [[nodiscard]] const executor* find(std::string_view vm) const;
    /// @return whether the service has a usable executor in a zone that is not ramping up
    [[nodiscard]] bool has_zone_without_ramp(boot_time now, const service_entry& service) const;
    /// @return slots that new work may use, after health weight and zone ramp
    [[nodiscard]] std::int64_t usable_slots(boot_time now, const executor& item,
                                            const service_entry& service) const;

    options settings;
    std::shared_ptr<const fleet_state> state;
    std::map<std::string, executor, std::less<>> executors;
    std::map<std::string, service_entry, std::less<>> services;
    std::map<std::string, boot_time, std::less<>> zone_returned; ///< when a zone was put back in service
    std::set<std::pair<boot_time, std::string>> renewals;
    std::set<std::pair<boot_time, std::string>> expiries;
    /// Executors whose usable slots are reduced by a zone ramp or bad health; updated periodically.
    std::set<std::string> with_reduced_slots;
    boot_time ramps_updated{};
};

} // namespace hornbeamrail

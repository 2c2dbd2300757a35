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

/// Executors of all services as one node sees them: slot leases, health, and the choice of one with a free
/// slot.
class executor_table {
public:
    struct options {
        std::string zone; ///< of this node
        std::uint64_t seed = 1;
        std::chrono::milliseconds lease_interval{500};
        std::chrono::milliseconds zone_ramp{10000};
        /// Executors per service that are leased at least (if there are as many). Larger pools are leased in
        /// part, or the lease traffic of a node would grow with the fleet.
        std::int64_t min_leases = 16;
    };

    explicit executor_table(options table_options);

    /// Takes over VMs, pools and zones of a new state. Compares tables by address and does nothing for
    /// unchanged ones.
    void set_state(boot_time now, std::shared_ptr<const fleet_state> next);

    /// Lets leases lapse and recomputes ramps.
    void advance(boot_time now);

    /// Sets how many executors of a service to lease, from the slots that the node may use.
    void set_wanted_slots(boot_time now, std::string_view service, std::int64_t slots);

    /// @return leases to renew now; each is marked as in flight
    std::vector<renew_lease> due_renewals(boot_time now);

    void on_lease(boot_time now, std::string_view vm, boot_time sent_at, const lease_answer& answer);
    void on_lease_failed(boot_time now, std::string_view vm);

    struct choice {
        std::string vm;
        endpoint address;
        std::string token;
        boot_time accepted_until{}; ///< the executor accepts the token no longer than this
    };
    /// Takes a slot of an executor that may start work: in service by the log, zone not out, not leaving,
    /// lease valid.
    /// @param exclude VM that is taken only if no other has a free slot
    std::optional<choice> take(boot_time now, std::string_view service, std::string_view exclude,
                               std::mt19937_64& random);

    /// Returns a slot taken by `take`.
    void give_back(boot_time now, std::string_view vm);

    void record_health(boot_time now, std::string_view vm, bool failed);
    void mark_full(boot_time now, std::string_view vm); ///< until the next lease answer
    void mark_lease_lapsed(boot_time now, std::string_view vm);

    /// @return the latest time at which the executor can have accepted work under the token of @p taken. The
    /// time of a
    ///         token ends with the answer that carried it, unless a later answer carried the same token.
    [[nodiscard]] boot_time accepted_until(const choice& taken) const;

    /// @return slots of executors in service by the log, whether leased here or not
    [[nodiscard]] std::int64_t capacity(std::string_view service) const;
    /// @return whether every executor of the service that would be in service stands in a zone that is out
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
        bool in_service = false; ///< by the log
        bool zone_out = false;
        bool wanted = false;
        std::int64_t in_flight = 0; ///< of this node
        boot_time since{}; ///< when this process became known; earlier lease answers are of another one
        // Lease
        std::string token;
        boot_time valid_until{};
        boot_time executor_end{}; ///< latest end of the lease by the executor's clock
        std::int64_t slots = 0;
        std::int64_t others = 0; ///< running for other nodes at the last answer
        bool leaving = false;
        bool renewing = false;
        std::int64_t in_flight_at_send = 0;
        std::optional<boot_time> due; ///< entry in `renewals`

        [[nodiscard]] bool may_start(boot_time now) const {
            return this->in_service && !this->zone_out && !this->leaving && now < this->valid_until;
        }
    };
    struct service_entry {
        std::string name;
        std::int64_t slots_per_executor = 8;
        std::vector<std::string> ranked; ///< VMs in the order in which this node leases them
        std::vector<std::string> vm_at;  ///< by placement index
        placement_pool placement;
        worker_health health;
        std::int64_t capacity = 0;
        std::int64_t wanted_slots = 0;
        bool all_zones_out = false;
    };

    void rebuild(boot_time now);
    void update_zones(boot_time now);
    void count_capacity(service_entry& service);
    void choose_wanted(boot_time now, service_entry& service);
    void schedule(executor& item, boot_time at);
    void refresh(boot_time now, executor& item);
    executor* find(std::string_view vm);
    [[nodiscard]] const executor* find(std::string_view vm) const;
    [[nodiscard]] bool has_settled_zone(boot_time now, const service_entry& service) const;
    [[nodiscard]] std::int64_t slots_now(boot_time now, const executor& item,
                                         const service_entry& service) const;

    options settings;
    std::shared_ptr<const fleet_state> state;
    std::map<std::string, executor, std::less<>> executors;
    std::map<std::string, service_entry, std::less<>> services;
    std::map<std::string, boot_time, std::less<>> zone_returned;
    std::set<std::pair<boot_time, std::string>> renewals;
    std::set<std::pair<boot_time, std::string>> expiries;
    std::set<std::string> ramping; ///< executors whose slots change with time
    boot_time ramps_updated{};
};

} // namespace hornbeamrail

#pragma once

#include "fakes/history.hpp"
#include "protocol/platform.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

// Internal to the history checker: the events of a history grouped by what they belong to.

namespace hornbeamrail::history_detail {

using std::size_t;

/// Index of an event that has not happened.
inline constexpr size_t no_index = static_cast<size_t>(-1);
/// Time of an event that has not happened, or an open end.
inline constexpr boot_time no_time = boot_time::max();

/// Events of an operator's change.
struct change_trace {
    size_t submitted = no_index;
    size_t accepted = no_index;
    bool rejected = false;
    std::int64_t version = 0; ///< log offset; 0 while unknown
};

/// Events of a run.
struct run_trace {
    size_t start = no_index;
    size_t end = no_index;
};

/// Events of one submission of a request.
struct attempt_trace {
    size_t invoke = no_index;
    std::vector<size_t> answers;
    size_t lost = no_index;
    std::vector<size_t> runs; ///< indices of run_start events
};

using attempt_key = std::pair<std::string, std::int64_t>;

/// Events of a history grouped by request, run, change, service and team.
struct history_index {
    explicit history_index(const std::vector<history_event>& events);

    [[nodiscard]] const history_event& at(size_t index) const { return this->history[index]; }
    [[nodiscard]] boot_time time(size_t index) const {
        return index == no_index ? no_time : this->history[index].at;
    }

    const std::vector<history_event>& history;
    std::map<attempt_key, attempt_trace> attempts;
    std::map<std::int64_t, run_trace> runs;
    std::map<std::string, change_trace> changes;
    std::map<std::string, size_t> services; ///< by name: service_defined
    std::map<std::string, size_t> teams;    ///< by name: team_defined
};

/// Number of units after each change: units in use or available slots.
struct unit_timeline {
    std::vector<std::pair<boot_time, std::int64_t>> values;
    /// @return the highest number at any time from @p from to @p until
    [[nodiscard]] std::int64_t highest(boot_time from, boot_time until) const;
    /// @return the lowest number at any time from @p from to @p until
    [[nodiscard]] std::int64_t lowest(boot_time from, boot_time until) const;
};

/// Tracks the slots of VMs that may receive work: not leaving, not taken out, and not in a zone that is out.
class capacity_tracker {
public:
    explicit capacity_tracker(const history_index& events);

    /// Applies an event. If it may change the available slots, appends their number for each service.
    void update(const history_event& event, std::map<std::string, unit_timeline>& slots);

private:
    struct vm_entry {
        std::string pool;
        std::string zone;
        std::int64_t units = 0;
        bool leaving = false;
        bool out = false;
    };

    bool apply(const history_event& event);
    bool apply_change(const history_event& event);

    std::map<std::string, std::string> service_of_pool;
    std::map<std::string, vm_entry> vms;
    std::set<std::string> zones_out;
};

} // namespace hornbeamrail::history_detail

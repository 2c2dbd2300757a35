#pragma once

#include "protocol/platform.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hornbeamrail {

/// Counts the units that each team uses on one node, to enforce the upper limits.
///
/// A unit whose dispatch ended without an answer stays in use until the executor must have stopped the work.
/// Not thread-safe.
class unit_ledger {
public:
    [[nodiscard]] std::int64_t in_use(std::string_view team) const;

    /// Reserves units unless the team would exceed its limit.
    /// @param units must be positive
    /// @param usable limit on the units that the team may use on this node now
    /// @return whether the units were reserved
    bool try_reserve(std::string_view team, std::int64_t units, std::int64_t usable);
    /// Counts units that are already in use, without a check against the limit.
    void add(std::string_view team, std::int64_t units);
    /// Releases units that were reserved or added.
    void release(std::string_view team, std::int64_t units);

    /// Schedules the release of one unit, which stays in use until the first `release_due` at or after @p
    /// due.
    void release_at(std::string_view team, boot_time due);

    /// Releases the deferred units that are due.
    /// @return the teams of these units, without duplicates
    std::vector<std::string> release_due(boot_time now);

    /// @return number of units with a deferred release
    [[nodiscard]] std::size_t deferred_units() const noexcept { return this->deferred.size(); }
    [[nodiscard]] bool empty() const noexcept { return this->units_of.empty(); }
    /// @return units in use by team; teams without units are absent
    [[nodiscard]] const std::map<std::string, std::int64_t, std::less<>>& all() const noexcept {
        return this->units_of;
    }

private:
    std::map<std::string, std::int64_t, std::less<>> units_of; ///< contains only teams with units
    std::multiset<std::pair<boot_time, std::string>> deferred; ///< release time and team of single units
};

} // namespace hornbeamrail

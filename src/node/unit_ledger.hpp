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

/// Units that the teams have in use at one node, for the upper limits.
///
/// A unit whose dispatch ended without an answer stays in use until the executor has certainly stopped the
/// work.
class unit_ledger {
public:
    [[nodiscard]] std::int64_t in_use(std::string_view team) const;

    /// @param usable units that the node may use now
    /// @return whether the units fitted under @p usable and were taken
    bool try_take(std::string_view team, std::int64_t units, std::int64_t usable);
    /// Takes units without a check: they are in use already.
    void take(std::string_view team, std::int64_t units);
    void give_back(std::string_view team, std::int64_t units);

    /// Gives one unit back at @p until instead of now.
    void give_back_later(std::string_view team, boot_time until);

    /// Gives back the units whose time has come.
    /// @return their teams, each once
    std::vector<std::string> release_due(boot_time now);

    [[nodiscard]] std::size_t held_back() const noexcept { return this->later.size(); }
    [[nodiscard]] bool empty() const noexcept { return this->units_of.empty(); }
    [[nodiscard]] const std::map<std::string, std::int64_t, std::less<>>& all() const noexcept {
        return this->units_of;
    }

private:
    std::map<std::string, std::int64_t, std::less<>> units_of; ///< teams with units only
    std::multiset<std::pair<boot_time, std::string>> later;
};

} // namespace hornbeamrail

#include "node/unit_ledger.hpp"

namespace hornbeamrail {

std::int64_t unit_ledger::in_use(std::string_view team) const {
    const auto found = this->units_of.find(team);
    return found == this->units_of.end() ? 0 : found->second;
}

bool unit_ledger::try_take(std::string_view team, std::int64_t units, std::int64_t usable) {
    if (units <= 0 || this->in_use(team) + units > usable) {
        return false;
    }
    this->take(team, units);
    return true;
}

void unit_ledger::take(std::string_view team, std::int64_t units) {
    const auto found = this->units_of.find(team);
    if (found == this->units_of.end()) {
        this->units_of.emplace(std::string(team), units);
    } else {
        found->second += units;
    }
}

void unit_ledger::give_back(std::string_view team, std::int64_t units) {
    const auto found = this->units_of.find(team);
    if (found == this->units_of.end()) {
        return;
    }
    found->second -= units;
    if (found->second <= 0) {
        this->units_of.erase(found);
    }
}

void unit_ledger::give_back_later(std::string_view team, boot_time until) {
    this->later.emplace(until, std::string(team));
}

std::vector<std::string> unit_ledger::release_due(boot_time now) {
    std::set<std::string> teams;
    while (!this->later.empty() && this->later.begin()->first <= now) {
        this->give_back(this->later.begin()->second, 1);
        teams.insert(this->later.begin()->second);
        this->later.erase(this->later.begin());
    }
    return {teams.begin(), teams.end()};
}

} // namespace hornbeamrail

#include "node/unit_ledger.hpp"

namespace hornbeamrail {

std::int64_t unit_ledger::in_use(std::string_view team) const {
    const auto found = this->units_of.find(team);
    return found == this->units_of.end() ? 0 : found->second;
}

bool unit_ledger::try_reserve(std::string_view team, std::int64_t units, std::int64_t usable) {
    if (units <= 0 || this->in_use(team) + units > usable) {
        return false;
    }
    this->add(team, units);
    return true;
}

void unit_ledger::add(std::string_view team, std::int64_t units) {
    const auto found = this->units_of.find(team);
    if (found == this->units_of.end()) {
        this->units_of.emplace(std::string(team), units);
    } else {
        found->second += units;
    }
}

void unit_ledger::release(std::string_view team, std::int64_t units) {
    const auto found = this->units_of.find(team);
    if (found == this->units_of.end()) {
        return;
    }
    found->second -= units;
    if (found->second <= 0) {
        this->units_of.erase(found);
    }
}

void unit_ledger::release_at(std::string_view team, boot_time due) {
    this->deferred.emplace(due, std::string(team));
}

std::vector<std::string> unit_ledger::release_due(boot_time now) {
    std::set<std::string> teams;
    while (!this->deferred.empty() && this->deferred.begin()->first <= now) {
        this->release(this->deferred.begin()->second, 1);
        teams.insert(this->deferred.begin()->second);
        this->deferred.erase(this->deferred.begin());
    }
    return {teams.begin(), teams.end()};
}

} // namespace hornbeamrail

#include "policy/request_queue.hpp"

#include "protocol/durations.hpp"

#include <algorithm>

namespace hornbeamrail {

struct request_queue::team_queue {
    std::string name;
    std::uint64_t order = 0; ///< of creation
    double slot_share = min_slot_share;
    double received = 0; ///< slot-seconds over slot share, on the scale of `virtual_time`
    std::int64_t running = 0;
    bool blocked = false;
    std::set<std::pair<boot_time, std::uint64_t>> urgent;   ///< urgent requests by deadline
    std::set<std::pair<boot_time, std::uint64_t>> normal;   ///< other requests by deadline
    std::set<std::pair<boot_time, std::uint64_t>> arrivals; ///< all requests by arrival

    // Entries of the team in the rankings of the queue.
    bool listed_ready = false;
    bool listed_urgent = false;
    bool listed_backlog = false;
    double listed_slot_share = 0;
    rank ready_rank;
    rank backlog_rank;

    [[nodiscard]] std::int64_t queued() const {
        return static_cast<std::int64_t>(this->urgent.size() + this->normal.size());
    }
};

namespace {

/// Lead over the other teams up to which urgent requests go first, in time at the team's full slot share.
/// Without this limit, a team with steady urgent work would starve the others whenever there are fewer slots
/// than planned.
constexpr double urgent_lead_seconds = 1.0;

/// Lower bound of the charge for a request, so that teams with unknown run times still alternate.
constexpr double min_cost_seconds = 0.001;

} // namespace

request_queue::request_queue(request_queue_options queue_options) : options(queue_options) {}
request_queue::~request_queue() = default;
request_queue::request_queue(request_queue&&) noexcept = default;
request_queue& request_queue::operator=(request_queue&&) noexcept = default;

request_queue::team_queue& request_queue::find_or_add_team(std::string_view name) {
    if (const auto found = this->team_table.find(name); found != this->team_table.end()) {
        return *found->second;
    }
    auto team = std::make_unique<team_queue>();
    team->name = std::string(name);
    team->order = this->next_order++;
    team->received = this->virtual_time;
    auto& slot = this->team_table[team->name];
    slot = std::move(team);
    return *slot;
}

const request_queue::team_queue* request_queue::find_team(std::string_view name) const {
    const auto found = this->team_table.find(name);
    return found == this->team_table.end() ? nullptr : found->second.get();
}

bool request_queue::is_within_slot_share(const team_queue& team) const {
    if (team.received <= this->virtual_time) {
        return true;
    }
    return static_cast<double>(team.running + 1) <= team.slot_share &&
           team.received <= this->virtual_time + urgent_lead_seconds;
}

void request_queue::remove_from_rankings(team_queue& team) {
    if (team.listed_ready) {
        this->ready.erase(team.ready_rank);
    }
    if (team.listed_urgent) {
        this->urgent_ready.erase(team.ready_rank);
    }
    if (team.listed_backlog) {
        this->backlog.erase(team.backlog_rank);
        this->queued_slot_shares -= team.listed_slot_share;
    }
    team.listed_ready = team.listed_urgent = team.listed_backlog = false;
}

void request_queue::add_to_rankings(team_queue& team) {
    if (team.queued() == 0) {
        return;
    }
    team.listed_backlog = true;
    team.listed_slot_share = team.slot_share;
    this->queued_slot_shares += team.slot_share;
    team.backlog_rank = {static_cast<double>(team.queued()) / team.slot_share, team.order};
    this->backlog.emplace(team.backlog_rank, &team);
    if (team.blocked) {
        return;
    }
    team.ready_rank = {team.received, team.order};
    team.listed_ready = true;
    this->ready.emplace(team.ready_rank, &team);
    if (!team.urgent.empty()) {
        team.listed_urgent = true;
        this->urgent_ready.emplace(team.ready_rank, &team);
    }
}

void request_queue::set_slot_share(std::string_view name, double slots) {
    auto& team = this->find_or_add_team(name);
    const double new_share = std::max(slots, min_slot_share);
    if (new_share == team.slot_share) {
        return;
    }
    this->remove_from_rankings(team);
    if (team.received > this->virtual_time) {
        // Keeps the slot time by which the team is ahead of the others.
        team.received =
            this->virtual_time + (team.received - this->virtual_time) * team.slot_share / new_share;
    }
    team.slot_share = new_share;
    this->add_to_rankings(team);
}

double request_queue::queue_share(const team_queue& team) const {
    const double others = this->queued_slot_shares - (team.listed_backlog ? team.listed_slot_share : 0);
    return static_cast<double>(this->options.limit) * team.slot_share / (others + team.slot_share);
}

request_queue::team_queue* request_queue::team_to_displace(const team_queue& newcomer) const {
    if (this->backlog.empty() || static_cast<double>(newcomer.queued() + 1) > this->queue_share(newcomer)) {
        return nullptr;
    }
    auto* fullest = this->backlog.rbegin()->second;
    if (fullest == &newcomer || fullest->normal.empty() ||
        static_cast<double>(fullest->queued()) <= this->queue_share(*fullest)) {
        return nullptr;
    }
    return fullest;
}

bool request_queue::would_refuse(std::string_view name) const {
    const auto* known = this->find_team(name);
    const team_queue empty_team;
    const auto& team = known != nullptr ? *known : empty_team;
    const auto team_limit =
        std::max<std::int64_t>(1, static_cast<std::int64_t>(static_cast<double>(this->options.limit) *
                                                            this->options.max_team_fraction));
    if (team.queued() >= team_limit) {
        return true;
    }
    return this->size() >= this->options.limit && this->team_to_displace(team) == nullptr;
}

request_queue::push_result request_queue::push(const queued_request& request) {
    push_result outcome;
    if (this->requests.contains(request.id) || this->would_refuse(request.team)) {
        return outcome;
    }
    auto& team = this->find_or_add_team(request.team);
    if (this->size() >= this->options.limit) {
        auto* fullest = this->team_to_displace(team);
        if (fullest == nullptr) {
            return outcome;
        }
        outcome.displaced = fullest->normal.rbegin()->second;
        this->erase_request(*fullest, *outcome.displaced);
    }
    this->remove_from_rankings(team);
    if (team.queued() == 0) {
        // A team that was idle starts at the present virtual time: idle time earns no credit.
        team.received = std::max(team.received, this->virtual_time);
    }
    (request.urgent ? team.urgent : team.normal).emplace(request.deadline, request.id);
    team.arrivals.emplace(request.arrived, request.id);
    this->deadlines.emplace(request.deadline, request.id);
    this->requests.emplace(request.id, std::pair(&team, request));
    this->add_to_rankings(team);
    outcome.accepted = true;
    return outcome;
}

void request_queue::erase_request(team_queue& team, std::uint64_t id) {
    const auto found = this->requests.find(id);
    const auto& request = found->second.second;
    this->remove_from_rankings(team);
    (request.urgent ? team.urgent : team.normal).erase({request.deadline, id});
    team.arrivals.erase({request.arrived, id});
    this->deadlines.erase({request.deadline, id});
    this->requests.erase(found);
    this->add_to_rankings(team);
}

bool request_queue::remove(std::uint64_t id) {
    const auto found = this->requests.find(id);
    if (found == this->requests.end()) {
        return false;
    }
    auto& team = *found->second.first;
    this->erase_request(team, id);
    this->drop_if_unused(team);
    return true;
}

std::optional<queued_request> request_queue::front() const {
    if (this->ready.empty()) {
        return std::nullopt;
    }
    // At most 16 urgent teams are examined. They are ordered by received slot time: once one is ahead of the
    // virtual time, the later ones are too, and may start out of turn only if they have unused slots.
    int examined = 0;
    for (const auto& [unused, team] : this->urgent_ready) {
        if (this->is_within_slot_share(*team)) {
            return this->requests.at(team->urgent.begin()->second).second;
        }
        if (++examined == 16) {
            break;
        }
    }
    const auto& team = *this->ready.begin()->second;
    const auto& first = !team.urgent.empty() ? *team.urgent.begin() : *team.normal.begin();
    return this->requests.at(first.second).second;
}

void request_queue::block(std::string_view name) {
    auto& team = this->find_or_add_team(name);
    if (team.blocked) {
        return;
    }
    this->remove_from_rankings(team);
    team.blocked = true;
    this->blocked.insert(&team);
    this->add_to_rankings(team);
}

void request_queue::unblock(std::string_view name) {
    if (this->blocked.empty()) {
        return;
    }
    const auto found = this->team_table.find(name);
    if (found == this->team_table.end() || !found->second->blocked) {
        return;
    }
    auto& team = *found->second;
    this->remove_from_rankings(team);
    team.blocked = false;
    this->blocked.erase(&team);
    // A team earns no credit for the time during which it was blocked.
    team.received = std::max(team.received, this->virtual_time);
    this->add_to_rankings(team);
    this->drop_if_unused(team);
}

void request_queue::unblock_all() {
    const auto teams = this->blocked;
    for (auto* team : teams) {
        this->unblock(std::string(team->name));
    }
}

void request_queue::on_start(std::string_view name, std::chrono::microseconds expected) {
    auto& team = this->find_or_add_team(name);
    this->remove_from_rankings(team);
    ++team.running;
    // An urgent request may start out of turn: virtual time follows the team whose turn it is.
    const double level =
        this->ready.empty() ? team.received : std::min(team.received, this->ready.begin()->first.first);
    this->virtual_time = std::max(this->virtual_time, level);
    team.received += std::max(seconds_of(expected), min_cost_seconds) / team.slot_share;
    this->add_to_rankings(team);
}

void request_queue::on_end(std::string_view name, std::chrono::microseconds expected,
                           std::chrono::microseconds actual) {
    auto& team = this->find_or_add_team(name);
    this->remove_from_rankings(team);
    team.running = std::max<std::int64_t>(0, team.running - 1);
    const double charged = std::max(seconds_of(expected), min_cost_seconds);
    team.received += (std::max(seconds_of(actual), min_cost_seconds) - charged) / team.slot_share;
    this->add_to_rankings(team);
    this->drop_if_unused(team);
}

std::vector<std::uint64_t> request_queue::expire(boot_time now) {
    std::vector<std::uint64_t> expired;
    while (!this->deadlines.empty() && this->deadlines.begin()->first <= now) {
        const auto id = this->deadlines.begin()->second;
        expired.push_back(id);
        this->remove(id);
    }
    return expired;
}

std::int64_t request_queue::size(std::string_view team) const {
    const auto* found = this->find_team(team);
    return found == nullptr ? 0 : found->queued();
}

std::int64_t request_queue::running(std::string_view team) const {
    const auto* found = this->find_team(team);
    return found == nullptr ? 0 : found->running;
}

std::int64_t request_queue::ahead_of(std::string_view name, boot_time deadline, bool urgent) const {
    const auto* team = this->find_team(name);
    if (team == nullptr) {
        return 0;
    }
    // Counts from the back, because most new requests have one of the latest deadlines.
    const auto count_until_deadline = [&](const auto& set) {
        std::int64_t count = 0;
        for (auto it = set.rbegin(); it != set.rend() && it->first > deadline; ++it) {
            ++count;
        }
        return static_cast<std::int64_t>(set.size()) - count;
    };
    if (urgent) {
        return count_until_deadline(team->urgent);
    }
    return static_cast<std::int64_t>(team->urgent.size()) + count_until_deadline(team->normal);
}

std::vector<request_queue::team_summary> request_queue::teams() const {
    std::vector<team_summary> list;
    for (const auto& [name, team] : this->team_table) {
        if (team->queued() == 0 && team->running == 0) {
            continue;
        }
        list.push_back(
            {.team = name,
             .queued = team->queued(),
             .running = team->running,
             .oldest_arrival = team->arrivals.empty() ? boot_time{} : team->arrivals.begin()->first,
             .slot_share = team->slot_share});
    }
    std::sort(list.begin(), list.end(), [](const auto& a, const auto& b) { return a.team < b.team; });
    return list;
}

void request_queue::drop_if_unused(team_queue& team) {
    // A team that is ahead of the others keeps its entry, because dropping it would reset `received`.
    if (team.queued() == 0 && team.running == 0 && !team.blocked && team.received <= this->virtual_time) {
        this->team_table.erase(std::string(team.name));
    }
}

} // namespace hornbeamrail

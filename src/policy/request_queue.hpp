#pragma once

#include "protocol/platform.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace hornbeamrail {

/// A request in a queue.
struct queued_request {
    std::uint64_t id = 0;
    std::string team;
    boot_time deadline{};
    boot_time arrived{};
    bool urgent = false;
};

/// Limits of a request queue.
struct request_queue_options {
    std::int64_t limit = 400; ///< requests of all teams together
    /// Fraction of the limit that one team may use. Its requests above its share of the queue may be
    /// displaced by those of other teams.
    double max_team_fraction = 0.5;
};

/// Bounded queue of one service at one node.
///
/// While requests arrive faster than slots become free, the team that has received the least slot time
/// relative to its slot share goes first (start-time fair queueing, which also respects shares below one
/// slot). Within a team the earliest deadline goes first. Urgent requests go before all others while their
/// team is within its slot share. Unless stated otherwise, each operation costs O(log n) in requests and
/// teams.
class request_queue {
public:
    explicit request_queue(request_queue_options options = {});
    ~request_queue();
    request_queue(request_queue&&) noexcept;
    request_queue& operator=(request_queue&&) noexcept;

    /// Sets the limit on requests of all teams; requests above a lowered limit stay queued.
    void set_limit(std::int64_t limit) noexcept { this->options.limit = limit; }

    /// Sets the team's fair share of the service's slots at this node.
    ///
    /// Call it again before the first request of a team: the entry of a team without requests may be dropped.
    /// @param slots fractional number of slots; at least `min_slot_share` is used
    void set_slot_share(std::string_view team, double slots);

    /// Result of `push`.
    struct push_result {
        bool accepted = false;
        std::optional<std::uint64_t> displaced; ///< id of the request that was removed to make space
    };

    /// Adds a request. Refuses an id that is queued, and a team at `max_team_fraction`. When the queue is
    /// full, a request of a team below its share of the queue displaces the non-urgent request with the
    /// latest deadline of the team with the most requests relative to its share.
    push_result push(const queued_request& request);

    /// @return whether `push` would refuse a request of @p team now
    [[nodiscard]] bool would_refuse(std::string_view team) const;

    /// Removes a request.
    /// @return whether the request was queued
    bool remove(std::uint64_t id);

    /// @return the request to start next, which stays queued; nothing when all teams are empty or blocked
    [[nodiscard]] std::optional<queued_request> front() const;

    /// Skips a team in `front` until it is unblocked, for example while it has no units.
    void block(std::string_view team);
    /// Ends the effect of `block`; has no effect on a team that is not blocked.
    void unblock(std::string_view team);
    void unblock_all();

    /// Charges the start of a request to its team.
    /// @param expected mean run time; `on_end` corrects the difference to the actual one
    void on_start(std::string_view team, std::chrono::microseconds expected);

    /// Charges the end of a request to its team.
    /// @param expected value that was passed to `on_start`
    /// @param actual actual run time
    void on_end(std::string_view team, std::chrono::microseconds expected, std::chrono::microseconds actual);

    /// Removes requests whose deadline is at or before @p now.
    /// @return their ids
    std::vector<std::uint64_t> expire(boot_time now);

    /// @return queued requests of all teams
    [[nodiscard]] std::int64_t size() const noexcept {
        return static_cast<std::int64_t>(this->requests.size());
    }

    /// @return queued requests of a team
    [[nodiscard]] std::int64_t size(std::string_view team) const;

    /// @return running requests of a team
    [[nodiscard]] std::int64_t running(std::string_view team) const;

    /// @return requests of the team that start before one with this deadline. O(n) in requests with a later
    /// deadline.
    [[nodiscard]] std::int64_t ahead_of(std::string_view team, boot_time deadline, bool urgent) const;

    /// Load of one team.
    struct team_summary {
        std::string team;
        std::int64_t queued = 0;
        std::int64_t running = 0;
        boot_time oldest_arrival{}; ///< unspecified when nothing is queued
        double slot_share = 0;      ///< fractional slots
    };
    /// @return teams with queued or running requests. O(teams).
    [[nodiscard]] std::vector<team_summary> teams() const;

    /// Lower bound of a slot share, in slots.
    static constexpr double min_slot_share = 0.001;

private:
    struct team_queue;
    struct string_hash {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const noexcept {
            return std::hash<std::string_view>{}(text);
        }
    };
    /// Position of a team: a value to order by, then order of creation.
    using rank = std::pair<double, std::uint64_t>;
    using ranking = std::map<rank, team_queue*>;

    team_queue& find_or_add_team(std::string_view name);
    [[nodiscard]] const team_queue* find_team(std::string_view name) const;

    /// Removes a team from the rankings; to be called before a change of the team.
    void remove_from_rankings(team_queue& team);
    /// Adds a team to the rankings; to be called after a change of the team.
    void add_to_rankings(team_queue& team);
    /// Removes a request from all containers.
    void erase_request(team_queue& team, std::uint64_t id);

    /// @return whether an urgent request of the team may start out of turn
    [[nodiscard]] bool is_within_slot_share(const team_queue& team) const;

    /// @return share of the queue limit of a team, in requests
    [[nodiscard]] double queue_share(const team_queue& team) const;

    /// @return the team that loses a request to a request of @p newcomer, or nullptr
    [[nodiscard]] team_queue* team_to_displace(const team_queue& newcomer) const;

    /// Removes the entry of a team without requests, unless it must be kept for its state.
    void drop_if_unused(team_queue& team);

    request_queue_options options;
    std::unordered_map<std::string, std::unique_ptr<team_queue>, string_hash, std::equal_to<>> team_table;
    std::unordered_map<std::uint64_t, std::pair<team_queue*, queued_request>> requests;
    std::set<std::pair<boot_time, std::uint64_t>> deadlines;
    ranking ready;                       ///< teams with requests that are not blocked, by received slot time
    ranking urgent_ready;                ///< teams in `ready` with urgent requests
    std::map<rank, team_queue*> backlog; ///< teams with requests, by queued requests over slot share
    std::set<team_queue*> blocked;
    double queued_slot_shares = 0; ///< sum of the slot shares of teams with requests
    double virtual_time = 0;       ///< largest `received` of a team whose turn it was at a start
    std::uint64_t next_order = 0;
};

} // namespace hornbeamrail

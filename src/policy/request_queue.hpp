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

struct queued_request {
    std::uint64_t id = 0;
    std::string team;
    boot_time deadline{};
    boot_time arrived{};
    bool urgent = false;
};

struct request_queue_options {
    std::int64_t limit = 400; ///< all teams together
    /// Part of the limit that one team may fill while others leave it free.
    double team_part = 0.5;
};

/// Bounded queue of one service at one node.
///
/// Between teams, the one that has received the least slot time for its part goes first (start-time fair
/// queueing, so that parts below one slot are kept too). Within a team the earliest deadline goes first.
/// Urgent requests go before all others while their team is within its part. Each operation costs O(log n) in
/// requests and teams.
class request_queue {
public:
    explicit request_queue(request_queue_options options = {});
    ~request_queue();
    request_queue(request_queue&&) noexcept;
    request_queue& operator=(request_queue&&) noexcept;

    void set_limit(std::int64_t limit) noexcept { this->options.limit = limit; }

    /// Sets the team's fair part of the service's slots at this node.
    ///
    /// To be set before the first request of a team: the entry of a team without requests may be dropped.
    /// @param slots fractional; values below `min_part` count as that
    void set_part(std::string_view team, double slots);

    struct push_result {
        bool accepted = false;
        std::optional<std::uint64_t> displaced; ///< request that gave way; it left the queue
    };

    /// Adds a request. When the queue is full, a request of a team below its part of the queue displaces the
    /// one with the latest deadline of the team that is furthest above.
    push_result push(const queued_request& request);

    /// @return whether `push` would refuse a request of @p team now
    [[nodiscard]] bool would_refuse(std::string_view team) const;

    /// @return whether the request was queued; it is not afterwards
    bool remove(std::uint64_t id);

    /// @return the request to start next, which stays queued; nothing when all teams are empty or blocked
    [[nodiscard]] std::optional<queued_request> front() const;

    /// Passes over a team in `front` until `unblock`, for example while it has no units.
    void block(std::string_view team);
    void unblock(std::string_view team);
    void unblock_all();

    /// Counts a start of the team against its part.
    /// @param expected run time by the mean; corrected by `on_end`
    void on_start(std::string_view team, std::chrono::microseconds expected);
    void on_end(std::string_view team, std::chrono::microseconds expected, std::chrono::microseconds actual);

    /// Removes requests whose deadline is at or before @p now.
    /// @return their ids
    std::vector<std::uint64_t> expire(boot_time now);

    [[nodiscard]] std::int64_t size() const noexcept {
        return static_cast<std::int64_t>(this->requests.size());
    }
    [[nodiscard]] std::int64_t size(std::string_view team) const;
    [[nodiscard]] std::int64_t running(std::string_view team) const;

    /// @return requests of the team that start before one with this deadline
    [[nodiscard]] std::int64_t ahead_of(std::string_view team, boot_time deadline, bool urgent) const;

    struct team_summary {
        std::string team;
        std::int64_t queued = 0;
        std::int64_t running = 0;
        boot_time oldest_arrival{}; ///< meaningless when nothing is queued
        double part = 0;
    };
    /// @return teams with queued or running requests. O(teams).
    [[nodiscard]] std::vector<team_summary> teams() const;

    static constexpr double min_part = 0.001;

private:
    struct team_queue;
    struct string_hash {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const noexcept {
            return std::hash<std::string_view>{}(text);
        }
    };
    /// Position of a team: received slot time over part, then order of creation.
    using rank = std::pair<double, std::uint64_t>;
    using ranking = std::map<rank, team_queue*>;

    team_queue& team_of(std::string_view name);
    [[nodiscard]] const team_queue* find_team(std::string_view name) const;
    void unlist(team_queue& team);
    void list(team_queue& team);
    void erase_request(team_queue& team, std::uint64_t id);
    [[nodiscard]] bool within_part(const team_queue& team) const;
    [[nodiscard]] double queue_share(const team_queue& team) const;
    [[nodiscard]] team_queue* team_to_displace(const team_queue& newcomer) const;
    void drop_if_unused(team_queue& team);

    request_queue_options options;
    std::unordered_map<std::string, std::unique_ptr<team_queue>, string_hash, std::equal_to<>> team_table;
    std::unordered_map<std::uint64_t, std::pair<team_queue*, queued_request>> requests;
    std::set<std::pair<boot_time, std::uint64_t>> deadlines;
    ranking ready;                       ///< teams with requests that are not blocked
    ranking urgent_ready;                ///< those of them with urgent requests and within their part
    std::map<rank, team_queue*> backlog; ///< teams with requests by queued over part
    std::set<team_queue*> blocked;
    double queued_parts = 0; ///< sum of the parts of teams with requests
    double virtual_time = 0;
    std::uint64_t next_order = 0;
};

} // namespace hornbeamrail

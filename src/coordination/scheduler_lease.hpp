#pragma once

#include "protocol/platform.hpp"
#include "protocol/platform_port.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace hornbeamrail {

struct scheduler_lease_options {
    std::string node_id;
    std::string incarnation; ///< of the process; differs after each start
    std::chrono::milliseconds renew_interval{300};
    std::chrono::milliseconds renew_retry{100};     ///< after a refused or lost renewal
    std::chrono::milliseconds takeover_after{1200}; ///< silence of the holder before another node claims
    std::chrono::milliseconds stagger{120};         ///< added per rank, so that claims do not collide
    std::chrono::milliseconds weak_node_delay{0};   ///< added on a weak node: a stronger one claims first
    std::chrono::milliseconds read_freshness{900};  ///< the latest read of the topic may be this old
};

/// The lease that makes one node the scheduler, kept in the leader topic. Every record is appended on the
/// condition that the topic still ends where the writer believes, so claims and renewals have one order. The
/// term of a claim is the offset behind it, which only grows.
///
/// Silence counts only while the topic can be read: during an outage of the log nobody claims.
class scheduler_lease {
public:
    explicit scheduler_lease(scheduler_lease_options options);

    /// @param record of the leader topic
    void on_record(const keyed_record& record, boot_time now);

    /// Notes that the topic was read whole up to @p end.
    /// @param asked_at when the read was sent
    void on_read(std::int64_t end, boot_time asked_at, boot_time now);
    void on_read_failed(boot_time now);

    /// @return the append that is due, if any
    std::optional<append_call> tick(boot_time now);
    void on_append(const append_answer& answer, boot_time now);

    /// Gives the lease up; it is not claimed again.
    void begin_stop();

    /// Steps down because a record of this term was refused.
    void step_down(boot_time now);

    [[nodiscard]] bool is_held() const noexcept { return this->held; }
    [[nodiscard]] bool is_released() const noexcept { return this->stopping && !this->held; }
    [[nodiscard]] std::int64_t term() const noexcept { return this->own_term; }
    [[nodiscard]] const std::string& holder() const noexcept { return this->holder_node; }

    /// @return when the latest claim or renewal that took effect was sent; no other node claims sooner than
    /// `takeover_after` later
    [[nodiscard]] boot_time renewed() const noexcept { return this->renewed_at; }

private:
    [[nodiscard]] append_call make_append(std::int64_t term, bool release) const;
    [[nodiscard]] bool may_claim(boot_time now) const;

    scheduler_lease_options options;
    std::int64_t rank = 0;
    std::int64_t known_end = -1; ///< -1: not read yet
    std::string holder_node;
    std::string holder_incarnation;
    std::int64_t holder_term = 0;
    boot_time last_record{};
    boot_time last_read{}; ///< answer of the latest good read
    boot_time last_read_asked{};
    boot_time reads_good_since{};
    bool held = false;
    std::int64_t own_term = 0;
    bool append_in_flight = false;
    boot_time append_sent{};
    boot_time renewed_at{};
    std::int64_t pending_term = 0;
    bool pending_release = false;
    bool must_read = false; ///< an append was refused or lost: the topic tells what happened
    boot_time next_append{};
    bool stopping = false;
};

} // namespace hornbeamrail

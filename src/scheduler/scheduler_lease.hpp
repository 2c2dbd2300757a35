#pragma once

#include "protocol/platform.hpp"
#include "protocol/platform_port.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace hornbeamrail {

/// Identity of a node and timings of its claims.
struct scheduler_lease_options {
    std::string node_id;
    std::string incarnation;                       ///< of the process; a new one after each start
    std::chrono::milliseconds renew_interval{300}; ///< between renewals
    std::chrono::milliseconds renew_retry{100};    ///< after an append that was refused or lost
    /// Age of the holder's last renewal at which another node may claim the lease.
    std::chrono::milliseconds takeover_after{1200};
    std::chrono::milliseconds rank_delay{120}; ///< per rank of the node, so that claims do not collide
    /// Added on a node with few resources, so that a stronger one claims first.
    std::chrono::milliseconds weak_node_delay{0};
    std::chrono::milliseconds read_freshness{900}; ///< greatest age of the last read for a claim
};

/// Elects the scheduler: a lease in the leader topic that one node holds at a time. Every append is
/// conditional on the end of the topic that the writer knows, so claims and renewals are totally ordered. The
/// term of a claim is the offset after its record, so terms only increase.
///
/// A holder counts as unresponsive only while the topic can be read, so no node claims during a log outage.
/// Does no I/O. Not thread-safe.
class scheduler_lease {
public:
    explicit scheduler_lease(scheduler_lease_options options);

    /// Applies a record of the leader topic. Records that are already known are ignored.
    void on_record(const keyed_record& record, boot_time now);

    /// Handles a successful read of the topic up to @p end.
    /// @param sent_at when the read was sent
    void on_read(std::int64_t end, boot_time sent_at, boot_time now);

    /// Handles a failed read: the time without a renewal is counted anew from the next successful read.
    void on_read_failed(boot_time now);

    /// @return a claim, renewal or release that is due; nullopt if none is, or while an append is in flight
    std::optional<append_call> tick(boot_time now);

    /// Handles the answer to the append that `tick` returned last.
    void on_append(const append_answer& answer, boot_time now);

    /// Releases the lease and never claims it again.
    void begin_stop();

    /// Drops the lease without a record, because the log refused an append of this term.
    void step_down(boot_time now);

    /// @return whether this node is the scheduler
    [[nodiscard]] bool is_held() const noexcept { return this->held; }
    /// @return whether the stop has begun and the lease is not held any more
    [[nodiscard]] bool is_released() const noexcept { return this->stopping && !this->held; }
    /// @return term of this node's latest claim
    [[nodiscard]] std::int64_t term() const noexcept { return this->own_term; }

    /// @return node that holds the lease; empty if it is free
    [[nodiscard]] const std::string& holder() const noexcept { return this->holder_node; }

    /// @return when the last successful claim or renewal was sent; no other node claims within
    /// `takeover_after` of it
    [[nodiscard]] boot_time renewed() const noexcept { return this->renewed_at; }

private:
    [[nodiscard]] append_call make_append(std::int64_t term, bool release) const;
    [[nodiscard]] bool may_claim(boot_time now) const;

    scheduler_lease_options options;
    std::int64_t rank = 0;       ///< derived from the node id; nodes of lower rank claim earlier
    std::int64_t known_end = -1; ///< end of the topic; -1 before the first read
    std::string holder_node;
    std::string holder_incarnation;
    std::int64_t holder_term = 0;
    boot_time last_record{};
    boot_time last_read{};      ///< when the last successful read was answered
    boot_time last_read_sent{}; ///< when that read was sent
    boot_time readable_since{}; ///< first read since the last failed one; zero after a failure
    bool held = false;
    std::int64_t own_term = 0;
    bool append_in_flight = false;
    boot_time append_sent{};
    boot_time renewed_at{};
    std::int64_t pending_term = 0; ///< term of the append in flight
    bool pending_release = false;
    bool must_read = false; ///< no append before a read shows whether the last one took effect
    boot_time next_append{};
    bool stopping = false;
};

} // namespace hornbeamrail

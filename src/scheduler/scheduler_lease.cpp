#include "scheduler/scheduler_lease.hpp"

#include "protocol/json_log.hpp"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <functional>

namespace hornbeamrail {

namespace {

constexpr std::string_view lease_key = "scheduler";
/// The hash of a node's id assigns it one of these ranks, which delays its claims.
constexpr std::size_t rank_count = 6;
/// A free lease is claimed after this delay per rank, without waiting for `takeover_after`.
constexpr std::chrono::milliseconds free_lease_rank_delay{25};
/// Limits the extra delay of a weak node for a free lease; a strong node claims a released lease sooner.
constexpr std::chrono::milliseconds max_free_lease_delay{500};

std::string string_member(const boost::json::object& from, std::string_view name) {
    const auto* value = from.if_contains(name);
    const auto* text = value == nullptr ? nullptr : value->if_string();
    return text == nullptr ? std::string() : std::string(*text);
}

} // namespace

scheduler_lease::scheduler_lease(scheduler_lease_options settings)
    : options(std::move(settings)),
      rank(static_cast<std::int64_t>(std::hash<std::string>()(this->options.node_id) % rank_count)) {}

void scheduler_lease::on_record(const keyed_record& record, boot_time now) {
    if (record.key != lease_key || record.offset < this->known_end) {
        return;
    }
    boost::system::error_code failure;
    const auto document = boost::json::parse(record.value, failure);
    const auto* object = failure ? nullptr : document.if_object();
    if (object == nullptr) {
        write_log(severity::warning, "lease_record_unreadable", {{"offset", record.offset}});
        return;
    }
    const auto* term = object->if_contains("term");
    this->holder_node = string_member(*object, "node");
    this->holder_incarnation = string_member(*object, "incarnation");
    this->holder_term = term != nullptr && term->is_int64() ? term->as_int64() : 0;
    this->last_record = now;
    this->known_end = record.offset + 1;
    const bool is_own = this->holder_incarnation == this->options.incarnation;
    if (this->held && is_own && this->holder_node.empty()) {
        this->held = false; // the release succeeded, but its answer was lost
    } else if (this->held && (!is_own || this->holder_term != this->own_term)) {
        write_log(
            severity::warning, "lease_lost",
            {{"term", this->own_term}, {"holder", this->holder_node}, {"holder_term", this->holder_term}});
        this->held = false;
    } else if (!this->held && is_own && !this->holder_node.empty() && !this->stopping &&
               this->holder_term > this->own_term) {
        this->held = true; // the claim succeeded, but its answer was lost
        this->own_term = this->holder_term;
    }
}

void scheduler_lease::on_read(std::int64_t end, boot_time sent_at, boot_time now) {
    if (this->readable_since == boot_time{}) {
        this->readable_since = now;
    }
    this->known_end = std::max(this->known_end, end);
    this->last_read = now;
    this->last_read_sent = sent_at;
    this->must_read = false;
}

void scheduler_lease::on_read_failed(boot_time) {
    this->readable_since = {};
}

bool scheduler_lease::may_claim(boot_time now) const {
    if (this->stopping || this->known_end < 0 || this->must_read || this->readable_since == boot_time{} ||
        now > this->last_read + this->options.read_freshness) {
        return false;
    }
    if (this->holder_node.empty()) {
        const auto free_since = std::max(this->readable_since, this->last_record);
        return now >= free_since + this->rank * free_lease_rank_delay +
                          std::min(this->options.weak_node_delay, max_free_lease_delay);
    }
    if (this->holder_node == this->options.node_id) {
        return true; // the holder was an earlier process of this node
    }
    const auto unresponsive_after =
        this->options.takeover_after + this->rank * this->options.rank_delay + this->options.weak_node_delay;
    return now > this->last_record + unresponsive_after && now > this->readable_since + unresponsive_after &&
           this->last_read_sent > this->last_record;
}

append_call scheduler_lease::make_append(std::int64_t term, bool release) const {
    const boost::json::object value{{"node", release ? std::string() : this->options.node_id},
                                    {"incarnation", this->options.incarnation},
                                    {"term", term}};
    return {.topic = log_topic::leader,
            .records = {{.key = std::string(lease_key), .value = boost::json::serialize(value)}},
            .expected_end = this->known_end,
            .timeout = std::chrono::milliseconds(1000)};
}

std::optional<append_call> scheduler_lease::tick(boot_time now) {
    if (this->append_in_flight || now < this->next_append || this->known_end < 0) {
        return std::nullopt;
    }
    if (this->held) {
        if (this->must_read) {
            return std::nullopt;
        }
        this->pending_release = this->stopping;
        this->pending_term = this->own_term;
    } else if (this->may_claim(now)) {
        this->pending_release = false;
        this->pending_term = this->known_end + 1;
    } else {
        return std::nullopt;
    }
    this->append_in_flight = true;
    this->append_sent = now;
    return this->make_append(this->pending_term, this->pending_release);
}

void scheduler_lease::on_append(const append_answer& answer, boot_time now) {
    this->append_in_flight = false;
    this->next_append = now + this->options.renew_retry;
    if (answer.outcome == append_outcome::appended) {
        this->known_end = std::max(this->known_end, answer.end);
        this->last_record = now;
        this->renewed_at = this->append_sent;
        this->next_append = now + this->options.renew_interval;
        if (this->pending_release) {
            this->held = false;
            this->holder_node.clear();
        } else if (!this->held && this->pending_term > this->own_term) {
            this->held = true;
            this->own_term = this->pending_term;
            this->holder_node = this->options.node_id;
            this->holder_incarnation = this->options.incarnation;
            this->holder_term = this->own_term;
        }
    } else if (answer.outcome != append_outcome::refused && answer.outcome != append_outcome::rejected) {
        this->must_read = true;
    }
}

void scheduler_lease::begin_stop() {
    if (this->stopping) {
        return;
    }
    this->stopping = true;
    this->next_append = {};
}

void scheduler_lease::step_down(boot_time now) {
    this->held = false;
    this->must_read = true;
    this->next_append = now + this->options.renew_interval;
}

} // namespace hornbeamrail

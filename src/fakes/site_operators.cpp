#include "fakes/site_operators.hpp"

#include "protocol/digest.hpp"

#include <fmt/format.h>

#include <utility>

namespace hornbeamrail {

namespace {

constexpr std::chrono::milliseconds poll_interval{50};
constexpr std::chrono::milliseconds resubmit_interval{3000};

} // namespace

site_operators::site_operators(site_world& world, std::function<std::shared_ptr<simulated_node>()> pick)
    : site(world), pick_node(std::move(pick)) {}

void site_operators::submit(record_body body, history_event subject, decision_callback done) {
    const auto number = ++this->submitted_changes;
    auto pending = std::make_shared<change>();
    pending->id = fmt::format("00000000-0000-4000-8000-{:012}", number);
    pending->body = std::move(body);
    pending->subject = std::move(subject);
    pending->done = std::move(done);
    pending->submitted = this->site.now();
    pending->subject.change_id = pending->id;
    pending->subject.at = this->site.now();
    pending->subject.kind = event_kind::change_submitted;
    this->site.history.record(pending->subject);
    this->send(pending);
    this->poll(pending);
}

void site_operators::send(const std::shared_ptr<change>& pending) {
    pending->node = this->pick_node();
    pending->last_sent = this->site.now();
    if (pending->node) {
        pending->node->deliver([node = pending->node.get(), pending] {
            node->core().submit_change(node->clock(), pending->id, pending->body);
        });
    }
}

void site_operators::poll(const std::shared_ptr<change>& pending) {
    this->site.queue.after(poll_interval, [this, pending] {
        const bool reachable = pending->node && pending->node->alive() && !pending->node->paused();
        const change_status status =
            reachable ? pending->node->core().change_status(pending->id) : change_status{};
        const bool accepted = status.phase == change_phase::accepted;
        if (!accepted && status.phase != change_phase::rejected) {
            if (!reachable || this->site.now() - pending->last_sent > resubmit_interval) {
                this->send(pending);
            }
            this->poll(pending);
            return;
        }
        pending->subject.at = this->site.now();
        pending->subject.kind = accepted ? event_kind::change_accepted : event_kind::change_rejected;
        pending->subject.version = accepted ? status.offset : 0;
        this->site.history.record(pending->subject);
        if (accepted && pending->subject.text == "config") {
            this->roll_out_times.push_back(this->site.now() - pending->submitted);
        }
        if (pending->done) {
            pending->done(accepted);
        }
    });
}

void site_operators::grant_key(const std::string& team, decision_callback done) {
    const std::string key = fmt::format("key-{}-{}", team, this->submitted_changes);
    this->submit(key_grant_record{.key_id = key, .key_hash = sha256_hex(key), .team = team},
                 {.team = team, .key = key, .text = "key_grant"},
                 [this, team, key, done = std::move(done)](bool accepted) {
                     if (accepted) {
                         this->keys[team].push_back(key);
                     }
                     if (done) {
                         done(accepted);
                     }
                 });
}

void site_operators::revoke_key(const std::string& key, decision_callback done) {
    this->submit(key_revoke_record{.key_id = key}, {.key = key, .text = "key_revoke"}, std::move(done));
}

void site_operators::change_upper_limit(const std::shared_ptr<simulated_node>& node, const std::string& team,
                                        std::int64_t units) {
    const auto state = node->core().state();
    fleet_config edited = state->config();
    for (team_config& entry : edited.teams) {
        if (entry.name == team) {
            entry.upper_limit = units;
        }
    }
    this->submit(config_record{.expected_version = state->config_version(),
                               .config = std::make_shared<const fleet_config>(std::move(edited))},
                 {.team = team, .text = "config", .units = units});
}

std::string site_operators::key_of(const std::string& team) const {
    const auto found = this->keys.find(team);
    return found == this->keys.end() || found->second.empty() ? std::string() : found->second.back();
}

std::string site_operators::oldest_key_of(const std::string& team) const {
    const auto found = this->keys.find(team);
    return found == this->keys.end() || found->second.empty() ? std::string() : found->second.front();
}

} // namespace hornbeamrail

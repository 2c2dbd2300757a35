#include "coordination/node_core_impl.hpp"

#include "hornbeamrail/request_id.hpp"
#include "protocol/json_log.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace hornbeamrail {

namespace {

// Minimum interval between log reads that return records. Each such read publishes the fold and clones its
// tables, so a burst of changes is batched.
constexpr std::chrono::milliseconds read_spacing{50};

// Minimum interval between requests for records or snapshots of peers.
constexpr std::chrono::milliseconds fetch_spacing{250};

// Records are fetched from peers when no log read has succeeded for this time.
constexpr std::chrono::milliseconds log_unresponsive_after{750};

// Delay before this node appends another `node_counted` record.
constexpr std::chrono::seconds counted_retry{2};

// The cached snapshot is dropped when no peer has fetched it for this time.
constexpr std::chrono::minutes cached_snapshot_lifetime{1};

// Queue entries reserved for the records of the node itself. `submit_change` does not use them.
constexpr std::size_t reserved_queue_records = 512;

std::set<std::string, std::less<>> regions_of(const fleet_state& state) {
    std::set<std::string, std::less<>> regions;
    for (const auto& [incarnation, node] : state.nodes()) {
        if (node.counted) {
            regions.insert(node.region);
        }
    }
    return regions;
}

} // namespace

std::string_view to_string(change_phase phase) noexcept {
    switch (phase) {
    case change_phase::pending:
        return "pending";
    case change_phase::accepted:
        return "accepted";
    case change_phase::rejected:
        return "rejected";
    case change_phase::unknown:
        break;
    }
    return "unknown";
}

node_core::impl::impl(core_options node_options)
    : options(std::move(node_options)), random(options.seed), log(options.limits),
      queue(options.limits, random()), own_freshness(options.timings), members(options),
      grants(options.timings), claims(options.timings, options.limits), lease(options.timings),
      vm_planner(planner_options{}), node_reclaimer(options.timings), snapshots(options.limits, random()) {}

void node_core::impl::on_input(boot_time now) {
    if (!this->has_input) {
        this->has_input = true;
    } else if (now - this->last_input_at > this->options.timings.pause_gap) {
        write_log(
            severity::warning, "process_was_paused",
            {{"node", this->options.node_id},
             {"gap_ms",
              std::chrono::duration_cast<std::chrono::milliseconds>(now - this->last_input_at).count()}});
        ++this->pauses;
        this->own_freshness.clear();
        this->members.on_pause(now);
        this->node_reclaimer.on_pause();
        this->last_own_read.reset();
    }
    this->last_input_at = std::max(this->last_input_at, now);
}

bool node_core::impl::log_answers(boot_time now) const {
    return this->last_own_read && now - *this->last_own_read < this->options.timings.fresh_bound / 2;
}

bool node_core::impl::is_fresh(boot_time now) const {
    // A longer gap since the last input means that the process was paused and that input received meanwhile
    // has not been processed.
    return now - this->last_input_at <= this->options.timings.pause_gap && this->own_freshness.is_fresh(now);
}

bool node_core::impl::may_append(boot_time now) const {
    return this->own_incarnation != 0 && this->log_answers(now) && this->is_fresh(now);
}

bool node_core::impl::is_planner(boot_time now) const {
    return planner_lease::holds(this->fold(), this->own_incarnation) && this->is_fresh(now) &&
           !this->stopping;
}

node_status node_core::impl::local_status(boot_time now) const {
    node_status status{.incarnation = this->own_incarnation,
                       .next_offset = this->log.next_offset(),
                       .evidence_age = this->own_freshness.age(now),
                       .log_answers = this->log_answers(now),
                       .leaving = this->stopping,
                       .vm_list_version = this->vms->version};
    if (status.evidence_age) {
        status.evidence_head = this->own_freshness.newest()->head;
    }
    return status;
}

std::string node_core::impl::new_change_id() {
    return fmt::format("{:08x}-{:04x}-4{:03x}-{:04x}-{:012x}", this->random() & 0xFFFFFFFFU,
                       this->random() & 0xFFFFU, this->random() & 0xFFFU,
                       (this->random() & 0x3FFFU) | 0x8000U, this->random() & 0xFFFFFFFFFFFFU);
}

std::optional<std::string> node_core::impl::append(record_body body) {
    auto change_id = this->new_change_id();
    if (!this->queue.add({.change_id = change_id, .body = std::move(body)})) {
        write_log(severity::warning, "append_queue_full", {{"node", this->options.node_id}});
        return std::nullopt;
    }
    return change_id;
}

bool node_core::impl::is_queued(const std::optional<std::string>& change_id) const {
    return change_id && this->queue.contains(*change_id);
}

void node_core::impl::update_incarnation(boot_time now) {
    if (this->own_incarnation != 0) {
        const auto* node = this->fold().find_node(this->own_incarnation);
        if (node != nullptr && node->live()) {
            return;
        }
        write_log(severity::warning, "own_incarnation_ended",
                  {{"node", this->options.node_id}, {"incarnation", this->own_incarnation}});
        this->own_incarnation = 0;
        this->register_change.reset();
        this->counted_change.reset();
        this->grants.drop();
        this->claims.drop();
        this->next_counted_try = now;
    }
    if (this->register_change) {
        const auto outcome = this->fold().outcome_of(*this->register_change);
        if (outcome && outcome->accepted) {
            const auto* node = this->fold().find_node(outcome->offset);
            // The registration may have been reclaimed before this node folded it.
            this->own_incarnation = node != nullptr && node->live() ? outcome->offset : 0;
            this->registered_before = true;
        }
        if (outcome || !this->is_queued(this->register_change)) {
            this->register_change.reset();
        }
    }
}

void node_core::impl::on_folded(boot_time now) {
    this->own_freshness.on_folded(this->log.next_offset());
    this->queue.remove_settled(this->fold());
    this->update_incarnation(now);
    this->grants.on_folded(this->own_incarnation, this->fold());
    this->members.refresh(now, this->log.state(), this->own_incarnation);
}

void node_core::impl::read_log_step(boot_time now, actions& out) {
    if (this->is_read_pending || now < this->next_read) {
        return;
    }
    this->is_read_pending = true;
    out.emplace_back(read_log{.from = this->log.read_offset(),
                              .max_records = this->options.limits.read_records,
                              .wait = this->options.timings.log_wait});
}

std::optional<endpoint> node_core::impl::choose_catch_up_peer(boot_time now) {
    if (const auto ahead = this->members.peer_ahead(now, this->log.next_offset())) {
        return ahead;
    }
    // A node that is not registered receives no heartbeats, and a node that searches for a snapshot can use
    // any peer. Both query the seeds and the nodes of their fold in turn.
    if (this->own_incarnation != 0 && !this->log.is_searching_snapshot()) {
        return std::nullopt;
    }
    std::vector<endpoint> known = this->options.peer_seeds;
    for (const auto& [incarnation, node] : this->fold().nodes()) {
        if (node.live()) {
            known.push_back(node.peer_address);
        }
    }
    std::erase(known, this->options.peer_address);
    if (known.empty()) {
        return std::nullopt;
    }
    return known[this->next_seed++ % known.size()];
}

// Peers serve as the second source of records: at startup, during a log outage, and when the log no longer
// holds the next record.
void node_core::impl::catch_up_step(boot_time now, actions& out) {
    const bool log_is_responsive = this->last_own_read && now - *this->last_own_read < log_unresponsive_after;
    const bool starting = this->log.next_offset() == 1;
    if (now < this->next_fetch || !this->fetch_calls.empty() ||
        (log_is_responsive && !this->log.is_searching_snapshot() && !starting)) {
        return;
    }
    if (starting && log_is_responsive && this->log.head() == 1) {
        return; // The log is empty.
    }
    const auto peer = this->choose_catch_up_peer(now);
    this->next_fetch = now + fetch_spacing;
    if (!peer) {
        return;
    }
    wire::PeerRequest request;
    if (starting || this->needs_snapshot || this->log.is_searching_snapshot()) {
        request.__set_fetch_snapshot({});
        this->needs_snapshot = false;
    } else {
        wire::FetchRecords fetch;
        fetch.from_offset = this->log.next_offset();
        fetch.max_records = this->options.limits.read_records;
        request.__set_fetch_records(fetch);
    }
    this->fetch_calls.insert(++this->call_number);
    out.emplace_back(send_peer_request{.call = {.peer = *peer, .number = this->call_number},
                                       .request = std::move(request),
                                       .timeout = this->options.timings.peer_timeout * 4});
}

void node_core::impl::vm_list_step(boot_time now, actions& out) {
    if (this->is_vm_list_pending || now < this->next_vm_list) {
        return;
    }
    this->is_vm_list_pending = true;
    // Larger lists are fetched proportionally less often to keep the bytes per second constant.
    const auto factor =
        std::max<std::size_t>(1, this->vms->vms.size() / this->options.limits.vm_list_full_rate);
    this->next_vm_list = now + this->options.timings.vm_list_interval * static_cast<std::int64_t>(factor);
    out.emplace_back(fetch_vm_list{});
}

void node_core::impl::register_step(boot_time now) {
    if (this->own_incarnation != 0 || this->stopping || this->register_change || !this->log_answers(now) ||
        !this->is_fresh(now)) {
        return;
    }
    // Only the first registration proves that the earlier process has ended. A later registration comes from
    // the same process as the registration before it.
    this->register_change = this->append(node_register_record{
        .node_id = this->options.node_id,
        .peer_address = this->options.peer_address,
        .zone = this->options.zone,
        .region = this->options.region,
        .ended_before =
            this->options.peer_address_bound && !this->registered_before ? this->log.next_offset() : 0});
}

void node_core::impl::counted_step(boot_time now) {
    if (!this->may_append(now) || this->stopping || now < this->next_counted_try ||
        this->is_queued(this->counted_change) ||
        this->members.confirmed_offset(this->options.region) <= this->own_incarnation) {
        return;
    }
    const auto* node = this->fold().find_node(this->own_incarnation);
    const auto counted = this->fold().counted_nodes(this->options.region).size();
    if (node->counted || counted >= fleet_state::max_counted_nodes_per_region) {
        return;
    }
    this->next_counted_try = now + counted_retry;
    this->counted_change = this->append(node_counted_record{.incarnation = this->own_incarnation});
}

void node_core::impl::grant_step(boot_time now) {
    if (this->grants.outstanding_record() && !this->is_queued(this->grant_change)) {
        this->grant_change = this->append(*this->grants.outstanding_record());
        return;
    }
    if (!this->may_append(now) || this->stopping) {
        return;
    }
    if (this->grants.plan_is_due(now)) {
        const auto demand = this->members.fleet_demand(now);
        const auto live = std::count_if(this->fold().nodes().begin(), this->fold().nodes().end(),
                                        [](const auto& entry) { return entry.second.live(); });
        const bool knows_all_demand = static_cast<std::size_t>(live) <= this->options.limits.group_nodes;
        this->grants.begin_plan(now, knows_all_demand
                                         ? plan_grants(this->own_incarnation, this->fold(), demand)
                                         : plan_grants_by_sums(this->own_incarnation, this->fold(), demand));
    }
    if (auto record = this->grants.next_record(this->own_incarnation, this->fold())) {
        this->grant_change = this->append(std::move(*record));
    }
}

void node_core::impl::partition_step(boot_time now) {
    if (!this->may_append(now) || this->stopping || this->is_queued(this->release_change)) {
        return;
    }
    std::vector<int> owned;
    for (int number = 0; number < claim_partition_count; ++number) {
        if (this->fold().partitions()[static_cast<std::size_t>(number)].owner == this->own_incarnation) {
            owned.push_back(number);
        }
    }
    const auto live = std::count_if(this->fold().nodes().begin(), this->fold().nodes().end(),
                                    [](const auto& entry) { return entry.second.live(); });
    const auto fair_share = static_cast<std::size_t>((claim_partition_count + live - 1) / live);
    if (owned.size() <= fair_share) {
        return;
    }
    owned.erase(owned.begin(), owned.begin() + static_cast<std::ptrdiff_t>(fair_share));
    this->release_change = this->append(
        partitions_release_record{.incarnation = this->own_incarnation, .partitions = std::move(owned)});
}

void node_core::impl::reclaim_step(boot_time now) {
    if (!this->may_append(now)) {
        return;
    }
    for (auto& record :
         this->node_reclaimer.next_records(now, this->fold(), this->own_incarnation, this->members)) {
        this->append(std::move(record));
    }
}

void node_core::impl::snapshot_step(boot_time now) {
    if (!this->may_append(now) || this->stopping) {
        return;
    }
    const auto parts =
        this->snapshots.next_parts(now, this->log, this->fold().nodes().size(), this->new_change_id());
    for (const auto& part : parts) {
        this->append(part);
    }
}

void node_core::impl::planner_step(boot_time now, actions& out) {
    if (this->may_append(now) && !this->stopping) {
        if (auto claim = this->lease.next_claim(now, this->fold(), this->own_incarnation, this->members)) {
            this->append(*claim);
        }
    }
    const bool holds = this->is_planner(now);
    if (holds != this->held_planner_lease) {
        this->vm_planner.reset();
        this->held_planner_lease = holds;
    }
    if (!holds || !this->log_answers(now) || this->wall_at == boot_time{}) {
        return;
    }
    std::map<std::string, double, std::less<>> demand_slots;
    for (const auto& node : this->members.fleet_demand(now).nodes) {
        for (const auto& entry : node.services) {
            demand_slots[entry.service] += static_cast<double>(entry.running + entry.queued);
        }
    }
    const auto wall_now = this->wall + std::chrono::duration_cast<std::chrono::seconds>(now - this->wall_at);
    const auto state = this->log.state();
    auto output = this->vm_planner.tick(now, {.state = *state,
                                              .platform_vms = *this->vms,
                                              .demand_slots = demand_slots,
                                              .budget_left = this->budgets,
                                              .wall_now = wall_now});
    for (auto& record : output.records) {
        this->append(std::move(record));
    }
    for (auto& call : output.calls) {
        out.emplace_back(std::move(call));
    }
}

void node_core::impl::leave_step(boot_time now) {
    if (!this->stopping || this->own_incarnation == 0 || this->is_queued(this->leave_change) ||
        this->reports_since_stop < 2 || !this->idle || !this->log_answers(now)) {
        return;
    }
    this->claims.stop();
    this->leave_change = this->append(node_leave_record{.incarnation = this->own_incarnation});
}

std::vector<std::string> node_core::impl::unconfirmed_regions(log_offset offset) const {
    std::vector<std::string> unconfirmed;
    for (const auto& region : regions_of(this->fold())) {
        if (this->members.confirmed_offset(region) <= offset) {
            unconfirmed.push_back(region);
        }
    }
    return unconfirmed;
}

node_core::node_core(core_options options) : self(std::make_unique<impl>(std::move(options))) {}

node_core::~node_core() = default;

std::vector<core_action> node_core::tick(boot_time now) {
    auto& core = *this->self;
    core.on_input(now);
    std::vector<core_action> out;
    if (const auto evidence = core.members.majority_evidence(now, core.local_status(now))) {
        core.own_freshness.add(*evidence, core.log.next_offset());
    }
    core.claims.advance(now, this->epoch());
    if (core.snapshot_served_at && now - *core.snapshot_served_at > cached_snapshot_lifetime) {
        core.log.drop_cached_snapshot();
        core.snapshot_served_at.reset();
    }
    core.read_log_step(now, out);
    core.catch_up_step(now, out);
    core.vm_list_step(now, out);
    core.register_step(now);
    core.counted_step(now);
    core.reclaim_step(now);
    core.grant_step(now);
    core.partition_step(now);
    core.planner_step(now, out);
    core.snapshot_step(now);
    core.leave_step(now);
    for (auto& request : core.members.heartbeats(now, core.local_status(now), core.call_number)) {
        out.emplace_back(std::move(request));
    }
    if (auto call = core.queue.next_call(now, core.fold())) {
        out.emplace_back(std::move(*call));
    }
    return out;
}

void node_core::on_log_read(boot_time now, boot_time read_started, const log_read& read) {
    auto& core = *this->self;
    core.on_input(now);
    core.is_read_pending = false;
    core.next_read = now + (read.entries.empty() ? std::chrono::milliseconds(0) : read_spacing);
    if (core.last_read_failed) {
        core.queue.on_log_available(now);
        core.last_read_failed = false;
    }
    if (!core.last_own_read || read_started > *core.last_own_read) {
        core.last_own_read = read_started;
    }
    core.log.add_log_read(read);
    core.own_freshness.add({.as_of = read_started, .head = read.head}, core.log.next_offset());
    core.on_folded(now);
}

void node_core::on_log_read_failed(boot_time now) {
    auto& core = *this->self;
    core.on_input(now);
    core.is_read_pending = false;
    core.last_read_failed = true;
    core.next_read = now + core.options.timings.log_retry;
}

void node_core::on_append(boot_time now, std::uint64_t batch, log_offset first_offset) {
    this->self->on_input(now);
    this->self->queue.on_appended(batch, first_offset);
    this->self->queue.remove_settled(this->self->fold());
}

void node_core::on_append_failed(boot_time now, std::uint64_t batch) {
    auto& core = *this->self;
    core.on_input(now);
    core.queue.on_failed(now, batch);
    if (core.log_answers(now)) {
        core.queue.on_log_available(now);
    }
}

void node_core::on_vm_list(boot_time now, const vm_list& list) {
    auto& core = *this->self;
    core.on_input(now);
    core.is_vm_list_pending = false;
    if (list.version < core.vms->version) {
        return;
    }
    if (list.version > core.vms->version) {
        core.vms = std::make_shared<const vm_list>(list);
    }
    core.node_reclaimer.on_vm_list(list, core.fold());
}

void node_core::on_vm_list_failed(boot_time now) {
    this->self->on_input(now);
    this->self->is_vm_list_pending = false;
}

wire::PeerResponse node_core::on_peer_request(boot_time now, const wire::PeerRequest& request) {
    auto& core = *this->self;
    core.on_input(now);
    wire::PeerResponse response;
    if (request.__isset.heartbeat) {
        response.__set_heartbeat(core.members.answer(now, core.local_status(now), request.heartbeat));
    } else if (request.__isset.fetch_records) {
        response.__set_records(
            core.log.records_from(request.fetch_records.from_offset, request.fetch_records.max_records));
    } else if (request.__isset.fetch_snapshot) {
        response.__set_snapshot(core.log.snapshot());
        core.snapshot_served_at = now;
    } else if (request.__isset.claim) {
        wire::ClaimAnswer answer;
        answer.status =
            core.claims.claim(request.claim, core.fold(), core.own_incarnation, core.is_fresh(now));
        answer.owner_next_offset = core.log.next_offset();
        response.__set_claim(answer);
    } else {
        if (request.__isset.resolve_claim) {
            core.claims.resolve(request.resolve_claim);
        }
        response.__set_acknowledgement({});
    }
    return response;
}

void node_core::on_peer_response(boot_time now, const peer_call& call, const wire::PeerResponse& response) {
    auto& core = *this->self;
    core.on_input(now);
    if (response.__isset.heartbeat && core.members.is_open(call)) {
        if (const auto evidence = core.members.on_answer(now, call, response.heartbeat)) {
            core.own_freshness.add(*evidence, core.log.next_offset());
        }
        return;
    }
    if (core.fetch_calls.erase(call.number) == 0) {
        return;
    }
    if (response.__isset.records) {
        core.needs_snapshot = core.log.add_peer_records(response.records);
        core.next_fetch = response.records.records.empty() ? core.next_fetch : now;
    } else if (response.__isset.snapshot && core.log.add_peer_snapshot(response.snapshot)) {
        core.next_fetch = now;
    }
    core.on_folded(now);
}

void node_core::on_peer_failed(boot_time now, const peer_call& call) {
    auto& core = *this->self;
    core.on_input(now);
    core.members.on_failed(call);
    core.fetch_calls.erase(call.number);
}

void node_core::on_vm_call_answer(boot_time now, const vm_call& call, vm_operation_state state) {
    this->self->on_input(now);
    this->self->vm_planner.on_call_answer(call, state);
}

void node_core::on_wall_clock(boot_time now, std::chrono::sys_seconds wall) {
    this->self->on_input(now);
    this->self->wall = wall;
    this->self->wall_at = now;
}

void node_core::report_budgets(std::map<std::string, double, std::less<>> budget_left) {
    this->self->budgets = std::move(budget_left);
}

void node_core::report_demand(boot_time now, std::vector<service_demand> demand,
                              const std::vector<team_units>& running_units) {
    auto& core = *this->self;
    core.on_input(now);
    core.members.set_own_demand(demand_table(demand));
    core.grants.on_running(running_units);
    core.idle = std::all_of(running_units.begin(), running_units.end(),
                            [](const auto& entry) { return entry.units == 0; });
    if (core.stopping) {
        ++core.reports_since_stop;
    }
}

bool node_core::submit_change(boot_time now, std::string change_id, record_body body) {
    auto& core = *this->self;
    core.on_input(now);
    if (core.fold().outcome_of(change_id) || core.queue.contains(change_id)) {
        return true;
    }
    return core.queue.size() + reserved_queue_records < append_queue::max_records &&
           core.queue.add({.change_id = std::move(change_id), .body = std::move(body)});
}

void node_core::begin_stop(boot_time now) {
    this->self->on_input(now);
    this->self->stopping = true;
}

std::shared_ptr<const fleet_state> node_core::state() const {
    return this->self->log.state();
}

bool node_core::view_is_fresh(boot_time now) const {
    return this->self->is_fresh(now);
}

incarnation_id node_core::incarnation() const {
    return this->self->own_incarnation;
}

log_offset node_core::epoch() const {
    return this->self->log.next_offset() - 1;
}

std::int64_t node_core::usable_units(std::string_view team) const {
    const auto& core = *this->self;
    if (core.own_incarnation == 0 || core.stopping) {
        return 0;
    }
    return core.grants.usable(team, core.own_incarnation, core.fold());
}

fleet_demand node_core::fleet_demand() const {
    return this->self->members.fleet_demand(this->self->last_input_at);
}

incarnation_id node_core::partition_owner(std::string_view request_id_text) const {
    return this->self->fold()
        .partitions()[static_cast<std::size_t>(claim_partition_of(request_id_text))]
        .owner;
}

change_status node_core::change_status(std::string_view change_id) const {
    const auto& core = *this->self;
    const auto outcome = core.fold().outcome_of(change_id);
    if (!outcome) {
        return {.phase = core.queue.contains(change_id) ? change_phase::pending : change_phase::unknown};
    }
    if (!outcome->accepted) {
        return {.phase = change_phase::rejected, .offset = outcome->offset, .reason = outcome->reason};
    }
    auto unconfirmed = core.unconfirmed_regions(outcome->offset);
    return {.phase = unconfirmed.empty() ? change_phase::accepted : change_phase::pending,
            .offset = outcome->offset,
            .unconfirmed_regions = std::move(unconfirmed)};
}

std::shared_ptr<const vm_list> node_core::platform_vms() const {
    return this->self->vms;
}

bool node_core::log_answers(boot_time now) const {
    return this->self->log_answers(now);
}

bool node_core::is_planner(boot_time now) const {
    return this->self->is_planner(now);
}

bool node_core::is_stopped() const {
    return this->self->stopping && this->self->own_incarnation == 0 && !this->self->register_change;
}

} // namespace hornbeamrail

#pragma once

#include "node/dispatcher.hpp"
#include "protocol/digest.hpp"

#include <boost/test/unit_test.hpp>

#include <map>
#include <string>
#include <vector>

namespace hornbeamrail {

using namespace std::chrono_literals;

/// Stub of the coordination core: each query returns a settable value.
struct stub_core {
    fleet_state fold;
    std::shared_ptr<const fleet_state> published = std::make_shared<const fleet_state>();
    bool fresh = true;
    incarnation_id self = 1;
    incarnation_id owner = 1;
    std::map<std::string, std::int64_t, std::less<>> usable;
    hornbeamrail::fleet_demand demand_of_all;

    std::shared_ptr<const fleet_state> state() const { return this->published; }
    bool view_is_fresh(boot_time) const { return this->fresh; }
    incarnation_id incarnation() const { return this->self; }
    log_offset epoch() const { return this->fold.next_offset(); }
    std::int64_t usable_units(std::string_view team) const {
        const auto found = this->usable.find(team);
        return found == this->usable.end() ? 0 : found->second;
    }
    hornbeamrail::fleet_demand fleet_demand() const { return this->demand_of_all; }
    incarnation_id partition_owner(std::string_view) const { return this->owner; }

    void add(record_body body) {
        const auto outcome =
            this->fold.apply(this->fold.next_offset(), {.change_id = random_uuid(), .body = std::move(body)});
        BOOST_REQUIRE_MESSAGE(outcome.accepted, outcome.reason);
        this->published = std::make_shared<const fleet_state>(this->fold);
    }
};

/// One dispatcher with two services of three VMs each in zones a, b and c, and the teams "one" and "two".
class dispatcher_fixture {
public:
    dispatcher_fixture() {
        fleet_config config{
            .site = "test",
            .zones = {{.name = "a", .region = "r"},
                      {.name = "b", .region = "r"},
                      {.name = "c", .region = "r"}},
            .pools = {{.name = "p", .vms = 3}, {.name = "q", .vms = 3}},
            .services = {{.name = "s", .pool = "p", .queue_limit = 20},
                         {.name = "t", .pool = "q", .depends_on = {"s"}}},
            .teams = {{.name = "one", .share = 50, .upper_limit = 100, .services = {"s", "t"}},
                      {.name = "two", .share = 50, .upper_limit = 100, .services = {"s"}}}};
        this->core.add(config_record{.config = std::make_shared<const fleet_config>(config)});
        this->core.add(key_grant_record{.key_id = "k1", .key_hash = "hash1", .team = "one"});
        this->core.add(key_grant_record{.key_id = "k2", .key_hash = "hash2", .team = "two"});
        this->core.add(node_register_record{
            .node_id = "n", .peer_address = {"127.0.0.1", 1}, .zone = "a", .region = "r"});
        const auto self = this->core.fold.nodes().begin()->first;
        this->core.self = self;
        this->core.owner = self;
        this->core.add(planner_claim_record{.incarnation = self});
        std::vector<vm_description> vms;
        for (const std::string zone : {"a", "b", "c"}) {
            vms.push_back(this->vm("p-" + zone, zone, "p"));
            vms.push_back(this->vm("q-" + zone, zone, "q"));
        }
        this->core.add(vm_add_record{.epoch = this->core.fold.planner().epoch, .vms = vms});
        this->core.usable = {{"one", 100}, {"two", 100}};
        this->node =
            std::make_unique<dispatcher>(read_from(this->core), dispatcher_options{.zone = "a", .seed = 7});
    }

    /// Advances the time and ticks the dispatcher. Records its actions by type. Lease renewals are
    /// answered immediately and fail if `answer_leases` is false.
    void step(std::chrono::milliseconds passed = 0ms) {
        this->now += passed;
        for (int round = 0; round < 2; ++round) {
            for (auto& action : this->node->tick(this->now)) {
                this->record_action(std::move(action));
            }
        }
    }

    ticket_id submit(incoming_request request) {
        const auto result = this->node->submit(this->now, request);
        if (const auto* answer = std::get_if<refusal>(&result)) {
            BOOST_FAIL(answer->error + ": " + answer->message);
        }
        return std::get<ticket_id>(result);
    }

    refusal expect_refusal(incoming_request request) {
        const auto result = this->node->submit(this->now, request);
        BOOST_REQUIRE(std::holds_alternative<refusal>(result));
        BOOST_TEST((std::get<refusal>(result).outcome == run_outcome::not_run));
        return std::get<refusal>(result);
    }

    static incoming_request request(std::string key = "hash1", std::string service = "s") {
        return {.service = std::move(service), .key_hash = std::move(key), .request_id = "id"};
    }

    static incoming_request non_idempotent_request(std::string token = "tokentoken") {
        auto value = request();
        value.idempotent = false;
        value.request_id = "e1-" + token;
        return value;
    }

    void answer_claim(ticket_id ticket, wire::ClaimStatus::type status) {
        wire::ClaimAnswer answer;
        answer.status = status;
        this->node->on_claim_answer(this->now, ticket, answer);
        this->step();
    }

    bool finish_dispatch(ticket_id ticket, dispatch_end end) {
        const bool delivered = this->node->on_dispatch_done(this->now, ticket, {.end = end});
        this->step();
        return delivered;
    }

    stub_core core;
    std::unique_ptr<dispatcher> node;
    boot_time now{1000s};
    lease_answer lease{.token = "token", .ttl = 2000ms, .slots = 8};
    bool answer_leases = true;
    std::vector<dispatch_request> dispatches;
    std::map<ticket_id, refusal> refusals;
    std::vector<ask_claim> claim_requests;
    std::vector<resolve_claim> resolved;

private:
    static vm_description vm(const std::string& id, const std::string& zone, const std::string& pool) {
        return {.id = id,
                .address = {"10.0.0.1", 80},
                .zone = zone,
                .rack = "rack-" + zone,
                .pool = pool,
                .cores = 32,
                .memory_mb = 65536};
    }

    void record_action(dispatch_action action) {
        if (auto* item = std::get_if<dispatch_request>(&action)) {
            this->dispatches.push_back(*item);
        } else if (auto* refuse = std::get_if<refuse_ticket>(&action)) {
            BOOST_TEST(this->refusals.emplace(refuse->ticket, refuse->answer).second,
                       "a ticket was answered twice");
        } else if (auto* ask = std::get_if<ask_claim>(&action)) {
            this->claim_requests.push_back(*ask);
        } else if (auto* end = std::get_if<resolve_claim>(&action)) {
            this->resolved.push_back(*end);
        } else if (auto* renew = std::get_if<renew_lease>(&action)) {
            if (this->answer_leases) {
                this->node->on_lease(this->now, renew->vm, this->now, this->lease);
            } else {
                this->node->on_lease_failed(this->now, renew->vm);
            }
        }
    }
};

} // namespace hornbeamrail

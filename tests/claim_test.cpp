#include "coordination/claim_service.hpp"
#include "core_test_site.hpp"
#include "hornbeamrail/request_id.hpp"

#include <rapidcheck.h>

#include <set>

using namespace hornbeamrail;
using namespace std::chrono_literals;
using status = wire::ClaimStatus;

namespace {

/// @return a request id with the current epoch of @p owner, in a partition that @p owner owns
std::string id_owned_by(core_test_site& site, int owner, int number = 0) {
    for (;; ++number) {
        auto id = "e" + std::to_string(site.core(owner).epoch()) + "-token" + std::to_string(1000 + number);
        if (site.core(owner).partition_owner(id) == site.core(owner).incarnation()) {
            return id;
        }
    }
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(claim_suite, core_test_site)

// Guards against one id running twice: a claim is granted only once, even to the same claimant.
BOOST_AUTO_TEST_CASE(claim_is_granted_once) {
    this->start(3);
    const auto id = id_owned_by(*this, 1);
    const auto first = this->core(2).incarnation();
    const auto second = this->core(3).incarnation();
    BOOST_TEST(this->claim(1, id, first, 1) == status::granted);
    BOOST_TEST(this->claim(1, id, first, 2) == status::in_progress);
    BOOST_TEST(this->claim(1, id, second, 1) == status::in_progress);
    this->resolve(1, id, first, 1, wire::ClaimResolution::ended);
    BOOST_TEST(this->claim(1, id, second, 2) == status::finished);
}

// Guards against a late duplicate of a release ending a newer claim of the same id.
BOOST_AUTO_TEST_CASE(release_ends_only_its_own_attempt) {
    this->start(3);
    const auto id = id_owned_by(*this, 1);
    const auto claimant = this->core(2).incarnation();
    BOOST_TEST(this->claim(1, id, claimant, 1) == status::granted);
    this->resolve(1, id, claimant, 1, wire::ClaimResolution::not_dispatched);
    BOOST_TEST(this->claim(1, id, claimant, 2) == status::granted);
    this->resolve(1, id, claimant, 1, wire::ClaimResolution::not_dispatched);
    BOOST_TEST(this->claim(1, id, this->core(3).incarnation(), 1) == status::in_progress);
    this->resolve(1, id, this->core(3).incarnation(), 2, wire::ClaimResolution::not_dispatched);
    BOOST_TEST(this->claim(1, id, this->core(3).incarnation(), 2) == status::in_progress);
    this->resolve(1, id, claimant, 2, wire::ClaimResolution::outcome_unknown);
    BOOST_TEST(this->claim(1, id, claimant, 3) == status::unknown_outcome);
}

// Guards against a grant by a node that has a stale view, does not own the partition, or has not folded the
// epoch of the id.
BOOST_AUTO_TEST_CASE(only_a_fresh_owner_grants) {
    this->start(3);
    const auto id = id_owned_by(*this, 1);
    const auto claimant = this->core(2).incarnation();
    BOOST_TEST(this->claim(3, id, claimant) == status::not_owner);
    BOOST_TEST(this->claim(1, id, 9999) == status::unavailable);
    auto ahead = id;
    ahead.replace(1, id.find('-') - 1, std::to_string(this->core(1).epoch() + 1));
    if (this->core(1).partition_owner(ahead) == this->core(1).incarnation()) {
        BOOST_TEST(this->claim(1, ahead, claimant) == status::unavailable);
    }
    this->simulation.pause("n1");
    this->run(3s);
    BOOST_TEST(this->claim(1, id, claimant) == status::unavailable);
}

// Guards against a new owner granting an id that the dead owner may already have granted. Newer ids must be
// granted again.
BOOST_AUTO_TEST_CASE(new_owner_refuses_ids_from_before_its_ownership) {
    this->start(3);
    const auto id = id_owned_by(*this, 1);
    const auto own = id_owned_by(*this, 2);
    const auto claimant = this->core(2).incarnation();
    BOOST_TEST(this->claim(1, id, claimant) == status::granted);
    BOOST_TEST(this->claim(2, own, this->core(1).incarnation()) == status::granted);
    const auto dead = this->core(1).incarnation();
    this->simulation.kill("n1");
    BOOST_REQUIRE(this->within(60s, [&] { return this->core(2).state()->find_node(dead) == nullptr; }));
    BOOST_TEST(this->claim(2, own, claimant) == status::unknown_outcome); // Its claimant is dead.
    this->run(1s);
    const int owner = this->core(2).partition_owner(id) == this->core(2).incarnation() ? 2 : 3;
    BOOST_TEST(this->claim(owner, id, claimant) == status::stale_epoch);
    BOOST_TEST(this->claim(owner, id_owned_by(*this, owner), claimant) == status::granted);
}

BOOST_AUTO_TEST_SUITE_END()

// Guards the memory bound and the horizon: a full table refuses claims, and ids older than the horizon are
// removed and answered with `stale_epoch`.
BOOST_AUTO_TEST_CASE(memory_is_bounded) {
    fleet_state state;
    state.apply(1, {.change_id = "r", .body = node_register_record{.node_id = "n", .region = "r"}});
    claim_service claims(core_timings{}, core_limits{.claims = 100});
    const auto claim = [&](const std::string& id) {
        wire::Claim request;
        request.request_id = id;
        request.claimant = 1;
        return claims.claim(request, state, 1, true);
    };
    for (int number = 0; number < 100; ++number) {
        BOOST_REQUIRE(claim("e1-token" + std::to_string(1000 + number)) == status::granted);
    }
    BOOST_TEST(claim("e1-token9999") == status::unavailable);
    state.skip(2);
    for (auto now = boot_time(0s); now <= boot_time(620s); now += 10s) {
        claims.advance(now, now < boot_time(10s) ? 1 : 2);
    }
    BOOST_TEST(claims.size() == 0);
    BOOST_TEST(claim("e1-token1000") == status::stale_epoch);
    BOOST_TEST(claim("e2-token1000") == status::granted);
}

// Guards at-most-once dispatch for any order of claims and releases, including duplicates of releases.
BOOST_AUTO_TEST_CASE(any_history_dispatches_once) {
    BOOST_TEST(rc::check("at most once", [] {
        fleet_state state;
        for (log_offset offset = 1; offset <= 3; ++offset) {
            state.apply(offset, {.change_id = std::to_string(offset),
                                 .body = node_register_record{.node_id = "n", .region = "r"}});
        }
        claim_service claims(core_timings{}, core_limits{});
        // Every partition belongs to the first node and had no earlier owner.
        const std::string id = "e1-token0001";
        std::vector<wire::ResolveClaim> sent;
        int dispatched = 0;
        const auto steps = *rc::gen::inRange(1, 30);
        for (std::int64_t attempt = 1; attempt <= steps; ++attempt) {
            if (!sent.empty() && *rc::gen::arbitrary<bool>()) {
                claims.resolve(sent[*rc::gen::inRange<std::size_t>(0, sent.size())]);
                continue;
            }
            wire::Claim claim;
            claim.request_id = id;
            claim.claimant = *rc::gen::inRange<log_offset>(1, 4);
            claim.attempt = attempt;
            if (claims.claim(claim, state, 1, true) != status::granted) {
                continue;
            }
            const bool dispatches = *rc::gen::arbitrary<bool>();
            dispatched += dispatches;
            wire::ResolveClaim resolution;
            resolution.request_id = id;
            resolution.claimant = claim.claimant;
            resolution.attempt = attempt;
            resolution.resolution = !dispatches                   ? wire::ClaimResolution::not_dispatched
                                    : *rc::gen::arbitrary<bool>() ? wire::ClaimResolution::ended
                                                                  : wire::ClaimResolution::outcome_unknown;
            sent.push_back(resolution);
        }
        RC_ASSERT(dispatched <= 1);
    }));
}

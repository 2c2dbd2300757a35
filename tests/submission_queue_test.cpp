#include "fakes/fake_site.hpp"
#include "site/log_tail.hpp"
#include "site/submission_queue.hpp"

#include <boost/test/unit_test.hpp>

#include <optional>

using namespace hornbeamrail;
using std::chrono::milliseconds;

namespace {

struct fixture {
    void add(const std::string& key, milliseconds caller_timeout = milliseconds(1000)) {
        this->queue.add({.key = key, .value = "v"}, this->now + caller_timeout,
                        [this, key](store_outcome outcome) { this->answers[key] = outcome; });
    }

    std::optional<append_call> tick() {
        this->now += milliseconds(100);
        return this->queue.tick(this->now);
    }

    boot_time now{milliseconds(1000)};
    submission_queue queue{{.producer = "node-1"}};
    std::map<std::string, store_outcome> answers;
    fake_keyed_log log;
};

/// Loads the newest records into the tail.
template <class Deliver>
void load(log_tail& tail, const fake_keyed_log& log, boot_time now, Deliver deliver) {
    const auto request = std::get<newest_call>(*tail.tick(now));
    tail.on_newest(tail.latest_ticket(), log.newest(request), deliver, now);
}

} // namespace

BOOST_FIXTURE_TEST_CASE(records_are_stored_in_groups, fixture) {
    this->add("a");
    this->add("b");
    const auto call = this->tick();
    BOOST_REQUIRE(call.has_value());
    BOOST_TEST(call->records.size() == 2);
    this->add("c");
    BOOST_TEST(!this->tick().has_value()); // only one append in flight
    this->queue.on_append(this->log.append(*call), this->now);
    BOOST_TEST((this->answers["a"] == store_outcome::stored));
    BOOST_TEST((this->answers["b"] == store_outcome::stored));
    BOOST_TEST(this->tick()->records.size() == 1);
}

BOOST_FIXTURE_TEST_CASE(refused_append_is_reported_at_once_as_not_stored, fixture) {
    this->add("a");
    this->tick();
    this->queue.on_append({.outcome = append_outcome::refused}, this->now);
    BOOST_TEST((this->answers["a"] == store_outcome::not_stored));
}

BOOST_FIXTURE_TEST_CASE(lost_answer_is_repeated_with_the_same_number, fixture) {
    this->add("a");
    const auto first = this->tick();
    this->log.append(*first);
    this->queue.on_append({.outcome = append_outcome::unknown}, this->now);
    BOOST_TEST(!this->answers.contains("a"));
    const auto second = this->tick();
    BOOST_REQUIRE(second.has_value());
    BOOST_TEST(second->producer->sequence == first->producer->sequence);
    this->queue.on_append(this->log.append(*second), this->now);
    BOOST_TEST((this->answers["a"] == store_outcome::stored));
    BOOST_TEST(this->log.read({.topic = log_topic::jobs}).end == 1);
}

// A refusal of a retry does not show whether the earlier attempt, which had no answer, took effect.
BOOST_FIXTURE_TEST_CASE(refusal_after_a_lost_answer_is_not_passed_on, fixture) {
    this->add("a", milliseconds(350));
    this->tick();
    this->queue.on_append({.outcome = append_outcome::unknown}, this->now);
    this->tick();
    this->queue.on_append({.outcome = append_outcome::refused}, this->now);
    BOOST_TEST(!this->answers.contains("a"));
    this->now += milliseconds(500);
    this->queue.tick(this->now);
    BOOST_TEST((this->answers["a"] == store_outcome::unknown));
}

// Guards against one record that the log does not accept, such as a job too large for it: the callers whose
// records came with it were refused as well, and again with each repetition.
BOOST_FIXTURE_TEST_CASE(record_that_the_log_rejects_fails_alone, fixture) {
    this->log.set_rejected([](log_topic, const keyed_record& record) { return record.key == "c"; });
    for (const auto* key : {"a", "b", "c", "d", "e", "f", "g"}) {
        this->add(key, milliseconds(5000));
    }
    for (int round = 0; round < 20 && this->answers.size() < 7; ++round) {
        if (const auto call = this->tick()) {
            this->queue.on_append(this->log.append(*call), this->now);
        }
    }
    BOOST_TEST((this->answers["c"] == store_outcome::rejected));
    for (const auto* key : {"a", "b", "d", "e", "f", "g"}) {
        BOOST_TEST((this->answers[key] == store_outcome::stored));
    }
    BOOST_TEST(this->log.read({.topic = log_topic::jobs}).end == 6);
}

// Guards against an append without an answer that takes effect after the log has rejected its repetition: the
// records that follow use its sequence number.
BOOST_FIXTURE_TEST_CASE(rejected_repetition_fences_the_earlier_attempt, fixture) {
    this->add("a");
    const auto first = this->tick();
    this->queue.on_append({.outcome = append_outcome::unknown}, this->now);
    this->tick();
    this->queue.on_append({.outcome = append_outcome::rejected}, this->now);
    BOOST_TEST((this->answers["a"] == store_outcome::rejected));
    this->add("b");
    const auto next = this->tick();
    BOOST_REQUIRE(next.has_value());
    BOOST_TEST(next->producer->epoch > first->producer->epoch);
}

// Guards against an append that the log refuses for its size because many callers submit large jobs at once.
BOOST_AUTO_TEST_CASE(batch_is_within_the_limits_of_an_append) {
    submission_queue queue(
        {.producer = "node-1", .appends = {.max_record_bytes = 300, .max_append_bytes = 1000}});
    boot_time now{milliseconds(1000)};
    std::int64_t stored = 0;
    for (int number = 0; number < 50; ++number) {
        queue.add({.key = std::to_string(number), .value = std::string(200, 'v')}, now + milliseconds(60000),
                  [&stored](store_outcome outcome) { stored += outcome == store_outcome::stored ? 1 : 0; });
    }
    fake_keyed_log log;
    log.set_limits({.max_record_bytes = 300, .max_append_bytes = 1000});
    for (int round = 0; round < 50; ++round) {
        now += milliseconds(100);
        if (const auto call = queue.tick(now)) {
            queue.on_append(log.append(*call), now);
        }
    }
    BOOST_TEST(stored == 50);
}

BOOST_FIXTURE_TEST_CASE(record_that_was_never_sent_is_not_stored, fixture) {
    this->add("a");
    this->tick();
    this->add("b", milliseconds(50));
    this->tick();
    BOOST_TEST((this->answers["b"] == store_outcome::not_stored));
}

BOOST_AUTO_TEST_CASE(tail_reads_the_newest_then_every_record) {
    fake_keyed_log log;
    log.append(
        {.topic = log_topic::jobs, .records = {{.key = "a", .value = "1"}, {.key = "a", .value = "2"}}});
    log_tail tail({.topic = log_topic::jobs});
    std::vector<std::string> seen;
    const auto deliver = [&seen](const keyed_record& record) {
        seen.push_back(record.key + record.value);
    };
    boot_time now{milliseconds(1000)};
    const auto first = tail.tick(now);
    BOOST_REQUIRE(first.has_value());
    tail.on_newest(tail.latest_ticket(), log.newest(std::get<newest_call>(*first)), deliver, now);
    BOOST_TEST(tail.is_loaded());
    log.append({.topic = log_topic::jobs, .records = {{.key = "b", .value = "3"}}});
    const auto second = tail.tick(now);
    tail.on_read(tail.latest_ticket(), log.read(std::get<read_call>(*second)), deliver, now);
    BOOST_TEST(seen == (std::vector<std::string>{"a2", "b3"}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(tail_starts_over_when_records_have_expired) {
    fake_keyed_log log;
    log_tail tail({.topic = log_topic::jobs});
    std::vector<std::string> seen;
    const auto deliver = [&seen](const keyed_record& record) {
        seen.push_back(record.key);
    };
    boot_time now{milliseconds(1000)};
    load(tail, log, now, deliver);
    log.append({.topic = log_topic::jobs, .records = {{.key = "a", .value = "1"}}});
    log.drop_history(log_topic::jobs, 0);
    const auto read = std::get<read_call>(*tail.tick(now));
    tail.on_read(tail.latest_ticket(), log.read(read), deliver, now);
    BOOST_TEST(!tail.is_loaded());
    load(tail, log, now, deliver);
    BOOST_TEST(seen == (std::vector<std::string>{"a"}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(tail_is_complete_up_to_the_end_of_an_empty_wait) {
    fake_keyed_log log;
    log_tail tail({.topic = log_topic::jobs, .wait = milliseconds(700)});
    const auto ignore = [](const keyed_record&) {
    };
    boot_time now{milliseconds(1000)};
    load(tail, log, now, ignore);
    const auto request_time = now;
    const auto read = std::get<read_call>(*tail.tick(now));
    now += milliseconds(705);
    tail.on_read(tail.latest_ticket(), log.read(read), ignore, now);
    BOOST_TEST((tail.complete_until() == request_time + milliseconds(700)));
    BOOST_TEST((tail.confirmed() == request_time));
}

// Guards against a node that has read only the first page and denies jobs of later pages.
BOOST_AUTO_TEST_CASE(tail_is_not_confirmed_before_its_last_page) {
    log_tail tail({.topic = log_topic::states});
    const auto ignore = [](const keyed_record&) {
    };
    boot_time now{milliseconds(1000)};
    const auto load_start = now;
    tail.tick(now);
    tail.on_newest(tail.latest_ticket(),
                   {.done = true,
                    .records = {{.key = "a", .value = "completed"}},
                    .more = true,
                    .continue_after = "a",
                    .end = 2},
                   ignore, now);
    BOOST_TEST((tail.confirmed() == boot_time{}));
    BOOST_TEST((tail.complete_until() == boot_time{}));
    now += milliseconds(100);
    BOOST_TEST(std::get<newest_call>(*tail.tick(now)).after_key == "a");
    tail.on_newest(tail.latest_ticket(),
                   {.done = true, .records = {{.key = "b", .value = "completed"}}, .end = 2}, ignore, now);
    BOOST_TEST(tail.is_loaded());
    BOOST_TEST((tail.confirmed() == load_start));
}

// A read returns at most one page. Guards against a view that counts as current although later records, for
// example a withdrawn key, are already in the log.
BOOST_AUTO_TEST_CASE(tail_is_not_confirmed_by_a_read_that_stopped_early) {
    log_tail tail({.topic = log_topic::operators});
    const auto ignore = [](const keyed_record&) {
    };
    boot_time now{milliseconds(1000)};
    tail.tick(now);
    tail.on_newest(tail.latest_ticket(), {.done = true, .end = 5}, ignore, now);
    const auto loaded_at = tail.confirmed();
    now += milliseconds(100);
    tail.tick(now);
    tail.on_read(tail.latest_ticket(),
                 {.outcome = read_outcome_kind::records, .records = {{.key = "a"}}, .next = 6, .end = 8},
                 ignore, now);
    BOOST_TEST((tail.confirmed() == loaded_at));
    BOOST_TEST(std::get<read_call>(*tail.tick(now)).from == 6);
    tail.on_read(tail.latest_ticket(),
                 {.outcome = read_outcome_kind::records, .records = {{.key = "b"}}, .next = 8, .end = 8},
                 ignore, now);
    BOOST_TEST((tail.confirmed() == now));
}

// A connection may fall silent while others work. Guards against a node that learns nothing until its read
// has timed out.
BOOST_AUTO_TEST_CASE(overdue_read_is_repeated_and_delivers_once) {
    fake_keyed_log log;
    log_tail tail({.topic = log_topic::jobs, .wait = milliseconds(200)});
    std::vector<std::string> seen;
    const auto deliver = [&seen](const keyed_record& record) {
        seen.push_back(record.key);
    };
    boot_time now{milliseconds(1000)};
    load(tail, log, now, deliver);
    const auto first = std::get<read_call>(*tail.tick(now));
    const auto first_ticket = tail.latest_ticket();
    log.append({.topic = log_topic::jobs, .records = {{.key = "a", .value = "1"}}});
    now += milliseconds(300);
    BOOST_TEST(!tail.tick(now).has_value()); // the log may hold the read open, and answers take time
    now += milliseconds(100);
    const auto hedge = tail.tick(now);
    BOOST_REQUIRE(hedge.has_value());
    BOOST_TEST(std::get<read_call>(*hedge).wait.count() == 0);
    const auto hedge_ticket = tail.latest_ticket();
    BOOST_TEST((tail.on_read(hedge_ticket, log.read(std::get<read_call>(*hedge)), deliver, now) ==
                tail_outcome::advanced));
    BOOST_TEST((tail.on_read(first_ticket, log.read(first), deliver, now) == tail_outcome::ignored));
    BOOST_TEST(seen == (std::vector<std::string>{"a"}), boost::test_tools::per_element());
    BOOST_TEST((tail.confirmed() == hedge_ticket.sent_at));
}

// While the log is down, hedges must neither hide the failure nor double the load.
BOOST_AUTO_TEST_CASE(failed_read_is_reported_and_not_hedged_again) {
    fake_keyed_log log;
    log_tail tail({.topic = log_topic::jobs, .wait = milliseconds(200)});
    const auto ignore = [](const keyed_record&) {
    };
    boot_time now{milliseconds(1000)};
    load(tail, log, now, ignore);
    tail.tick(now);
    const auto first = tail.latest_ticket();
    now += milliseconds(400);
    BOOST_REQUIRE(tail.tick(now).has_value());
    const auto hedge = tail.latest_ticket();
    BOOST_TEST((tail.on_read(first, {}, ignore, now) == tail_outcome::ignored));
    BOOST_TEST(!tail.tick(now + milliseconds(900)).has_value());
    BOOST_TEST((tail.on_read(hedge, {}, ignore, now) == tail_outcome::failed));
    now += milliseconds(200);
    BOOST_REQUIRE(tail.tick(now).has_value());
    BOOST_TEST(!tail.tick(now + milliseconds(900)).has_value());
}

// Guards against a view that counts as current up to the sending of a hedge, although the first request, sent
// earlier, brought its records.
BOOST_AUTO_TEST_CASE(loaded_tail_is_confirmed_from_its_first_request) {
    log_tail tail({.topic = log_topic::operators});
    const auto ignore = [](const keyed_record&) {
    };
    boot_time now{milliseconds(1000)};
    const auto load_start = now;
    tail.tick(now);
    const auto first = tail.latest_ticket();
    now += milliseconds(700);
    BOOST_REQUIRE(tail.tick(now).has_value());
    tail.on_newest(first, {.done = true, .end = 5}, ignore, now);
    BOOST_TEST((tail.confirmed() == load_start));
}

#include "policy/duration_estimates.hpp"

#include <boost/test/unit_test.hpp>

using namespace hornbeamrail;
using std::chrono::milliseconds;

BOOST_AUTO_TEST_CASE(unknown_queue_keeps_stated_estimate) {
    const duration_estimates estimates;
    BOOST_TEST(estimates.expected("q", milliseconds(900)).count() == 900);
}

// Submitters of one queue may all state a fraction of the time that their tasks take.
BOOST_AUTO_TEST_CASE(stated_estimates_are_corrected_by_completed_tasks) {
    duration_estimates estimates;
    for (int sample = 0; sample < 50; ++sample) {
        estimates.add("q", milliseconds(2000), milliseconds(500));
    }
    BOOST_TEST(estimates.expected("q", milliseconds(500)).count() == 2000);
    BOOST_TEST(estimates.expected("q", milliseconds(1000)).count() == 3000);
    BOOST_TEST(estimates.expected("q", milliseconds(0)).count() == 2000);
    BOOST_TEST(estimates.expected("other", milliseconds(500)).count() == 500);
}

BOOST_AUTO_TEST_CASE(remaining_time_shrinks_and_stays_positive) {
    duration_estimates estimates;
    estimates.add("q", milliseconds(1000), milliseconds(1000));
    const auto remaining = [&](int elapsed_ms) {
        return estimates.expected_remaining("q", milliseconds(1000), milliseconds(elapsed_ms)).count();
    };
    BOOST_TEST(remaining(0) == 1000);
    BOOST_TEST(remaining(400) == 600);
    BOOST_TEST(remaining(5000) > 0);
    BOOST_TEST(remaining(5000) > remaining(1000)); // the longer it has run, the longer the tail it is in
}

#include "state/counters.hpp"

#include <boost/json/serialize.hpp>
#include <boost/test/unit_test.hpp>

#include <thread>

using namespace hornbeamrail;
using std::chrono::microseconds;

// Guards against the order of labels splitting one series into two.
BOOST_AUTO_TEST_CASE(label_order_does_not_matter) {
    counter_registry registry;
    registry.counter_of("requests_total", {{"a", "1"}, {"b", "2"}}).add(3);
    registry.counter_of("requests_total", {{"b", "2"}, {"a", "1"}}).add(4);
    BOOST_TEST(registry.to_text() == "requests_total{a=\"1\",b=\"2\"} 7\n");
}

// Guards against lost updates from concurrent threads.
BOOST_AUTO_TEST_CASE(concurrent_updates_are_all_counted) {
    counter_registry registry;
    const auto work = [&] {
        for (int index = 0; index < 10000; ++index) {
            registry.counter_of("n").add();
            registry.latency_of("l").record(microseconds(index));
        }
    };
    std::thread first(work);
    std::thread second(work);
    first.join();
    second.join();
    BOOST_TEST(registry.counter_of("n").value() == 20000);
    BOOST_TEST(registry.latency_of("l").count() == 20000);
}

// Guards the error bound of quantiles: the width of a bucket is at most 1/8 of its lower bound, and no
// quantile exceeds the maximum.
BOOST_AUTO_TEST_CASE(quantiles_are_within_one_eighth) {
    latency_histogram histogram;
    for (int value = 1; value <= 100000; ++value) {
        histogram.record(microseconds(value));
    }
    for (const double fraction : {0.01, 0.5, 0.9, 0.99, 1.0}) {
        const double exact = fraction * 100000;
        const auto measured = static_cast<double>(histogram.quantile(fraction).count());
        BOOST_TEST(measured >= exact);
        BOOST_TEST(measured <= exact * 1.125);
    }
    BOOST_TEST(histogram.max().count() == 100000);
}

// Guards against out-of-range bucket indices for extreme values.
BOOST_AUTO_TEST_CASE(extreme_latencies_are_recorded) {
    latency_histogram histogram;
    histogram.record(microseconds(-5));
    histogram.record(microseconds::max());
    BOOST_TEST(histogram.count() == 2);
    BOOST_TEST(histogram.quantile(0.5).count() == 0);
    BOOST_TEST(latency_histogram().quantile(0.99).count() == 0);
}

// Guards against unbounded memory when label values come from callers.
BOOST_AUTO_TEST_CASE(number_of_series_is_bounded) {
    counter_registry registry;
    for (std::size_t index = 0; index < counter_registry::max_series + 10; ++index) {
        registry.counter_of("n", {{"team", std::to_string(index)}}).add();
    }
    BOOST_TEST(registry.counter_of("counter_series_overflow").value() == 10);
}

// Guards the text format against label values that contain quotes, backslashes or line breaks.
BOOST_AUTO_TEST_CASE(text_form_escapes_label_values) {
    counter_registry registry;
    registry.counter_of("n", {{"team", "a\"b\\c\nd"}}).add();
    BOOST_TEST(registry.to_text() == "n{team=\"a\\\"b\\\\c\\nd\"} 1\n");
    BOOST_TEST(boost::json::serialize(registry.to_json()) ==
               R"({"counters":[{"name":"n","labels":{"team":"a\"b\\c\nd"},"value":1}],"latencies":[]})");
}

#include "core_test_site.hpp"

#include <boost/json/serialize.hpp>

using namespace hornbeamrail;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(smoke) {
    core_test_site site;
    site.start(3);
    BOOST_TEST_MESSAGE(boost::json::serialize(site.core(1).dump(site.simulation.local_time("n1"))));
    for (int n = 1; n <= 3; ++n)
        site.simulation.set_load("n" + std::to_string(n), "t", 50);
    site.run(5s);
    BOOST_TEST(site.simulation.running("t") >= 95);
    BOOST_TEST(site.simulation.take_peak("t") <= 100);
    for (int n = 1; n <= 3; ++n)
        BOOST_TEST(site.simulation.fresh("n" + std::to_string(n)));
    BOOST_TEST_MESSAGE(boost::json::serialize(site.core(2).dump(site.simulation.local_time("n2"))));
    BOOST_TEST_MESSAGE(site.simulation.cost("n1").append_calls);
}

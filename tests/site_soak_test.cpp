#include "site_soak.hpp"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace hornbeamrail;
using namespace hornbeamrail::test;

namespace {

soak_report soak(std::uint64_t seed) {
    site_soak run({.binary = HORNBEAMRAIL_BINARY,
                   .directory = fmt::format("{}-soak/seed-{}", HORNBEAMRAIL_BINARY, seed),
                   .seed = seed,
                   .load = std::chrono::seconds(5)});
    auto report = run.run();
    for (const auto& fault : report.faults) {
        BOOST_TEST_MESSAGE(fault);
    }
    return report;
}

} // namespace

/// Seeds 2, 19 and 20 once failed as a node was started before the process that it replaced had released its
/// address.
BOOST_DATA_TEST_CASE(processes_keep_their_promises_under_faults, boost::unit_test::data::make({1, 2, 19, 20}),
                     seed) {
    const auto report = soak(static_cast<std::uint64_t>(seed));
    BOOST_TEST(report.accepted > 0);
    for (const auto& failure : report.failures) {
        BOOST_ERROR(failure);
    }
}

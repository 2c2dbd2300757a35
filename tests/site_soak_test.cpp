#include "site_soak.hpp"

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

BOOST_AUTO_TEST_CASE(processes_keep_their_promises_under_faults) {
    const auto report = soak(1);
    BOOST_TEST(report.accepted > 0);
    for (const auto& failure : report.failures) {
        BOOST_ERROR(failure);
    }
}

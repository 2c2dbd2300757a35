#include "fakes/fuzz_targets.hpp"
#include "protocol/digest.hpp"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace hornbeamrail;

namespace {

const auto targets = fuzz_targets();

} // namespace

// Guards every parser of external input against crashes, exceptions and values that do not round-trip.
// tools/measure_fuzz runs the same cases for longer.
BOOST_DATA_TEST_CASE(random_and_mutated_input_never_breaks_a_reader,
                     boost::unit_test::data::xrange(targets.size()), index) {
    constexpr int case_count = 5000;
    std::mt19937_64 generator(20240601);
    std::string input;
    for (int round = 0; round < case_count; ++round) {
        const auto problem = run_fuzz_case(targets[index], generator, input);
        BOOST_REQUIRE_MESSAGE(problem.empty(), targets[index].name << " case " << round << ": " << problem
                                                                   << ", input (base64) "
                                                                   << base64_encode(input));
    }
}

// Guards the fuzz targets themselves: their unmodified seeds must be accepted.
BOOST_DATA_TEST_CASE(unmodified_input_is_accepted, boost::unit_test::data::xrange(targets.size()), index) {
    for (const auto& seed : targets[index].seeds()) {
        bool accepted = false;
        BOOST_TEST(targets[index].read(seed, accepted) == "");
        BOOST_TEST(accepted);
    }
}

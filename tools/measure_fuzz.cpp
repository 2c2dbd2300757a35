// Runs the fuzz targets of all readers for a fixed time. Prints a table and writes JSON lines.

#include "fakes/fuzz_targets.hpp"
#include "protocol/digest.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>
#include <gflags/gflags.h>

#include <chrono>
#include <fstream>
#include <ostream>

DEFINE_uint64(seed, 1, "seed of the inputs");
DEFINE_int32(seconds, 20, "total time in seconds, split evenly among the targets");
DEFINE_string(lines, "build/measure_fuzz.jsonl", "file for the JSON lines");

using namespace hornbeamrail;

namespace {

/// Runs one target and reports its first three failures to standard error.
/// @return whether every case passed
bool measure(const fuzz_target& target, std::uint64_t seed, std::chrono::steady_clock::duration duration,
             std::ostream& lines) {
    std::mt19937_64 generator(seed);
    std::string input;
    std::int64_t cases = 0;
    std::int64_t failures = 0;
    std::int64_t bytes = 0;
    const auto start = std::chrono::steady_clock::now();
    std::chrono::steady_clock::duration slowest{};
    for (auto now = start; now - start < duration;) {
        const auto problem = run_fuzz_case(target, generator, input);
        const auto end = std::chrono::steady_clock::now();
        slowest = std::max(slowest, end - now);
        now = end;
        ++cases;
        bytes += static_cast<std::int64_t>(input.size());
        if (problem.empty()) {
            continue;
        }
        if (++failures <= 3) {
            fmt::print(stderr, "{}: seed {}, case {}: {}\n  input (base64): {}\n", target.name, seed, cases,
                       problem, base64_encode(input));
        }
    }
    const auto slowest_us = std::chrono::duration_cast<std::chrono::microseconds>(slowest).count();
    fmt::print("{:<16} {:>10} {:>14} {:>9} {:>11}\n", target.name, cases, bytes, failures, slowest_us);
    lines << boost::json::serialize(boost::json::object{{"measure", "fuzz"},
                                                        {"target", target.name},
                                                        {"seed", seed},
                                                        {"cases", cases},
                                                        {"bytes", bytes},
                                                        {"failures", failures},
                                                        {"slowest_us", slowest_us}})
          << "\n";
    return failures == 0;
}

} // namespace

int main(int argc, char** argv) {
    gflags::SetUsageMessage("[--seed N] [--seconds N]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto targets = fuzz_targets();
    const auto duration =
        std::chrono::milliseconds(1000LL * FLAGS_seconds) / static_cast<int>(targets.size());
    std::ofstream lines(FLAGS_lines);
    fmt::print("seed {}\n\n{:<16} {:>10} {:>14} {:>9} {:>11}\n", FLAGS_seed, "reader", "cases", "bytes",
               "failures", "slowest us");
    bool passed = true;
    for (const auto& target : targets) {
        passed = measure(target, FLAGS_seed, duration, lines) && passed;
    }
    return passed ? 0 : 1;
}

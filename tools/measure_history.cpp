#include "fakes/site_simulation.hpp"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <map>
#include <string>

DEFINE_int64(seeds, 20, "number of seeds, starting with --first");
DEFINE_int64(first, 1, "first seed");
DEFINE_int64(seed, 0, "replay this seed only and print its fault plan; 0: run --seeds seeds");
DEFINE_bool(dump, false, "print the whole history of each run");
DEFINE_string(known_red, "KNOWN-RED.txt", "file that lists cases that may fail");

namespace {

namespace hr = hornbeamrail;

/// @return whether a line of KNOWN-RED.txt contains the command that replays the seed; its violations do not
///     fail the run
bool is_known_red(std::int64_t seed) {
    std::ifstream file(FLAGS_known_red);
    const std::string command = fmt::format("measure_history --seed {} ", seed);
    for (std::string line; std::getline(file, line);) {
        if ((line + " ").find(command) != std::string::npos) {
            return true;
        }
    }
    return false;
}

/// Sums over all runs.
struct totals {
    std::int64_t runs = 0;
    std::int64_t red = 0;       ///< runs with violations that are not known
    std::int64_t known_red = 0; ///< runs with violations that KNOWN-RED.txt lists
    std::int64_t offered = 0;
    std::int64_t completed = 0;
    std::int64_t events = 0;
    std::array<std::int64_t, hr::guarantee_count + 1> by_guarantee{};
    std::map<std::string, std::int64_t> refusals;
};

void run_seed(std::int64_t seed, totals& sum) {
    const hr::site_options options = hr::history_options(static_cast<std::uint64_t>(seed));
    if (FLAGS_seed != 0) {
        fmt::print("{}", to_string(options.faults));
    }
    const hr::site_result run = hr::run_site(options);
    ++sum.runs;
    sum.offered += run.figures.offered;
    sum.completed += run.figures.completed;
    sum.events += std::ssize(run.history);
    for (const auto& [error, count] : run.figures.refusals) {
        sum.refusals[error] += count;
    }
    if (FLAGS_dump) {
        for (const auto& event : run.history) {
            fmt::print("{}\n", to_string(event));
        }
    }
    const auto violations = hr::check_history(run.history);
    if (violations.empty()) {
        return;
    }
    const bool known = is_known_red(seed);
    ++(known ? sum.known_red : sum.red);
    fmt::print("seed {}: {} violations{}\n  replay: build/measure_history --seed {}\n", seed,
               violations.size(), known ? " (known red)" : "", seed);
    std::array<bool, hr::guarantee_count + 1> printed{};
    for (const auto& violation : violations) {
        const auto number = static_cast<std::size_t>(violation.broken);
        ++sum.by_guarantee[number];
        if (!std::exchange(printed[number], true)) {
            fmt::print("{}", describe(violation, run.history));
        }
    }
}

} // namespace

int main(int argc, char** argv) {
    gflags::SetUsageMessage("runs simulated sites under mixed faults and checks their histories");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto begin = std::chrono::steady_clock::now();
    totals sum;
    if (FLAGS_seed != 0) {
        run_seed(FLAGS_seed, sum);
    } else {
        for (std::int64_t seed = FLAGS_first; seed < FLAGS_first + FLAGS_seeds; ++seed) {
            run_seed(seed, sum);
        }
    }
    const double seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
    fmt::print(
        "{} runs, {} requests, {} completed, {} events, {:.1f} s; {} runs with violations, {} known red\n",
        sum.runs, sum.offered, sum.completed, sum.events, seconds, sum.red, sum.known_red);
    for (const auto& [error, count] : sum.refusals) {
        fmt::print("  not completed, {}: {}\n", error, count);
    }
    for (int number = 1; number <= hr::guarantee_count; ++number) {
        if (const auto count = sum.by_guarantee[static_cast<std::size_t>(number)]; count > 0) {
            fmt::print("  violations of {}: {}\n", to_string(static_cast<hr::guarantee>(number)), count);
        }
    }
    std::ofstream("build/measure_history.jsonl") << fmt::format(
        "{{\"measure\":\"history\",\"runs\":{},\"requests\":{},\"completed\":{},\"red\":{},\"known_"
        "red\":{}}}\n",
        sum.runs, sum.offered, sum.completed, sum.red, sum.known_red);
    return sum.red == 0 ? 0 : 1;
}

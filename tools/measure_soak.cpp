// Runs the fault soak test with many seeds and prints one line per seed. Exits with 1 if a guarantee was
// violated.

#include "../tests/site_soak.hpp"

#include <fmt/format.h>
#include <gflags/gflags.h>

DEFINE_string(binary, "build/hornbeamrail", "path of the hornbeamrail binary");
DEFINE_string(directory, "build/soak",
              "folder for the settings and logs of the processes, with one subfolder per seed");
DEFINE_uint64(first, 1, "first seed");
DEFINE_uint64(seeds, 50, "number of seeds");
DEFINE_uint64(seconds, 4, "duration of one series of faults, in seconds");
DEFINE_int32(series, 2, "series of faults for one seed, each followed by a calm span");
DEFINE_int32(nodes, 3, "number of entry nodes");
DEFINE_int32(vms, 5, "number of VMs, each with one worker");

int main(int argc, char** argv) {
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::size_t failed_seeds = 0;
    fmt::print("{:>6} {:>8} {:>8} {:>9} {:>6} {:>7} {:>7}  result\n", "seed", "accepted", "refused",
               "cancelled", "runs", "judged", "faults");
    for (auto seed = FLAGS_first; seed < FLAGS_first + FLAGS_seeds; ++seed) {
        hornbeamrail::test::site_soak soak({.binary = FLAGS_binary,
                                            .directory = fmt::format("{}/seed-{}", FLAGS_directory, seed),
                                            .seed = seed,
                                            .load = std::chrono::seconds(FLAGS_seconds),
                                            .series = FLAGS_series,
                                            .nodes = FLAGS_nodes,
                                            .vms = FLAGS_vms});
        const auto report = soak.run();
        fmt::print("{:>6} {:>8} {:>8} {:>9} {:>6} {:>7} {:>7}  {}\n", seed, report.accepted, report.refused,
                   report.cancelled, report.runs, report.judged, report.faults.size(),
                   report.failures.empty() ? "kept" : "BROKEN");
        for (const auto& failure : report.failures) {
            fmt::print("       {}\n", failure);
        }
        if (!report.failures.empty()) {
            ++failed_seeds;
            for (const auto& fault : report.faults) {
                fmt::print("       {}\n", fault);
            }
        }
        std::fflush(stdout);
    }
    fmt::print("{} of {} seeds violated a guarantee\n", failed_seeds, FLAGS_seeds);
    return failed_seeds == 0 ? 0 : 1;
}

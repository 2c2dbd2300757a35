// Runs the fault soak over many seeds, a table with a line a seed. Ends with 1 when a promise was broken.

#include "../tests/site_soak.hpp"

#include <fmt/format.h>
#include <gflags/gflags.h>

DEFINE_string(binary, "build/hornbeamrail", "the product's program");
DEFINE_string(directory, "build/soak",
              "where settings and logs of the processes are kept, one folder a seed");
DEFINE_uint64(first, 1, "first seed");
DEFINE_uint64(seeds, 50, "number of seeds");
DEFINE_uint64(seconds, 8, "load and faults of one seed, in seconds");
DEFINE_int32(nodes, 3, "entry nodes");
DEFINE_int32(vms, 5, "VMs with a worker each");

int main(int argc, char** argv) {
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::size_t broken = 0;
    fmt::print("{:>6} {:>8} {:>8} {:>9} {:>6} {:>7}  result\n", "seed", "accepted", "refused", "cancelled",
               "runs", "faults");
    for (auto seed = FLAGS_first; seed < FLAGS_first + FLAGS_seeds; ++seed) {
        hornbeamrail::test::site_soak soak({.binary = FLAGS_binary,
                                            .directory = fmt::format("{}/seed-{}", FLAGS_directory, seed),
                                            .seed = seed,
                                            .load = std::chrono::seconds(FLAGS_seconds),
                                            .nodes = FLAGS_nodes,
                                            .vms = FLAGS_vms});
        const auto report = soak.run();
        fmt::print("{:>6} {:>8} {:>8} {:>9} {:>6} {:>7}  {}\n", seed, report.accepted, report.refused,
                   report.cancelled, report.runs, report.faults.size(),
                   report.failures.empty() ? "kept" : "BROKEN");
        for (const auto& failure : report.failures) {
            fmt::print("       {}\n", failure);
        }
        if (!report.failures.empty()) {
            ++broken;
            for (const auto& fault : report.faults) {
                fmt::print("       {}\n", fault);
            }
        }
        std::fflush(stdout);
    }
    fmt::print("{} of {} seeds broke a promise\n", broken, FLAGS_seeds);
    return broken == 0 ? 0 : 1;
}

#include "fakes/site_simulation.hpp"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <string>
#include <vector>

DEFINE_int64(seeds, 5, "maximum number of seeds to try for each defect");
DEFINE_bool(traces, false, "print the shortest trace of each defect");

namespace {

namespace hr = hornbeamrail;
using std::chrono::milliseconds;

/// An injected defect and the guarantee that the history checker must report as violated.
struct defect_case {
    std::string name;
    hr::guarantee expected_violation;
    bool hr::injected_defects::*defect;
    std::vector<hr::planned_fault> faults; ///< conditions under which the defect has an effect
    std::function<void(hr::site_options&)> prepare = {};
};

/// Repeats a fault five times. Unless @p choice_bits is set, each repetition hits another target.
std::vector<hr::planned_fault> repeated(hr::fault_kind kind, milliseconds length,
                                        std::uint64_t choice_bits = 0) {
    std::vector<hr::planned_fault> faults;
    for (std::uint64_t i = 0; i < 5; ++i) {
        faults.push_back({.kind = kind,
                          .at = milliseconds(1000 + 4000 * i),
                          .length = length,
                          .choice = choice_bits != 0 ? choice_bits : i});
    }
    return faults;
}

std::vector<defect_case> all_cases() {
    using enum hr::fault_kind;
    using enum hr::guarantee;
    using defects = hr::injected_defects;
    // Selects the first node (768 is divisible by the 6 nodes). Its bits 0x100 and 0x200 disconnect the node
    // from the platform and the VMs in addition to its peers.
    constexpr std::uint64_t cut_first_node = 6 * 128;
    auto cut_and_drill = repeated(zone_drill, milliseconds(20000));
    cut_and_drill.push_back(
        {.kind = link_cut, .at = milliseconds(500), .length = milliseconds(25000), .choice = cut_first_node});
    return {
        {"driver drops a third of the answers",
         availability_budget,
         &defects::loses_answers,
         {},
         [](hr::site_options& options) {
             options.budget_window = std::chrono::hours(1);
             options.workload.burst_load = 0.6;
         }},
        {"one node reads another pool for a VM", one_pool_per_vm, &defects::swaps_pools, {}},
        {"one node does not see revocations", key_of_team, &defects::ignores_revocations,
         repeated(key_change, milliseconds(1000))},
        {"dispatchers start ten times their grants",
         upper_limit,
         &defects::ignores_limits,
         {},
         [](hr::site_options& options) {
             options.shape.limit_fraction = 0.1;
         }},
        {"one node does not see zone-outs", hr::guarantee::zone_out, &defects::ignores_zone_out,
         repeated(zone_drill, milliseconds(10000))},
        {"a node cut off takes its view for fresh", hr::guarantee::zone_out, &defects::always_fresh,
         cut_and_drill},
        {"driver passes on any answer", own_answer, &defects::ignores_correlation,
         repeated(lying_executors, milliseconds(3000))},
        {"driver reports lost runs as not sent", true_refusal, &defects::misreports_lost_runs,
         repeated(lying_executors, milliseconds(3000))},
        {"claims are granted without the owner", at_most_once, &defects::grants_every_claim,
         repeated(resubmissions, milliseconds(3000))},
        {"leaving flags are dropped", leaving_server, &defects::hides_leaving,
         repeated(vm_leave, milliseconds(8000))},
        {"a planned stop does not wait", graceful_stop, &defects::stops_at_once,
         repeated(node_stop, milliseconds(1000))},
        {"the platform reboots busy VMs",
         graceful_stop,
         &defects::reboots_busy_vms,
         {},
         // Runs take longer than the second between drain and reboot.
         [](hr::site_options& options) {
             options.workload.mean_run = milliseconds(1500);
         }},
        {"one node does not see later configurations", configuration_in_force, &defects::ignores_config,
         repeated(operator_race, milliseconds(1000))},
    };
}

hr::site_options options_of(const defect_case& tested, std::int64_t seed) {
    hr::site_options options{.seed = static_cast<std::uint64_t>(seed)};
    options.workload.length = std::chrono::seconds(30);
    options.faults = tested.faults;
    if (tested.prepare) {
        tested.prepare(options);
    }
    return options;
}

bool has_violation(const std::vector<hr::violation>& found, hr::guarantee expected) {
    return std::ranges::any_of(found, [&](const auto& violation) { return violation.broken == expected; });
}

bool run_case(const defect_case& tested) {
    bool false_alarm = false;
    for (std::int64_t seed = 1; seed <= FLAGS_seeds; ++seed) {
        hr::site_options options = options_of(tested, seed);
        // The same run without the defect must have no violations; otherwise the detection proves nothing.
        false_alarm = false_alarm || !hr::check_history(hr::run_site(options).history).empty();
        options.defects.*tested.defect = true;
        const hr::site_result run = hr::run_site(options);
        const auto violations = hr::check_history(run.history);
        if (!has_violation(violations, tested.expected_violation)) {
            continue;
        }
        fmt::print("{:<26} {:<44} caught, seed {}{}\n", to_string(tested.expected_violation), tested.name,
                   seed, false_alarm ? ", but also reported without the defect" : "");
        if (FLAGS_traces) {
            const auto first =
                std::ranges::find(violations, tested.expected_violation, &hr::violation::broken);
            fmt::print("{}", describe(*first, run.history));
        }
        return !false_alarm;
    }
    fmt::print("{:<26} {:<44} MISSED in {} seeds\n", to_string(tested.expected_violation), tested.name,
               FLAGS_seeds);
    return false;
}

} // namespace

int main(int argc, char** argv) {
    gflags::SetUsageMessage("injects one defect at a time and checks that the history checker detects it");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto cases = all_cases();
    std::int64_t caught = 0;
    for (const defect_case& tested : cases) {
        caught += run_case(tested) ? 1 : 0;
    }
    fmt::print("{} of {} defects caught\n", caught, cases.size());
    std::ofstream("build/measure_defects.jsonl")
        << fmt::format("{{\"measure\":\"defects\",\"defects\":{},\"caught\":{}}}\n", cases.size(), caught);
    return caught == std::ssize(cases) ? 0 : 1;
}

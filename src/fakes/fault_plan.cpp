#include "fakes/fault_plan.hpp"

#include "fakes/seeded_generator.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace hornbeamrail {

namespace {

fault_kind pick_kind(seeded_generator& generator, bool planned_only) {
    static constexpr std::array planned{
        fault_kind::zone_drill, fault_kind::node_stop,   fault_kind::operator_race, fault_kind::key_change,
        fault_kind::vm_drain,   fault_kind::cancel_wave, fault_kind::resubmissions};
    return planned_only ? planned[static_cast<std::size_t>(generator.between(0, std::ssize(planned) - 1))]
                        : static_cast<fault_kind>(generator.between(0, fault_kind_count - 1));
}

} // namespace

std::string_view to_string(fault_kind kind) noexcept {
    static constexpr std::array<std::string_view, fault_kind_count> names{
        "worker_wave",     "zone_drill",     "zone_loss",    "log_outage", "log_slow",    "lost_appends",
        "node_pause",      "node_kill",      "node_replace", "node_stop",  "link_cut",    "one_way_cut",
        "operator_race",   "key_change",     "vm_drain",     "vm_leave",   "cancel_wave", "failing_executors",
        "lying_executors", "slow_executors", "resubmissions"};
    return names[static_cast<std::size_t>(kind)];
}

fault_plan make_fault_plan(std::uint64_t seed, std::chrono::milliseconds length, bool planned_only) {
    seeded_generator generator(seed);
    fault_plan plan;
    const auto total = length.count();
    for (std::int64_t at = generator.between(500, 2000); at < total - 4000;
         at += generator.between(2500, 6000)) {
        // The second fault begins up to 1.5 s after the first, so that they can overlap.
        for (int i = 0; i < 2; ++i) {
            const std::int64_t begin = at + (i == 0 ? 0 : generator.between(0, 1500));
            const std::int64_t longest =
                std::max<std::int64_t>(1000, std::min<std::int64_t>(12000, total - begin));
            plan.push_back({.kind = pick_kind(generator, planned_only),
                            .at = std::chrono::milliseconds(begin),
                            .length = std::chrono::milliseconds(generator.between(1000, longest)),
                            .choice = generator.next()});
        }
    }
    return plan;
}

std::string to_string(const fault_plan& plan) {
    std::string text;
    for (const planned_fault& fault : plan) {
        text += fmt::format("{:>8} ms {} for {} ms, choice {}\n", fault.at.count(), to_string(fault.kind),
                            fault.length.count(), fault.choice);
    }
    return text;
}

} // namespace hornbeamrail

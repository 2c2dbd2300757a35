#include "cli/zone_commands.hpp"

#include "cli/change.hpp"
#include "cli/command.hpp"
#include "cli/json_table.hpp"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>

DEFINE_bool(dry_run, false, "only print the drill report; change nothing");

namespace hornbeamrail::cli {

namespace {

/// Percent-encodes every byte except letters, digits, '-' and '_'.
std::string escape_path(std::string_view text) {
    std::string escaped;
    for (const char character : text) {
        const bool is_unreserved =
            std::isalnum(static_cast<unsigned char>(character)) != 0 || character == '-' || character == '_';
        escaped += is_unreserved ? std::string(1, character)
                                 : fmt::format("%{:02X}", static_cast<unsigned char>(character));
    }
    return escaped;
}

void print_drill(const boost::json::object& drill) {
    print_line(fmt::format("taking zone {} out removes {} serving VMs{}",
                           std::string_view(drill.at("zone").as_string()), drill.at("vms").to_number<int>(),
                           drill.at("already_out").as_bool() ? " (it is already out)" : ""));
    fmt::print("{}", format_table(drill.at("services").as_array(),
                                  {"service", "slots_now", "slots_left", "demand", "at_risk", "reason"}));
    fmt::print("{}", format_table(drill.at("teams").as_array(),
                                  {"team", "share_slots_now", "share_slots_left", "below_share"}));
}

} // namespace

int run_zone_out(int argc, char** argv) {
    if (!expect_arguments(argc, argv, 1, "one ZONE")) {
        return exit_invalid;
    }
    const std::string zone = argv[1];
    error failure;
    auto client = value_or_error([&] { return make_admin_client(); }, failure);
    if (!client) {
        return print_error(failure);
    }
    const auto drill =
        value_or_error([&] { return fetch(*client, "/admin/drill/" + escape_path(zone)); }, failure);
    boost::json::object extra;
    if (drill && drill->is_object()) {
        extra["drill"] = *drill;
        if (!wants_json()) {
            print_drill(drill->get_object());
        }
    } else if (FLAGS_dry_run) {
        return print_error(failure);
    } else {
        // During an outage, operators must be able to take the zone out even if the report is not available.
        fmt::print(stderr, "the drill report is not available: {}\n", failure.message);
    }
    if (FLAGS_dry_run) {
        if (wants_json()) {
            print_json(extra);
        }
        return exit_done;
    }
    const auto report = value_or_error(
        [&] { return send_change(*client, resolve_change_id(), zone_out_record{.zone = zone}); }, failure);
    if (!report) {
        return print_error(failure);
    }
    return print_change(*report, fmt::format("zone {} taken out", zone), std::move(extra));
}

int run_zone_in(int argc, char** argv) {
    if (!expect_arguments(argc, argv, 1, "one ZONE")) {
        return exit_invalid;
    }
    return run_change(zone_in_record{.zone = argv[1]}, fmt::format("zone {} brought back", argv[1]));
}

} // namespace hornbeamrail::cli

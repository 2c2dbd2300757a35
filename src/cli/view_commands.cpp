#include "cli/view_commands.hpp"

#include "cli/admin_client.hpp"
#include "cli/command.hpp"
#include "cli/json_table.hpp"

#include <boost/json/serialize.hpp>
#include <fmt/format.h>

namespace hornbeamrail::cli {

namespace {

namespace json = boost::json;

/// A table of the status view.
struct section {
    std::string_view member;
    std::vector<std::string_view> columns;
};

void print_status(const json::object& status) {
    for (const auto& member : status) {
        if (!member.value().is_structured()) {
            print_line(
                fmt::format("{:<16} {}", std::string_view(member.key()), json::serialize(member.value())));
        }
    }
    const std::vector<section> sections{
        {"alarms", {"alarm", "subject", "message", "remedy"}},
        {"zones", {"zone", "region", "out"}},
        {"nodes", {"node_id", "incarnation", "zone", "region", "counted", "live"}},
        {"services", {"service", "pool", "slots", "running", "queued", "oldest_wait_ms"}},
        {"pools",
         {"pool", "vms", "serving", "out", "moving", "maintenance", "maintenance_due", "maintenance_hours",
          "maintenance_days_late"}},
        {"teams", {"team", "share", "upper_limit", "granted", "running", "queued"}}};
    for (const auto& [member, columns] : sections) {
        const auto* rows = status.if_contains(member);
        if (rows != nullptr && rows->is_array()) {
            print_line(fmt::format("\n{}", member));
            fmt::print("{}", format_table(rows->get_array(), columns));
        }
    }
}

void print_counters(const json::object& metrics) {
    for (const auto* table : {"counters", "latencies"}) {
        const auto* rows = metrics.if_contains(table);
        if (rows == nullptr || !rows->is_array()) {
            continue;
        }
        for (const auto& row : rows->get_array()) {
            std::string line;
            for (const auto& member : row.as_object()) {
                const auto text = member.value().is_string() ? std::string(member.value().get_string())
                                                             : json::serialize(member.value());
                const std::string_view key = member.key();
                const bool is_value_only = key == "name" || key == "labels" || key == "value";
                line += (line.empty() ? "" : " ") + (is_value_only ? text : fmt::format("{}={}", key, text));
            }
            print_line(line);
        }
    }
}

/// Fetches a document and prints it as JSON, or with @p print for text output.
template <class Print>
int show(int argc, char** argv, std::string_view target, Print print) {
    if (!expect_arguments(argc, argv, 0, "no arguments")) {
        return exit_invalid;
    }
    error failure;
    const auto document = value_or_error(
        [&]() -> result<json::value> {
            BOOST_LEAF_AUTO(client, make_admin_client());
            return fetch(client, target);
        },
        failure);
    if (!document) {
        return print_error(failure);
    }
    if (wants_json() || !document->is_object()) {
        print_json(*document);
    } else {
        print(document->get_object());
    }
    return exit_done;
}

} // namespace

int run_status(int argc, char** argv) {
    return show(argc, argv, "/admin/status", print_status);
}

int run_dump(int argc, char** argv) {
    return show(argc, argv, "/admin/dump", [](const json::object& dump) { print_json(dump); });
}

int run_metrics(int argc, char** argv) {
    return show(argc, argv, "/admin/metrics", print_counters);
}

} // namespace hornbeamrail::cli

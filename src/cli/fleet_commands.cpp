#include "cli/fleet_commands.hpp"

#include "cli/change.hpp"
#include "cli/check.hpp"
#include "cli/command.hpp"
#include "cli/fleet_diff.hpp"

#include <boost/json/array.hpp>
#include <fmt/format.h>
#include <gflags/gflags.h>

#include <memory>
#include <optional>

DEFINE_int64(
    expected_version, -1,
    "version of the configuration that the edit is based on, as printed by diff; -1: the version in force");

namespace hornbeamrail::cli {

namespace {

/// The configuration in force, as a node reports it.
struct config_in_force {
    log_offset version = 0;
    boost::json::value document;
};

/// Reads and checks the file named on the command line. Prints every finding if it is not valid.
std::optional<fleet_config> read_checked_config(int argc, char** argv) {
    if (!expect_arguments(argc, argv, 1, "one FILE")) {
        return std::nullopt;
    }
    error failure;
    const auto text = value_or_error([&] { return read_file(argv[1], max_fleet_config_bytes); }, failure);
    if (!text) {
        print_error(failure);
        return std::nullopt;
    }
    const auto report = check_document(*text);
    if (report.kind != document_kind::fleet_configuration || !report.findings.empty()) {
        if (report.findings.empty()) {
            print_error({errc::invalid_argument, fmt::format("\"{}\" is not a fleet configuration", argv[1]),
                         "name the file with the fleet configuration of the site"});
        } else {
            print_report(argv[1], report);
        }
        return std::nullopt;
    }
    return parse_fleet_config(*text).value();
}

result<config_in_force> fetch_config(admin_client& client) {
    BOOST_LEAF_AUTO(body, fetch(client, "/admin/config"));
    const auto* object = body.if_object();
    const auto* version = object != nullptr ? object->if_contains("version") : nullptr;
    const auto* config = object != nullptr ? object->if_contains("config") : nullptr;
    if (version == nullptr || config == nullptr || !version->is_int64()) {
        return make_error(errc::rejected, "the answer of the node contains no configuration",
                          "upgrade the node or this binary");
    }
    return config_in_force{version->get_int64(), *config};
}

std::vector<difference> diff_configs(const config_in_force& current, const fleet_config& new_config) {
    if (current.version == 0) {
        return {{"$", "", fmt::format("fleet configuration of \"{}\"", new_config.site)}};
    }
    return diff_documents(current.document, to_json(new_config));
}

boost::json::array to_json(const std::vector<difference>& found) {
    boost::json::array array;
    for (const auto& entry : found) {
        array.push_back({{"path", entry.path}, {"old", entry.old_value}, {"new", entry.new_value}});
    }
    return array;
}

void print_differences(const std::vector<difference>& found) {
    for (const auto& entry : found) {
        print_line(to_string(entry));
    }
}

} // namespace

int run_diff(int argc, char** argv) {
    const auto new_config = read_checked_config(argc, argv);
    if (!new_config) {
        return exit_invalid;
    }
    error failure;
    const auto current = value_or_error(
        [&]() -> result<config_in_force> {
            BOOST_LEAF_AUTO(client, make_admin_client());
            return fetch_config(client);
        },
        failure);
    if (!current) {
        return print_error(failure);
    }
    const auto found = diff_configs(*current, *new_config);
    if (wants_json()) {
        print_json({{"version", current->version}, {"differences", to_json(found)}});
        return exit_done;
    }
    print_differences(found);
    print_line(fmt::format("{} difference{} to version {}", found.size(), found.size() == 1 ? "" : "s",
                           current->version));
    return exit_done;
}

int run_apply(int argc, char** argv) {
    const auto new_config = read_checked_config(argc, argv);
    if (!new_config) {
        return exit_invalid;
    }
    error failure;
    std::vector<difference> found;
    const auto report = value_or_error(
        [&]() -> result<change_report> {
            BOOST_LEAF_AUTO(client, make_admin_client());
            BOOST_LEAF_AUTO(current, fetch_config(client));
            found = diff_configs(current, *new_config);
            const auto expected_version =
                FLAGS_expected_version >= 0 ? FLAGS_expected_version : current.version;
            return send_change(client, resolve_change_id(),
                               config_record{.expected_version = expected_version,
                                             .config = std::make_shared<const fleet_config>(*new_config)});
        },
        failure);
    if (!report) {
        return print_error(failure);
    }
    if (!wants_json()) {
        print_differences(found);
    }
    return print_change(*report, fmt::format("fleet configuration {}", argv[1]),
                        {{"differences", to_json(found)}});
}

} // namespace hornbeamrail::cli

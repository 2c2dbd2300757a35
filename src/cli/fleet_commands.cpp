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

DEFINE_int64(expected_version, -1,
             "version that the edit started from, as diff printed it; -1: the version in force");

namespace hornbeamrail::cli {

namespace {

struct force_config {
    log_offset version = 0;
    boost::json::value document;
};

/// Reads and checks the file; prints every finding when it is not usable.
std::optional<fleet_config> read_checked(int argc, char** argv) {
    if (!expect_arguments(argc, argv, 1, "one FILE")) {
        return std::nullopt;
    }
    error failure;
    const auto text = value_or_error([&] { return read_file(argv[1], max_fleet_text_bytes); }, failure);
    if (!text) {
        print_error(failure);
        return std::nullopt;
    }
    const auto report = check_document(*text);
    if (report.kind != document_kind::fleet_text || !report.findings.empty()) {
        if (report.findings.empty()) {
            print_error({errc::invalid_argument, fmt::format("\"{}\" is not a fleet text", argv[1]),
                         "name the fleet text of the site"});
        } else {
            print_report(argv[1], report);
        }
        return std::nullopt;
    }
    return parse_fleet_config(*text).value();
}

result<force_config> fetch_config(admin_client& client) {
    BOOST_LEAF_AUTO(body, fetch(client, "/admin/config"));
    const auto* object = body.if_object();
    const auto* version = object != nullptr ? object->if_contains("version") : nullptr;
    const auto* config = object != nullptr ? object->if_contains("config") : nullptr;
    if (version == nullptr || config == nullptr || !version->is_int64()) {
        return make_error(errc::rejected, "the node's answer holds no configuration",
                          "upgrade the node or this binary");
    }
    return force_config{version->get_int64(), *config};
}

std::vector<difference> differences(const force_config& current, const fleet_config& wanted) {
    if (current.version == 0) {
        return {{"$", "", fmt::format("fleet text of \"{}\"", wanted.site)}};
    }
    return diff_documents(current.document, to_json(wanted));
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
    const auto wanted = read_checked(argc, argv);
    if (!wanted) {
        return exit_invalid;
    }
    error failure;
    const auto current = value_or_error(
        [&]() -> result<force_config> {
            BOOST_LEAF_AUTO(client, make_admin_client());
            return fetch_config(client);
        },
        failure);
    if (!current) {
        return print_error(failure);
    }
    const auto found = differences(*current, *wanted);
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
    const auto wanted = read_checked(argc, argv);
    if (!wanted) {
        return exit_invalid;
    }
    error failure;
    std::vector<difference> found;
    const auto report = value_or_error(
        [&]() -> result<change_report> {
            BOOST_LEAF_AUTO(client, make_admin_client());
            BOOST_LEAF_AUTO(current, fetch_config(client));
            found = differences(current, *wanted);
            const auto expected = FLAGS_expected_version >= 0 ? FLAGS_expected_version : current.version;
            return send_change(client, chosen_change_id(),
                               config_record{.expected_version = expected,
                                             .config = std::make_shared<const fleet_config>(*wanted)});
        },
        failure);
    if (!report) {
        return print_error(failure);
    }
    if (!wants_json()) {
        print_differences(found);
    }
    return print_change(*report, fmt::format("fleet text {}", argv[1]), {{"differences", to_json(found)}});
}

} // namespace hornbeamrail::cli

#include "cli/check.hpp"

#include "cli/command.hpp"
#include "hornbeamrail/fleet_config.hpp"
#include "hornbeamrail/node_settings.hpp"

#include <boost/json/array.hpp>
#include <boost/json/stream_parser.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <optional>

namespace hornbeamrail::cli {

namespace {

constexpr std::array<std::string_view, 5> fleet_fields{"site", "zones", "pools", "services", "teams"};
constexpr std::array<std::string_view, 6> settings_fields{"node_id",       "caller_address", "peer_address",
                                                          "admin_address", "platform",       "peer_seeds"};

/// Parses JSON. A syntax error becomes a finding with its line and column.
std::optional<boost::json::value> parse_document(std::string_view text, std::vector<diagnostic>& findings) {
    boost::json::stream_parser parser;
    boost::system::error_code failure;
    const auto consumed = parser.write_some(text.data(), text.size(), failure);
    if (!failure && consumed < text.size() &&
        text.find_first_not_of(" \t\r\n", consumed) != std::string_view::npos) {
        failure = boost::json::error::extra_data;
    }
    if (!failure) {
        parser.finish(failure);
    }
    if (!failure) {
        return parser.release();
    }
    const auto before = text.substr(0, consumed);
    const auto line = 1 + std::count(before.begin(), before.end(), '\n');
    const auto start = before.rfind('\n');
    const auto column = start == std::string_view::npos ? consumed + 1 : consumed - start;
    findings.push_back({"$",
                        fmt::format("not JSON at line {}, column {}: {}", line, column, failure.message()),
                        "check quotes, commas and brackets at this position"});
    return std::nullopt;
}

document_kind kind_of_document(const boost::json::value& document) {
    const auto* object = document.if_object();
    if (object == nullptr) {
        return document_kind::unrecognized;
    }
    const auto count = [&](const auto& fields) {
        return std::count_if(fields.begin(), fields.end(),
                             [&](std::string_view field) { return object->contains(field); });
    };
    const auto fleet_matches = count(fleet_fields);
    const auto settings_matches = count(settings_fields);
    if (fleet_matches == settings_matches) {
        return document_kind::unrecognized;
    }
    return fleet_matches > settings_matches ? document_kind::fleet_configuration
                                            : document_kind::node_settings;
}

boost::json::value to_json(const std::vector<diagnostic>& findings) {
    boost::json::array array;
    for (const auto& finding : findings) {
        array.push_back({{"path", finding.path}, {"message", finding.message}, {"remedy", finding.remedy}});
    }
    return array;
}

} // namespace

std::string_view to_string(document_kind kind) noexcept {
    switch (kind) {
    case document_kind::fleet_configuration:
        return "fleet text"; // printed in the JSON output of `check`, so it stays
    case document_kind::node_settings:
        return "node settings";
    case document_kind::unrecognized:
        return "document";
    }
    return "document";
}

check_report check_document(std::string_view text) {
    check_report report;
    if (text.size() > max_fleet_config_bytes) {
        report.findings.push_back({"$", fmt::format("{} bytes are too many", text.size()),
                                   fmt::format("keep it under {} bytes", max_fleet_config_bytes)});
        return report;
    }
    const auto document = parse_document(text, report.findings);
    if (!document) {
        return report;
    }
    report.kind = kind_of_document(*document);
    switch (report.kind) {
    case document_kind::fleet_configuration:
        read_fleet_config(*document, report.findings);
        break;
    case document_kind::node_settings:
        read_node_settings(*document, report.findings);
        break;
    case document_kind::unrecognized:
        report.findings.push_back({"$", "neither a fleet configuration nor node settings",
                                   "a fleet configuration has site, zones, pools, services and teams; node "
                                   "settings have node_id, zone, "
                                   "region, caller_address, peer_address, admin_address and platform"});
        break;
    }
    return report;
}

void print_report(const std::string& file, const check_report& report) {
    if (wants_json()) {
        print_json(
            {{"file", file}, {"kind", to_string(report.kind)}, {"findings", to_json(report.findings)}});
        return;
    }
    for (const auto& finding : report.findings) {
        print_line(fmt::format("{}: {}\n  remedy: {}", finding.path, finding.message, finding.remedy));
    }
    print_line(report.findings.empty()
                   ? fmt::format("{}: valid {}", file, to_string(report.kind))
                   : fmt::format("{}: {}, {} finding{}", file, to_string(report.kind), report.findings.size(),
                                 report.findings.size() == 1 ? "" : "s"));
}

int run_check(int argc, char** argv) {
    if (!expect_arguments(argc, argv, 1, "one FILE")) {
        return exit_invalid;
    }
    error failure;
    const auto text = value_or_error([&] { return read_file(argv[1], max_fleet_config_bytes); }, failure);
    if (!text) {
        return print_error(failure);
    }
    const auto report = check_document(*text);
    print_report(argv[1], report);
    return report.findings.empty() ? exit_done : exit_invalid;
}

} // namespace hornbeamrail::cli

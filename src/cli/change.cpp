#include "cli/change.hpp"

#include "cli/command.hpp"
#include "protocol/digest.hpp"

#include <boost/json/array.hpp>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <optional>
#include <thread>

DECLARE_int32(timeout_ms);
DEFINE_string(change_id, "", "id of the change; to repeat a command safely, pass the id that it printed");

namespace hornbeamrail::cli {

namespace {

using clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds poll_interval{100};

std::string string_field(const boost::json::object& object, std::string_view name) {
    const auto* value = object.if_contains(name);
    return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

change_report read_report(const std::string& change_id, const admin_answer& answer) {
    change_report report{.change_id = change_id,
                         .outcome = answer.status == 200   ? change_result::accepted
                                    : answer.status == 409 ? change_result::rejected
                                                           : change_result::pending,
                         .reason = {},
                         .unconfirmed_regions = {}};
    const auto* object = answer.body.if_object();
    if (object == nullptr) {
        return report;
    }
    report.reason = string_field(*object, "reason");
    if (const auto* offset = object->if_contains("offset"); offset != nullptr && offset->is_int64()) {
        report.offset = offset->get_int64();
    }
    const auto* regions = object->if_contains("unconfirmed_regions");
    if (regions != nullptr && regions->is_array()) {
        for (const auto& region : regions->get_array()) {
            report.unconfirmed_regions.emplace_back(region.is_string() ? std::string(region.get_string())
                                                                       : "");
        }
    }
    return report;
}

/// One attempt: queries the outcome of a change that a node has accepted for processing; otherwise posts the
/// change.
result<admin_answer> query_or_post(admin_client& client, const boost::json::value& message,
                                   const std::string& change_id, bool submitted) {
    if (submitted) {
        BOOST_LEAF_AUTO(answer, client.get("/admin/changes/" + change_id));
        // A node that was replaced does not know the change; the change is posted again under the same id.
        if (answer.status != 404) {
            return answer;
        }
    }
    return client.post("/admin/changes", message);
}

bool is_valid_change_id(std::string_view text) {
    return text.size() <= 64 && std::all_of(text.begin(), text.end(), [](char character) {
               return std::isalnum(static_cast<unsigned char>(character)) != 0 || character == '-';
           });
}

} // namespace

std::string_view to_string(change_result value) noexcept {
    switch (value) {
    case change_result::accepted:
        return "accepted";
    case change_result::rejected:
        return "rejected";
    case change_result::pending:
        return "pending";
    case change_result::unreachable:
        return "unreachable";
    }
    return "unreachable";
}

std::string resolve_change_id() {
    return FLAGS_change_id.empty() ? random_uuid() : FLAGS_change_id;
}

result<change_report> send_change(admin_client& client, const std::string& change_id,
                                  const record_body& body) {
    if (!is_valid_change_id(change_id)) {
        return make_error(errc::invalid_argument, "--change_id is not a valid id",
                          "use the id that the command printed: at most 64 letters, digits and hyphens");
    }
    const auto record_json = to_json(log_record{.change_id = change_id, .body = body});
    const boost::json::value message{
        {"change_id", change_id},
        {"record", {{"kind", record_json.at("kind")}, {"body", record_json.at("body")}}}};
    const auto deadline = clock::now() + std::chrono::milliseconds(FLAGS_timeout_ms);
    change_report report{.change_id = change_id, .reason = {}, .unconfirmed_regions = {}};
    bool submitted = false;
    while (true) {
        error failure;
        const auto answer =
            value_or_error([&] { return query_or_post(client, message, change_id, submitted); }, failure);
        if (answer && (answer->status == 200 || answer->status == 202 || answer->status == 409)) {
            report = read_report(change_id, *answer);
            submitted = true;
        } else if (answer && answer->status < 500) {
            auto refusal = error_of(*answer);
            refusal.code = errc::invalid_argument;
            return boost::leaf::new_error(std::move(refusal));
        } else if (submitted) {
            report.reason = answer ? error_of(*answer).message : failure.message;
        } else {
            report.outcome = change_result::unreachable;
            report.reason = answer ? error_of(*answer).message : failure.message;
        }
        const bool is_final =
            report.outcome == change_result::accepted || report.outcome == change_result::rejected;
        if (is_final || clock::now() + poll_interval > deadline) {
            return report;
        }
        std::this_thread::sleep_for(poll_interval);
    }
}

int print_change(const change_report& report, std::string_view description, boost::json::object extra,
                 std::string_view retry_flags) {
    if (wants_json()) {
        extra["change_id"] = report.change_id;
        extra["result"] = to_string(report.outcome);
        extra["offset"] = report.offset;
        extra["reason"] = report.reason;
        extra["unconfirmed_regions"] =
            boost::json::array(report.unconfirmed_regions.begin(), report.unconfirmed_regions.end());
        print_json(extra);
    }
    switch (report.outcome) {
    case change_result::accepted:
        if (!wants_json()) {
            print_line(fmt::format("{}: accepted at offset {} (change {})", description, report.offset,
                                   report.change_id));
        }
        return exit_done;
    case change_result::rejected:
        if (!wants_json()) {
            print_line(fmt::format("{}: rejected: {} (change {})\n  remedy: check the current state with "
                                   "status or diff before sending another change",
                                   description, report.reason, report.change_id));
        }
        return exit_refused;
    case change_result::pending:
    case change_result::unreachable:
        break;
    }
    if (!wants_json()) {
        std::string detail = report.reason;
        if (!report.unconfirmed_regions.empty()) {
            detail += fmt::format("{}not confirmed by {}", detail.empty() ? "" : "; ",
                                  fmt::join(report.unconfirmed_regions, ", "));
        }
        print_line(fmt::format("{}: {}{}{}\n  remedy: repeat the command with --change_id {}{}{}",
                               description, to_string(report.outcome), detail.empty() ? "" : ": ", detail,
                               report.change_id, retry_flags.empty() ? "" : " ", retry_flags));
    }
    return exit_unknown;
}

int run_change(const record_body& body, std::string_view description) {
    error failure;
    const auto report = value_or_error(
        [&]() -> result<change_report> {
            BOOST_LEAF_AUTO(client, make_admin_client());
            return send_change(client, resolve_change_id(), body);
        },
        failure);
    return report ? print_change(*report, description) : print_error(failure);
}

} // namespace hornbeamrail::cli

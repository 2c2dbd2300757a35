#pragma once

#include "cli/admin_client.hpp"
#include "protocol/log_record.hpp"

#include <boost/json/object.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace hornbeamrail::cli {

enum class change_result { accepted, rejected, pending, unreachable };

/// @return "accepted", "rejected", "pending" or "unreachable"
std::string_view to_string(change_result value) noexcept;

/// What became of an operator's change.
struct change_report {
    std::string change_id;
    change_result outcome = change_result::unreachable;
    log_offset offset = 0;
    std::string reason;                           ///< why it was rejected, is pending or could not be sent
    std::vector<std::string> unconfirmed_regions; ///< set while pending
};

/// @return the change id of --change_id, or a new one
std::string chosen_change_id();

/// Sends a change and waits until it is accepted or rejected, at most --timeout_ms.
/// @return the outcome; or `errc::invalid_argument` when the node refuses the form of the change
result<change_report> send_change(admin_client& client, const std::string& change_id,
                                  const record_body& body);

/// Prints the outcome.
/// @param report the outcome
/// @param what what was done, for example "zone lakeshore-a taken out"
/// @param extra further members of the JSON output
/// @param repeat flags to repeat the command with, after "--change_id ID", when the outcome is unknown
/// @return the exit code
int print_change(const change_report& report, std::string_view what, boost::json::object extra = {},
                 std::string_view repeat = {});

/// Sends one change and prints its outcome.
/// @return the exit code
int run_change(const record_body& body, std::string_view what);

} // namespace hornbeamrail::cli

#pragma once

#include "cli/admin_client.hpp"
#include "protocol/log_record.hpp"

#include <boost/json/object.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace hornbeamrail::cli {

/// Outcome of a change as far as the client knows it. `pending` and `unreachable` mean that the change may
/// still be accepted.
enum class change_result { accepted, rejected, pending, unreachable };

/// @return "accepted", "rejected", "pending" or "unreachable"
std::string_view to_string(change_result value) noexcept;

/// Outcome of a change that an operator sent.
struct change_report {
    std::string change_id;
    change_result outcome = change_result::unreachable;
    log_offset offset = 0; ///< offset of the record in the log, once decided
    std::string reason;    ///< why the change was rejected, is pending or could not be sent
    /// Regions in which no majority of the nodes has confirmed the change. Set while it is pending.
    std::vector<std::string> unconfirmed_regions;
};

/// @return the value of --change_id, or a new random id if the flag is empty
std::string resolve_change_id();

/// Sends a change and polls its outcome until it is accepted or rejected or --timeout_ms has passed.
/// Repeating the call with the same id does not apply the change twice.
/// @return the outcome, or `errc::invalid_argument` if the id is invalid or the node refuses the request as
///     malformed
result<change_report> send_change(admin_client& client, const std::string& change_id,
                                  const record_body& body);

/// Prints the outcome of a change.
/// @param description the change, for example "zone lakeshore-a taken out"
/// @param extra additional members of the JSON output
/// @param retry_flags flags that a retry needs besides "--change_id ID"; printed if the outcome is unknown
/// @return the exit code
int print_change(const change_report& report, std::string_view description, boost::json::object extra = {},
                 std::string_view retry_flags = {});

/// Sends one change with the flags of the command line and prints its outcome.
/// @return the exit code
int run_change(const record_body& body, std::string_view description);

} // namespace hornbeamrail::cli

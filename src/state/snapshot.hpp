#pragma once

#include "hornbeamrail/error.hpp"
#include "state/fleet_state.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeamrail {

/// Encodes and decodes the complete fleet state. Equal states have equal encodings.
class snapshot_codec {
public:
    /// @return the encoded state: a format header, the SHA-256 of the payload, and the payload
    static std::string encode(const fleet_state& state);

    /// @return the state, or `errc::parse_failed` when the bytes are corrupt or of an unknown format
    static result<fleet_state> decode(std::string_view bytes);

private:
    template <class State>
    static auto tables(State& state);
};

/// Splits an encoded snapshot into records for the log.
/// @param snapshot_id unique per snapshot
/// @param next_offset `next_offset()` of the state
/// @param part_bytes maximum size of a part before base64 encoding
std::vector<snapshot_part_record> split_snapshot(const std::string& snapshot_id, log_offset next_offset,
                                                 std::string_view bytes, std::size_t part_bytes);

/// Assembles snapshots from parts in any order, several concurrently, in bounded memory.
class snapshot_assembler {
public:
    static constexpr std::size_t max_snapshots = 4;
    static constexpr std::size_t max_snapshot_bytes = 64UL << 20U;

    /// Adds a part.
    /// @return the state when the part completes an intact snapshot; otherwise nothing
    std::optional<fleet_state> add(const snapshot_part_record& part);

    /// Drops all incomplete snapshots.
    void clear();

    /// @return number of complete snapshots that were discarded as damaged
    [[nodiscard]] std::int64_t damaged_snapshots() const noexcept { return this->damaged; }

private:
    struct partial {
        std::string sha256;
        std::int64_t parts = 0;
        std::size_t bytes = 0;
        std::map<std::int64_t, std::string> received;
    };

    std::map<std::string, partial, std::less<>> partials;
    std::deque<std::string> order; ///< ids of `partials`, oldest first
    std::int64_t damaged = 0;
};

} // namespace hornbeamrail

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

/// Whole fleet state to bytes and back. Equal states give equal bytes.
class snapshot_codec {
public:
    /// @return the state, preceded by a format number and the SHA-256 of the rest
    static std::string encode(const fleet_state& state);

    /// @return the state, or `errc::parse_failed` when the bytes are damaged or of an unknown format
    static result<fleet_state> decode(std::string_view bytes);

private:
    template <class State>
    static auto tables(State& state);
};

/// Cuts an encoded snapshot into records for the log.
/// @param snapshot_id unique per snapshot
/// @param next_offset `next_offset()` of the state
/// @param part_bytes largest size of a part before base64
std::vector<snapshot_part_record> split_snapshot(const std::string& snapshot_id, log_offset next_offset,
                                                 std::string_view bytes, std::size_t part_bytes);

/// Puts snapshots together from parts in any order, several at a time, in bounded memory.
class snapshot_assembler {
public:
    static constexpr std::size_t max_snapshots = 4;
    static constexpr std::size_t max_snapshot_bytes = 64UL << 20U;

    /// @return the state when the part completes a snapshot that is neither torn nor damaged
    std::optional<fleet_state> add(const snapshot_part_record& part);

    void clear();

    /// @return complete snapshots that were passed over because they were damaged
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

#pragma once

#include "protocol/log_record.hpp"

#include <array>
#include <cstdint>
#include <string_view>
#include <unordered_map>

namespace hornbeamrail {

/// Progress of a claimed request.
enum class claim_phase : std::uint8_t { in_progress, finished, unknown_outcome };

/// A claim on the id of a non-idempotent request.
struct claim_entry {
    incarnation_id claimant = 0;
    std::int64_t attempt = 0;
    log_offset epoch = 0;
    claim_phase phase = claim_phase::in_progress;
};

/// Claims on ids of non-idempotent requests that one partition owner has granted, in bounded memory.
///
/// Ids are stored as the first half of their SHA-256. After a collision, a request that never ran would be
/// treated as a duplicate, but no request can run twice.
class claim_table {
public:
    explicit claim_table(std::size_t limit) : max_entries(limit) {}

    /// @return the entry of the id, or nullptr
    [[nodiscard]] claim_entry* find(std::string_view id);

    /// @return false when the table is full; nothing was inserted
    bool insert(std::string_view id, const claim_entry& entry);

    void erase(std::string_view id);

    /// Drops every entry whose epoch is below @p epoch.
    void drop_below(log_offset epoch);

    void clear() { this->entries.clear(); }

    [[nodiscard]] std::size_t size() const noexcept { return this->entries.size(); }

private:
    using digest = std::array<std::uint64_t, 2>;
    struct digest_hash {
        std::size_t operator()(const digest& value) const noexcept { return value[0]; }
    };
    static digest digest_of(std::string_view id);

    std::size_t max_entries;
    std::unordered_map<digest, claim_entry, digest_hash> entries;
};

} // namespace hornbeamrail

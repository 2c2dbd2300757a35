#include "state/claim_table.hpp"

#include "protocol/digest.hpp"

#include <charconv>
#include <string>

namespace hornbeamrail {

claim_table::digest claim_table::digest_of(std::string_view id) {
    const auto hex = sha256_hex(id);
    digest value{};
    std::from_chars(hex.data(), hex.data() + 16, value[0], 16);
    std::from_chars(hex.data() + 16, hex.data() + 32, value[1], 16);
    return value;
}

claim_entry* claim_table::find(std::string_view id) {
    const auto found = this->entries.find(digest_of(id));
    return found == this->entries.end() ? nullptr : &found->second;
}

bool claim_table::insert(std::string_view id, const claim_entry& entry) {
    if (this->entries.size() >= this->max_entries) {
        return false;
    }
    this->entries.insert_or_assign(digest_of(id), entry);
    return true;
}

void claim_table::erase(std::string_view id) {
    this->entries.erase(digest_of(id));
}

void claim_table::drop_below(log_offset epoch) {
    std::erase_if(this->entries, [epoch](const auto& entry) { return entry.second.epoch < epoch; });
}

} // namespace hornbeamrail

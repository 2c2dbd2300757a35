#include "protocol/site_document.hpp"

#include <algorithm>

namespace hornbeamrail {

namespace {

template <class Item>
const Item* find_by_name(const std::vector<Item>& items, std::string_view name) noexcept {
    const auto found =
        std::find_if(items.begin(), items.end(), [name](const Item& item) { return item.name == name; });
    return found == items.end() ? nullptr : &*found;
}

} // namespace

const worker_pool_config* site_config::find_pool(std::string_view name) const noexcept {
    return find_by_name(this->pools, name);
}

const account_config* site_config::find_account(std::string_view name) const noexcept {
    return find_by_name(this->accounts, name);
}

const account_config* site_config::account_of_key(std::string_view key) const noexcept {
    const auto holds_key = [key](const account_config& account) {
        return std::find(account.keys.begin(), account.keys.end(), key) != account.keys.end();
    };
    const auto found = std::find_if(this->accounts.begin(), this->accounts.end(), holds_key);
    return found == this->accounts.end() ? nullptr : &*found;
}

const queue_config* site_config::queue_of(std::string_view host, std::string_view path) const noexcept {
    const queue_config* best = nullptr;
    for (const auto& queue : this->queues) {
        if (queue.host == host && path.starts_with(queue.path_prefix) &&
            (best == nullptr || queue.path_prefix.size() > best->path_prefix.size())) {
            best = &queue;
        }
    }
    return best;
}

bool worker_entry::has_label(std::string_view label) const noexcept {
    return std::find(this->labels.begin(), this->labels.end(), label) != this->labels.end();
}

} // namespace hornbeamrail

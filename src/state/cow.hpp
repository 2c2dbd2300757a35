#pragma once

#include <atomic>
#include <memory>
#include <utility>

namespace hornbeamrail {

/// Copy-on-write holder of a table. Copies share the table until one of them writes.
///
/// A published copy may be read and copied by any thread. Writing is for the one thread that owns the copy.
template <class Table>
class cow {
public:
    cow() : table(std::make_shared<Table>()) {}
    cow(const cow& other) : table(other.table), shared(true) {
        other.shared.store(true, std::memory_order_relaxed);
    }
    cow(cow&& other) noexcept : table(other.table), shared(true) {
        other.shared.store(true, std::memory_order_relaxed);
    }
    cow& operator=(const cow& other) {
        if (this != &other) {
            other.shared.store(true, std::memory_order_relaxed);
            this->table = other.table;
            this->shared.store(true, std::memory_order_relaxed);
        }
        return *this;
    }
    cow& operator=(cow&& other) noexcept {
        *this = std::as_const(other);
        return *this;
    }
    ~cow() = default;

    const Table& operator*() const noexcept { return *this->table; }
    const Table* operator->() const noexcept { return this->table.get(); }

    /// @return the table for writing, cloned first when it was ever shared with another copy
    Table& write() {
        // A flag instead of use_count(): the count may fall to one while another thread's last reads are not
        // yet ordered before this write.
        if (this->shared.load(std::memory_order_relaxed)) {
            this->table = std::make_shared<Table>(*this->table);
            this->shared.store(false, std::memory_order_relaxed);
        }
        return *this->table;
    }

private:
    std::shared_ptr<Table> table;
    mutable std::atomic<bool> shared{false};
};

} // namespace hornbeamrail

#pragma once

#include <atomic>
#include <memory>
#include <utility>

namespace hornbeamrail {

/// Copy-on-write holder of a table. Copies share the table until one of them is written.
///
/// Any thread may read and copy a published copy. Only the thread that owns a copy may write to it.
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

    /// @return the table for writing; clones it first if it may be shared with another copy
    Table& write() {
        // A flag instead of use_count(), because the count may drop to one before the last reads of another
        // thread are ordered before this write.
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

#pragma once

#include <memory>
#include <mutex>
#include <utility>

namespace hornbeamrail {

/// A shared pointer that one thread replaces and any thread reads.
///
/// A mutex protects the pointer while it is copied. std::atomic<std::shared_ptr> is not used because its
/// `load` in libstdc++ 12 unlocks with relaxed ordering, which lets a read race with the next `store`
/// (reported by the thread sanitizer in the demo).
template <class Value>
class published {
public:
    explicit published(std::shared_ptr<Value> first = nullptr) : current(std::move(first)) {}

    [[nodiscard]] std::shared_ptr<Value> load() const {
        const std::lock_guard lock(this->mutex);
        return this->current;
    }

    void store(std::shared_ptr<Value> next) {
        {
            const std::lock_guard lock(this->mutex);
            this->current.swap(next);
        }
        // `next` now holds the previous pointer. Its value is destroyed, if at all, after the mutex is
        // unlocked.
    }

private:
    mutable std::mutex mutex;
    std::shared_ptr<Value> current;
};

} // namespace hornbeamrail

#pragma once

#include <memory>
#include <mutex>
#include <utility>

namespace hornbeamrail {

/// A shared value that one thread replaces and any thread reads.
///
/// A mutex guards the pointer for the time of its copy. std::atomic<std::shared_ptr> of libstdc++ 12 releases
/// its lock in `load` without ordering, so that a read races with the next `store` (found by the thread
/// sanitizer in the demo).
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
        // The former value, which `next` holds now, is released without the lock.
    }

private:
    mutable std::mutex mutex;
    std::shared_ptr<Value> current;
};

} // namespace hornbeamrail

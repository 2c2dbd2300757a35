#pragma once

#include <chrono>
#include <cstdint>
#include <random>

namespace hornbeamrail {

/// Pseudo-random numbers that are reproducible from the seed with every standard library. The distributions
/// of the standard library are not. Not thread-safe.
class seeded_generator {
public:
    explicit seeded_generator(std::uint64_t seed) : engine(seed) {}

    /// @return a number in [0, 1)
    double unit() { return static_cast<double>(this->engine() >> 11) * 0x1.0p-53; }

    /// @return true with the given probability
    bool chance(double probability) { return this->unit() < probability; }

    /// @return a number in [lowest, highest]
    std::int64_t between(std::int64_t lowest, std::int64_t highest) {
        const auto span = static_cast<std::uint64_t>(highest - lowest) + 1;
        return lowest + static_cast<std::int64_t>(this->engine() % span);
    }

    /// @return a duration in [lowest, highest]
    std::chrono::microseconds between(std::chrono::microseconds lowest, std::chrono::microseconds highest) {
        return std::chrono::microseconds(this->between(lowest.count(), highest.count()));
    }

    /// @return a random 64-bit number, for example the seed of another generator
    std::uint64_t next() { return this->engine(); }

private:
    std::mt19937_64 engine;
};

} // namespace hornbeamrail

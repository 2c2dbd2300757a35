#pragma once

#include <boost/json/value.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

namespace hornbeamrail {

/// Labels of a series as (name, value), for example {{"service", "proof"}, {"error", "queue_full"}}.
using label_list = std::vector<std::pair<std::string, std::string>>;

/// A 64-bit value that threads change without a lock.
class counter {
public:
    void add(std::int64_t amount = 1) noexcept { this->current.fetch_add(amount, std::memory_order_relaxed); }
    /// Replaces the value, for series that report a level instead of a sum.
    void set(std::int64_t value) noexcept { this->current.store(value, std::memory_order_relaxed); }
    [[nodiscard]] std::int64_t value() const noexcept {
        return this->current.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::int64_t> current{0};
};

/// Distribution of latencies in buckets whose width is at most 1/8 of their lower bound.
///
/// Recording takes no lock. Readers see each bucket at its own instant, which is close enough for reports.
class latency_histogram {
public:
    /// Records one latency; negative values count as zero, values above the last bucket go into it.
    void record(std::chrono::microseconds latency) noexcept;

    [[nodiscard]] std::int64_t count() const noexcept;
    [[nodiscard]] std::chrono::microseconds sum() const noexcept;
    [[nodiscard]] std::chrono::microseconds max() const noexcept;

    /// @param part 0 to 1, for example 0.99
    /// @return upper bound of the bucket that holds the quantile, at most `max()`; zero when empty
    [[nodiscard]] std::chrono::microseconds quantile(double part) const noexcept;

private:
    static constexpr int sub_bucket_bits = 3;
    static constexpr std::size_t bucket_count = std::size_t{37} << sub_bucket_bits; ///< reaches 2^38 us

    static std::size_t bucket_of(std::uint64_t value) noexcept;
    static std::int64_t upper_bound_of(std::size_t bucket) noexcept;

    std::array<std::atomic<std::int64_t>, bucket_count> buckets{};
    std::atomic<std::int64_t> total_us{0};
    std::atomic<std::int64_t> largest_us{0};
};

/// The counters of a process by name and labels.
///
/// Look a series up once and keep the reference: it stays valid for the life of the registry. Lookups take a
/// lock, which is never held while other locks are taken; changes to a series take none.
class counter_registry {
public:
    /// Bounds memory when label values come from outside. Lookups past it get one shared overflow series.
    static constexpr std::size_t max_series = 8192;

    /// @param name what is counted, with its unit, for example "requests_total"
    /// @param labels order does not matter
    counter& counter_of(std::string_view name, label_list labels = {});
    latency_histogram& latency_of(std::string_view name, label_list labels = {});

    /// @return {"counters":[{"name","labels","value"}],"latencies":[{"name","labels","count","mean_us",
    /// "p50_us","p99_us","max_us"}]}, sorted by name and labels
    [[nodiscard]] boost::json::value to_json() const;

    /// @return one line per series: name{label="value"} value; latencies give one line per figure
    [[nodiscard]] std::string to_text() const;

private:
    struct series_key {
        std::string name;
        label_list labels;
        friend bool operator<(const series_key& left, const series_key& right) {
            return std::tie(left.name, left.labels) < std::tie(right.name, right.labels);
        }
    };
    template <class Series>
    using series_map = std::map<series_key, std::unique_ptr<Series>>;

    template <class Series>
    Series& find_or_make(series_map<Series>& table, std::string_view name, label_list labels);

    mutable std::mutex mutex;
    series_map<counter> counters;
    series_map<latency_histogram> latencies;
};

} // namespace hornbeamrail

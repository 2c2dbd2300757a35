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

/// A 64-bit value that several threads update without locks.
class counter {
public:
    void add(std::int64_t amount = 1) noexcept { this->current.fetch_add(amount, std::memory_order_relaxed); }
    /// Sets the value, for series that are gauges.
    void set(std::int64_t value) noexcept { this->current.store(value, std::memory_order_relaxed); }
    [[nodiscard]] std::int64_t value() const noexcept {
        return this->current.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::int64_t> current{0};
};

/// Histogram of latencies with buckets whose width is at most 1/8 of their lower bound.
///
/// Recording is lock-free. Readers do not see all buckets at the same instant, which is accurate enough for
/// reports.
class latency_histogram {
public:
    /// Records one latency. Negative values count as zero; values beyond the last bucket are added to it.
    void record(std::chrono::microseconds latency) noexcept;

    [[nodiscard]] std::int64_t count() const noexcept;
    [[nodiscard]] std::chrono::microseconds sum() const noexcept;
    [[nodiscard]] std::chrono::microseconds max() const noexcept;

    /// @param fraction 0 to 1, for example 0.99
    /// @return upper bound of the bucket that holds the quantile, at most `max()`; zero when empty
    [[nodiscard]] std::chrono::microseconds quantile(double fraction) const noexcept;

private:
    static constexpr int sub_bucket_bits = 3;
    static constexpr std::size_t bucket_count = std::size_t{37} << sub_bucket_bits; ///< reaches 2^38 us

    static std::size_t bucket_of(std::uint64_t value) noexcept;
    static std::int64_t upper_bound_of(std::size_t bucket) noexcept;

    std::array<std::atomic<std::int64_t>, bucket_count> buckets{};
    std::atomic<std::int64_t> total_us{0};
    std::atomic<std::int64_t> largest_us{0};
};

/// Counters and latency histograms of a process by name and labels.
///
/// Callers should look up a series once and keep the reference, which is valid for the lifetime of the
/// registry. Lookups take a leaf lock; updates of a series take none. Thread-safe.
class counter_registry {
public:
    /// Limits the memory when label values come from callers. Lookups of further series return a shared
    /// overflow series, one for the counters and one for the histograms.
    static constexpr std::size_t max_series = 8192;

    /// Finds or creates a series.
    /// @param name name of the series with its unit, for example "requests_total"
    /// @param labels order does not matter
    counter& counter_of(std::string_view name, label_list labels = {});
    latency_histogram& latency_of(std::string_view name, label_list labels = {});

    /// @return {"counters":[{"name","labels","value"}],"latencies":[{"name","labels","count","mean_us",
    /// "p50_us","p99_us","max_us"}]}, sorted by name and labels
    [[nodiscard]] boost::json::value to_json() const;

    /// @return one line per counter, name{label="value"} value, and several lines per histogram
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
    Series& find_or_create(series_map<Series>& table, std::string_view name, label_list labels);

    mutable std::mutex mutex;
    series_map<counter> counters;
    series_map<latency_histogram> latencies;
};

} // namespace hornbeamrail

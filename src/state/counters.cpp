#include "state/counters.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <bit>
#include <cmath>

namespace hornbeamrail {

namespace {

boost::json::object labels_to_json(const label_list& labels) {
    boost::json::object object;
    for (const auto& [name, value] : labels) {
        object[name] = value;
    }
    return object;
}

std::string escape(std::string_view text) {
    std::string escaped;
    for (const char character : text) {
        if (character == '\n') {
            escaped += "\\n";
            continue;
        }
        if (character == '"' || character == '\\') {
            escaped += '\\';
        }
        escaped += character;
    }
    return escaped;
}

std::string labels_to_text(const label_list& labels) {
    if (labels.empty()) {
        return {};
    }
    std::string text = "{";
    for (const auto& [name, value] : labels) {
        text += fmt::format("{}{}=\"{}\"", text.size() == 1 ? "" : ",", name, escape(value));
    }
    return text + "}";
}

} // namespace

void latency_histogram::record(std::chrono::microseconds latency) noexcept {
    const std::int64_t value = std::max<std::int64_t>(latency.count(), 0);
    this->buckets[bucket_of(static_cast<std::uint64_t>(value))].fetch_add(1, std::memory_order_relaxed);
    this->total_us.fetch_add(value, std::memory_order_relaxed);
    std::int64_t previous_max = this->largest_us.load(std::memory_order_relaxed);
    while (value > previous_max &&
           !this->largest_us.compare_exchange_weak(previous_max, value, std::memory_order_relaxed)) {
    }
}

std::int64_t latency_histogram::count() const noexcept {
    std::int64_t total = 0;
    for (const auto& bucket : this->buckets) {
        total += bucket.load(std::memory_order_relaxed);
    }
    return total;
}

std::chrono::microseconds latency_histogram::sum() const noexcept {
    return std::chrono::microseconds(this->total_us.load(std::memory_order_relaxed));
}

std::chrono::microseconds latency_histogram::max() const noexcept {
    return std::chrono::microseconds(this->largest_us.load(std::memory_order_relaxed));
}

std::chrono::microseconds latency_histogram::quantile(double fraction) const noexcept {
    const std::int64_t total = this->count();
    if (total == 0) {
        return {};
    }
    const auto rank = std::max<std::int64_t>(
        1, static_cast<std::int64_t>(std::ceil(std::clamp(fraction, 0.0, 1.0) * static_cast<double>(total))));
    std::int64_t seen = 0;
    for (std::size_t bucket = 0; bucket < this->buckets.size(); ++bucket) {
        seen += this->buckets[bucket].load(std::memory_order_relaxed);
        if (seen >= rank) {
            return std::min(std::chrono::microseconds(upper_bound_of(bucket)), this->max());
        }
    }
    return this->max();
}

std::size_t latency_histogram::bucket_of(std::uint64_t value) noexcept {
    constexpr std::uint64_t sub_buckets = 1U << sub_bucket_bits;
    if (value < sub_buckets) {
        return value;
    }
    const int shift = std::bit_width(value) - 1 - sub_bucket_bits;
    const std::size_t bucket =
        (static_cast<std::size_t>(shift + 1) << sub_bucket_bits) + ((value >> shift) & (sub_buckets - 1));
    return std::min(bucket, bucket_count - 1);
}

std::int64_t latency_histogram::upper_bound_of(std::size_t bucket) noexcept {
    constexpr std::size_t sub_buckets = 1U << sub_bucket_bits;
    if (bucket < sub_buckets) {
        return static_cast<std::int64_t>(bucket);
    }
    const auto shift = (bucket >> sub_bucket_bits) - 1;
    const auto lower = static_cast<std::int64_t>(sub_buckets + (bucket & (sub_buckets - 1))) << shift;
    return lower + (std::int64_t{1} << shift) - 1;
}

template <class Series>
Series& counter_registry::find_or_create(series_map<Series>& table, std::string_view name,
                                         label_list labels) {
    std::sort(labels.begin(), labels.end());
    series_key key{std::string(name), std::move(labels)};
    const std::lock_guard lock(this->mutex);
    if (const auto found = table.find(key); found != table.end()) {
        return *found->second;
    }
    if (this->counters.size() + this->latencies.size() >= max_series) {
        key = {"counter_series_overflow", {}};
    }
    auto& series = table[std::move(key)];
    if (!series) {
        series = std::make_unique<Series>();
    }
    return *series;
}

counter& counter_registry::counter_of(std::string_view name, label_list labels) {
    return this->find_or_create(this->counters, name, std::move(labels));
}

latency_histogram& counter_registry::latency_of(std::string_view name, label_list labels) {
    return this->find_or_create(this->latencies, name, std::move(labels));
}

boost::json::value counter_registry::to_json() const {
    const std::lock_guard lock(this->mutex);
    boost::json::array counter_array;
    for (const auto& [key, series] : this->counters) {
        counter_array.push_back(
            {{"name", key.name}, {"labels", labels_to_json(key.labels)}, {"value", series->value()}});
    }
    boost::json::array latency_array;
    for (const auto& [key, series] : this->latencies) {
        const auto count = series->count();
        latency_array.push_back({{"name", key.name},
                                 {"labels", labels_to_json(key.labels)},
                                 {"count", count},
                                 {"mean_us", count == 0 ? 0 : series->sum().count() / count},
                                 {"p50_us", series->quantile(0.5).count()},
                                 {"p99_us", series->quantile(0.99).count()},
                                 {"max_us", series->max().count()}});
    }
    return {{"counters", std::move(counter_array)}, {"latencies", std::move(latency_array)}};
}

std::string counter_registry::to_text() const {
    const std::lock_guard lock(this->mutex);
    std::string text;
    for (const auto& [key, series] : this->counters) {
        text += fmt::format("{}{} {}\n", key.name, labels_to_text(key.labels), series->value());
    }
    for (const auto& [key, series] : this->latencies) {
        const auto labels = labels_to_text(key.labels);
        text += fmt::format("{}_count{} {}\n", key.name, labels, series->count());
        text += fmt::format("{}_p50_us{} {}\n", key.name, labels, series->quantile(0.5).count());
        text += fmt::format("{}_p99_us{} {}\n", key.name, labels, series->quantile(0.99).count());
        text += fmt::format("{}_max_us{} {}\n", key.name, labels, series->max().count());
    }
    return text;
}

} // namespace hornbeamrail

#include "protocol/json_log.hpp"

#include <boost/json/serialize.hpp>
#include <fmt/chrono.h>
#include <fmt/format.h>

#include <atomic>
#include <chrono>
#include <cstdio>

namespace hornbeamrail {

namespace {

std::atomic<severity> threshold{severity::info};

std::string_view name_of(severity level) {
    switch (level) {
    case severity::debug:
        return "debug";
    case severity::info:
        return "info";
    case severity::warning:
        return "warning";
    case severity::error:
        return "error";
    }
    return "error";
}

} // namespace

void set_log_threshold(severity lowest) noexcept {
    threshold.store(lowest);
}

void write_log(severity level, std::string_view event, boost::json::object fields) {
    if (level < threshold.load()) {
        return;
    }
    const auto now =
        std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    boost::json::object line{
        {"time", fmt::format("{:%FT%T}Z", fmt::gmtime(now))}, {"severity", name_of(level)}, {"event", event}};
    for (auto& field : fields) {
        line.insert_or_assign(field.key(), std::move(field.value()));
    }
    // One call per line: stdio locks the stream, so lines of several threads do not mix.
    fmt::print(stderr, "{}\n", boost::json::serialize(line));
}

} // namespace hornbeamrail

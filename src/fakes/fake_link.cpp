#include "fakes/fake_link.hpp"

namespace hornbeamrail {

fake_link::fake_link(std::uint64_t seed, fake_link_options initial) : options(initial), generator(seed) {}

void fake_link::set_zone(const std::string& place, std::string zone) {
    this->zones[place] = std::move(zone);
}

void fake_link::cut_one_way(const std::string& from, const std::string& to) {
    this->cuts.emplace(from, to);
}

void fake_link::cut(const std::string& first, const std::string& second) {
    this->cut_one_way(first, second);
    this->cut_one_way(second, first);
}

void fake_link::restore(const std::string& first, const std::string& second) {
    this->cuts.erase({first, second});
    this->cuts.erase({second, first});
}

bool fake_link::is_cut(const std::string& from, const std::string& to) const {
    return this->cuts.contains({from, to});
}

std::optional<boot_time> fake_link::send(boot_time now, const std::string& from, const std::string& to) {
    const bool lost = this->generator.chance(this->options.loss_fraction);
    const auto jitter = this->generator.between(std::chrono::microseconds(0), this->options.jitter);
    if (lost || this->is_cut(from, to)) {
        return std::nullopt;
    }
    const auto from_zone = this->zones.find(from);
    const auto to_zone = this->zones.find(to);
    const bool crosses_zones = from_zone != this->zones.end() && to_zone != this->zones.end() &&
                               from_zone->second != to_zone->second;
    return now + (crosses_zones ? this->options.zone_delay : this->options.delay) + jitter;
}

} // namespace hornbeamrail

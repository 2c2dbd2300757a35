#include "node/admin_api.hpp"

#include "node/admin_views.hpp"
#include "protocol/json_reader.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>

#include <array>
#include <chrono>
#include <map>

namespace hornbeamrail {

namespace json = boost::json;

namespace {

constexpr std::string_view changes_path = "/admin/changes";
constexpr std::string_view drill_path = "/admin/drill/";

http_response json_answer(int status, const json::value& body) {
    http_response response{.status = status, .headers = {}, .body = json::serialize(body)};
    response.headers.add("Content-Type", "application/json");
    return response;
}

http_response bad_request(std::string_view message, std::string_view remedy) {
    return make_error_response(400, "bad_request", message, remedy, "not_run");
}

/// @return whether operators may write records of this kind; only nodes write the others
bool is_operator_kind(std::string_view kind) {
    static constexpr std::array kinds{"config",  "key_grant", "key_revoke", "zone_out",
                                      "zone_in", "vm_out",    "vm_in"};
    return std::find(kinds.begin(), kinds.end(), kind) != kinds.end();
}

/// @return the record of a change, or `nullopt` and the reason in @p failure
std::optional<log_record> read_change(const std::string& text, error& failure) {
    return value_or_error(
        [&]() -> result<log_record> {
            boost::system::error_code problem;
            auto document = json::parse(text, problem);
            if (problem) {
                return make_error(errc::parse_failed, "the body is not JSON: " + problem.message(),
                                  "send {\"change_id\",\"record\":{\"kind\",\"body\"}}");
            }
            std::vector<diagnostic> diagnostics;
            object_reader reader(document, "$", diagnostics);
            const auto change_id = reader.required_string("change_id");
            const auto* record = reader.find("record");
            reader.finish();
            if (!diagnostics.empty() || change_id.empty() || record == nullptr || !record->is_object()) {
                return make_error(errc::invalid_argument, "the body is not a change",
                                  "send {\"change_id\",\"record\":{\"kind\",\"body\"}}");
            }
            json::object record_object = record->get_object();
            const auto* kind = record_object.if_contains("kind");
            if (kind == nullptr || !kind->is_string() || !is_operator_kind(kind->get_string())) {
                return make_error(errc::invalid_argument, "operators cannot write records of this kind",
                                  "use config, key_grant, key_revoke, zone_out, zone_in, vm_out or vm_in");
            }
            record_object["format"] = log_record_format;
            record_object["change_id"] = change_id;
            return decode_record(json::serialize(record_object));
        },
        failure);
}

json::array zones_of(const fleet_state& state) {
    json::array zones;
    for (const auto& zone : state.config().zones) {
        zones.push_back(json::object{
            {"zone", zone.name}, {"region", zone.region}, {"out", state.zone_is_out(zone.name)}});
    }
    return zones;
}

} // namespace

void admin_api::handle(const http_request& request, const http_reply& reply) {
    const auto path = std::string_view(request.target).substr(0, request.target.find('?'));
    const bool is_get = request.method == "GET";
    if (path == changes_path && request.method == "POST") {
        reply.send(this->post_change(request));
    } else if (is_get && path.starts_with(changes_path) && path.size() > changes_path.size() + 1) {
        reply.send(this->change_answer(std::string(path.substr(changes_path.size() + 1))));
    } else if (is_get && path == "/admin/status") {
        reply.send(json_answer(200, this->status()));
    } else if (is_get && path == "/admin/dump") {
        reply.send(json_answer(200, this->dump()));
    } else if (is_get && path == "/admin/config") {
        reply.send(json_answer(200, config_document(*this->runtime.state())));
    } else if (is_get && path.starts_with(drill_path)) {
        reply.send(json_answer(200, this->drill(path.substr(drill_path.size()))));
    } else if (is_get && path == "/admin/metrics") {
        reply.send(json_answer(200, this->metrics()));
    } else if (path.starts_with("/admin/")) {
        reply.send(make_error_response(is_get ? 404 : 405, is_get ? "unknown_path" : "wrong_method",
                                       "the admin port does not support this method and path",
                                       "see docs/design.md, section 12", "not_run"));
    } else {
        reply.send(make_error_response(404, "unknown_path", "the admin port has no such path",
                                       "see docs/design.md, section 12", "not_run"));
    }
}

http_response admin_api::post_change(const http_request& request) {
    error failure;
    auto change = read_change(request.body, failure);
    if (!change) {
        return bad_request(failure.message, failure.remedy);
    }
    const auto change_id = change->change_id;
    const bool accepted = this->runtime.with_core([&](node_core& core, boot_time now) {
        const auto phase = core.change_status(change_id).phase;
        return phase == change_phase::accepted || phase == change_phase::rejected ||
               core.submit_change(now, change_id, std::move(change->body));
    });
    if (!accepted) {
        return make_error_response(503, "queue_full", "too many changes are pending",
                                   "repeat the command with the same change id", "not_run");
    }
    return this->change_answer(change_id);
}

http_response admin_api::change_answer(const std::string& change_id) const {
    const auto status = this->runtime.read(
        [&](const node_core& core, const dispatcher&, boot_time) { return core.change_status(change_id); });
    int code = 202;
    switch (status.phase) {
    case change_phase::accepted:
        code = 200;
        break;
    case change_phase::rejected:
        code = 409;
        break;
    case change_phase::unknown:
        code = 404;
        break;
    case change_phase::pending:
        break;
    }
    json::object body{{"change_id", change_id},
                      {"phase", to_string(status.phase)},
                      {"offset", status.offset},
                      {"reason", status.reason},
                      {"unconfirmed_regions",
                       json::array(status.unconfirmed_regions.begin(), status.unconfirmed_regions.end())}};
    if (status.phase == change_phase::rejected) {
        body["error"] = status.reason.find("conflict") != std::string::npos ? "conflict" : "rejected";
        body["message"] = status.reason;
        body["remedy"] = "review the current state before submitting a new change";
    }
    return json_answer(code, body);
}

/// Values read from core and dispatcher under their locks. The documents are built from them without a lock.
struct admin_api::view_snapshot {
    std::shared_ptr<const fleet_state> state;
    std::shared_ptr<const vm_list> platform;
    fleet_demand demand;
    node_health health;
    incarnation_id incarnation = 0;
    log_offset epoch = 0;
    bool planner = false;
    /// Usable and running units of each team at this node.
    std::map<std::string, std::pair<std::int64_t, std::int64_t>> team_units;

    [[nodiscard]] fleet_view view() const { return {*this->state, *this->platform, this->demand}; }
};

admin_api::view_snapshot admin_api::read_snapshot() const {
    return this->runtime.read([&](const node_core& core, const dispatcher& dispatch, boot_time now) {
        view_snapshot snapshot{.state = core.state(),
                               .platform = core.platform_vms(),
                               .demand = core.fleet_demand(),
                               .health = {.registered = core.incarnation() != 0,
                                          .fresh = core.view_is_fresh(now),
                                          .log_answers = core.log_answers(now)},
                               .incarnation = core.incarnation(),
                               .epoch = core.epoch(),
                               .planner = core.is_planner(now),
                               .team_units = {}};
        for (const auto& team : snapshot.state->config().teams) {
            snapshot.team_units[team.name] = {core.usable_units(team.name),
                                              dispatch.running_units(team.name)};
        }
        return snapshot;
    });
}

json::value admin_api::status() const {
    const auto snapshot = this->read_snapshot();
    const auto wall_clock =
        std::chrono::time_point_cast<std::chrono::seconds>(std::chrono::system_clock::now());
    const bool healthy = snapshot.health.fresh && snapshot.health.registered && !this->runtime.stopping();
    json::object document{
        {"incarnation", snapshot.incarnation},  {"healthy", healthy},
        {"fresh", snapshot.health.fresh},       {"log_answers", snapshot.health.log_answers},
        {"stopping", this->runtime.stopping()}, {"epoch", snapshot.epoch},
        {"is_planner", snapshot.planner}};
    for (auto& member : fleet_document(snapshot.view(), wall_clock)) {
        document[member.key()] = std::move(member.value());
    }
    for (auto& team : document["teams"].as_array()) {
        const auto& [usable, running] = snapshot.team_units.at(std::string(team.at("team").as_string()));
        team.as_object()["usable_here"] = usable;
        team.as_object()["running_here"] = running;
    }
    document["alarms"] = alarms_document(snapshot.view(), snapshot.health, wall_clock);
    document["zones"] = zones_of(*snapshot.state);
    document["keys"] = keys_document(*snapshot.state);
    return document;
}

json::value admin_api::drill(std::string_view zone) const {
    return drill_document(this->read_snapshot().view(), zone);
}

json::value admin_api::dump() const {
    auto tasks = this->runtime.dump_tasks();
    return this->runtime.read(
        [&](const node_core& core, const dispatcher& dispatch, boot_time now) -> json::value {
            return json::object{{"tasks", std::move(tasks)},
                                {"core", core.dump(now)},
                                {"dispatcher", dispatch.dump(now)},
                                {"configuration", config_document(*core.state())},
                                {"keys", keys_document(*core.state())}};
        });
}

json::value admin_api::metrics() const {
    const auto snapshot = this->read_snapshot();
    const auto set = [this](std::string_view name, std::int64_t value) {
        this->runtime.counters.counter_of(name).set(value);
    };
    set("view_fresh", snapshot.health.fresh ? 1 : 0);
    set("log_answers", snapshot.health.log_answers ? 1 : 0);
    set("registered", snapshot.health.registered ? 1 : 0);
    set("is_planner", snapshot.planner ? 1 : 0);
    set("log_next_offset", snapshot.state->next_offset());
    set("config_version", snapshot.state->config_version());
    set("records_set_aside", snapshot.state->undecodable_records());
    set("vms_in_fold", static_cast<std::int64_t>(snapshot.state->vms().size()));
    set("tasks_in_fold", static_cast<std::int64_t>(snapshot.state->tasks().size()));
    auto body = this->runtime.counters.to_json();
    if (this->transport_counters && body.is_object()) {
        body.get_object()["transport"] = this->transport_counters();
    }
    return body;
}

} // namespace hornbeamrail

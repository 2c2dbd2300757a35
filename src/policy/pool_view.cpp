#include "policy/pool_view.hpp"

namespace hornbeamrail {

std::map<std::string, pool_view, std::less<>>
make_pool_views(const fleet_state& state, const std::set<std::string, std::less<>>& absent_vms) {
    std::map<std::string, pool_view, std::less<>> views;
    for (const auto& pool : state.config().pools) {
        pool_view view{.pool = pool.name, .service = {}, .min_vms = pool.min_vms, .vms = {}, .serving = {}};
        if (const auto* service = state.config().service_of_pool(pool.name)) {
            view.service = service->name;
            view.slots_per_vm = service->slots_per_executor;
        }
        views.emplace(pool.name, std::move(view));
    }
    for (const auto& [id, info] : state.vms()) {
        const auto view = views.find(info.vm.pool);
        if (view == views.end()) {
            continue;
        }
        view->second.vms.push_back(&info);
        if (info.in_service() && !state.zone_is_out(info.vm.zone) && !absent_vms.contains(id)) {
            view->second.serving.push_back(&info);
        }
        if (info.operation == vm_operation::moving) {
            if (const auto target = views.find(info.move_to); target != views.end()) {
                ++target->second.arriving;
            }
        }
    }
    return views;
}

} // namespace hornbeamrail

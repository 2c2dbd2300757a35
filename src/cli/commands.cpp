#include "cli/commands.hpp"

#include "cli/check.hpp"
#include "cli/demo.hpp"
#include "cli/fleet_commands.hpp"
#include "cli/key_commands.hpp"
#include "cli/serve.hpp"
#include "cli/serve_site.hpp"
#include "cli/view_commands.hpp"
#include "cli/vm_commands.hpp"
#include "cli/zone_commands.hpp"

#include <initializer_list>

namespace hornbeamrail::cli {

std::vector<command> all_commands() {
    const std::vector<std::string_view> view_flags{"node", "timeout_ms", "output"};
    const std::vector<std::string_view> change_flags{"node", "timeout_ms", "output", "change_id"};
    const auto extend = [](std::vector<std::string_view> flags,
                           std::initializer_list<std::string_view> extra_flags) {
        flags.insert(flags.end(), extra_flags);
        return flags;
    };
    return {
        {.name = "serve",
         .arguments = "--config NODE.json",
         .summary = "runs an entry node until SIGTERM (graceful stop); SIGHUP reloads certificates",
         .flags = {"config", "output"},
         .run = run_serve},
        {.name = "serve-site",
         .arguments = "[--platform_settings FILE]",
         .summary = "runs an entry node on the users' platform until SIGTERM (graceful stop)",
         .flags = {"platform_settings", "output"},
         .run = run_serve_site},
        {.name = "check",
         .arguments = "FILE",
         .summary = "checks a fleet configuration or the settings of a node",
         .flags = {"output"},
         .run = run_check},
        {.name = "diff",
         .arguments = "FILE",
         .summary = "shows what apply would change",
         .flags = view_flags,
         .run = run_diff},
        {.name = "apply",
         .arguments = "FILE",
         .summary = "publishes a fleet configuration based on the version in force",
         .flags = extend(change_flags, {"expected_version"}),
         .run = run_apply},
        {.name = "key grant",
         .arguments = "TEAM",
         .summary = "creates a key for a team and shows it once",
         .flags = extend(change_flags, {"key_id", "key_hash"}),
         .run = run_key_grant},
        {.name = "key revoke",
         .arguments = "KEY_ID",
         .summary = "revokes a key on every node",
         .flags = change_flags,
         .run = run_key_revoke},
        {.name = "key list",
         .arguments = "",
         .summary = "lists the keys with their teams",
         .flags = view_flags,
         .run = run_key_list},
        {.name = "zone out",
         .arguments = "ZONE",
         .summary = "prints the capacity that remains without the zone, then takes it out of service",
         .flags = extend(change_flags, {"dry_run"}),
         .run = run_zone_out},
        {.name = "zone in",
         .arguments = "ZONE",
         .summary = "brings a zone back into service",
         .flags = change_flags,
         .run = run_zone_in},
        {.name = "vm out",
         .arguments = "VM",
         .summary = "takes a VM out of service",
         .flags = change_flags,
         .run = run_vm_out},
        {.name = "vm in",
         .arguments = "VM",
         .summary = "brings a VM back into service",
         .flags = change_flags,
         .run = run_vm_in},
        {.name = "pool list",
         .arguments = "",
         .summary = "lists the pools with their VMs",
         .flags = view_flags,
         .run = run_pool_list},
        {.name = "status",
         .arguments = "",
         .summary = "shows the state of the fleet as known to one node",
         .flags = view_flags,
         .run = run_status},
        {.name = "dump",
         .arguments = "",
         .summary = "shows the full state of one node as JSON",
         .flags = view_flags,
         .run = run_dump},
        {.name = "metrics",
         .arguments = "",
         .summary = "shows the counters of one node",
         .flags = view_flags,
         .run = run_metrics},
        {.name = "demo",
         .arguments = "",
         .summary = "runs the system under load in one process while a zone leaves and returns, a key is "
                    "revoked and "
                    "a node stops",
         .flags = {"seconds", "seed", "output"},
         .run = run_demo},
    };
}

} // namespace hornbeamrail::cli

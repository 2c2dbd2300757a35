#include "cli/vm_commands.hpp"

#include "cli/change.hpp"
#include "cli/command.hpp"
#include "cli/json_table.hpp"

#include <fmt/format.h>

namespace hornbeamrail::cli {

int run_vm_out(int argc, char** argv) {
    if (!expect_arguments(argc, argv, 1, "one VM")) {
        return exit_invalid;
    }
    return run_change(vm_out_record{.vm = argv[1]}, fmt::format("VM {} taken out", argv[1]));
}

int run_vm_in(int argc, char** argv) {
    if (!expect_arguments(argc, argv, 1, "one VM")) {
        return exit_invalid;
    }
    return run_change(vm_in_record{.vm = argv[1]}, fmt::format("VM {} brought back", argv[1]));
}

int run_pool_list(int argc, char** argv) {
    if (!expect_arguments(argc, argv, 0, "no arguments")) {
        return exit_invalid;
    }
    return show_table(
        "/admin/status", "pools",
        {"pool", "service", "planned_vms", "vms", "serving", "out", "moving", "maintenance", "arriving"});
}

} // namespace hornbeamrail::cli

#include "cli/check.hpp"
#include "cli/command.hpp"
#include "cli/serve.hpp"

using namespace hornbeamrail::cli;

int main(int argc, char** argv) {
    const std::vector<command> table{
        {.name = "check",
         .arguments = "FILE",
         .summary = "checks a fleet text or the settings of a node",
         .flags = {"output"},
         .run = run_check},
        {.name = "serve",
         .arguments = "",
         .summary = "runs an entry node until SIGTERM; SIGHUP re-reads certificates",
         .flags = {"config"},
         .run = run_serve},
    };
    return run_command_line(table, argc, argv);
}

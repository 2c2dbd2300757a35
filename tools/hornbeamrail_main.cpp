#include "cli/commands.hpp"

int main(int argc, char** argv) {
    return hornbeamrail::cli::run_command_line(hornbeamrail::cli::all_commands(), argc, argv);
}

#pragma once

namespace hornbeamrail::cli {

/// Runs an entry node on the users' platform until SIGTERM.
/// @return the exit code of the process
int run_serve_site(int argc, char** argv);

} // namespace hornbeamrail::cli

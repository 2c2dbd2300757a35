#pragma once

namespace hornbeamrail::cli {

/// `serve --config NODE.json`: runs an entry node until SIGTERM or SIGINT; SIGHUP reloads the
/// certificates.
/// @return the exit code of the process
int run_serve(int argc, char** argv);

} // namespace hornbeamrail::cli

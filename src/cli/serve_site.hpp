#pragma once

namespace hornbeamrail::cli {

/// `serve-site [--platform_settings FILE]`: runs an entry node on the platform of the users until SIGTERM or
/// SIGINT.
/// @return the exit code of the process
int run_serve_site(int argc, char** argv);

} // namespace hornbeamrail::cli

#pragma once

namespace hornbeamrail::cli {

/// `serve-site [--platform_settings FILE]`: runs an entry node on the users' platform until SIGTERM or
/// SIGINT; SIGHUP reads the settings again and logs whether they are valid.
/// @return the exit code of the process
int run_serve_site(int argc, char** argv);

} // namespace hornbeamrail::cli

#pragma once

namespace hornbeamrail::cli {

/// `serve --config NODE.json`: runs an entry node until SIGTERM or SIGINT; SIGHUP re-reads certificates.
int run_serve(int argc, char** argv);

} // namespace hornbeamrail::cli

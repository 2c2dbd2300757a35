#pragma once

namespace hornbeamrail::cli {

/// `demo [--seconds N] [--seed S]`: runs a simulated platform and three entry nodes in one process, under
/// load, while a zone leaves and returns, a key is revoked and a node stops.
/// @return 0 if every checked guarantee held (see `demo_verdict`); 1 if one was violated or the run failed;
///     2 for invalid arguments
int run_demo(int argc, char** argv);

} // namespace hornbeamrail::cli

#pragma once

namespace hornbeamrail::cli {

/// `demo [--seconds N] [--seed S]`: a stand-in of the platform and three entry nodes in one process, under
/// load while a zone leaves and returns, a key is revoked and a node stops.
/// @return 0 when nothing was cut, doubled or answered wrongly and every bound was kept, else 1
int run_demo(int argc, char** argv);

} // namespace hornbeamrail::cli

#pragma once

namespace hornbeamrail::cli {

/// `demo [--seconds N] [--seed S]`: runs a simulated platform and three entry nodes in one process, under
/// load, while a zone leaves and returns, a key is revoked and a node stops.
/// @return 0 if no request was cut off, run twice or answered wrongly and all bounds were met; 1 if not;
///     2 for invalid arguments
int run_demo(int argc, char** argv);

} // namespace hornbeamrail::cli

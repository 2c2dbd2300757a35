#pragma once

namespace hornbeamrail::cli {

/// `status`: shows the state of the fleet as known to one node.
/// @return the exit code
int run_status(int argc, char** argv);

/// `dump`: shows the full state of one node as JSON.
/// @return the exit code
int run_dump(int argc, char** argv);

/// `metrics`: shows the counters of one node.
/// @return the exit code
int run_metrics(int argc, char** argv);

} // namespace hornbeamrail::cli

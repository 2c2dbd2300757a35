#pragma once

namespace hornbeamrail::cli {

/// `status`: the fleet as one node sees it.
int run_status(int argc, char** argv);

/// `dump`: full state of one node as JSON.
int run_dump(int argc, char** argv);

/// `metrics`: counters of one node.
int run_metrics(int argc, char** argv);

} // namespace hornbeamrail::cli

#pragma once

namespace hornbeamrail::cli {

/// `diff FILE`: shows what `apply` would change.
int run_diff(int argc, char** argv);

/// `apply FILE`: publishes a fleet text against the version in force.
int run_apply(int argc, char** argv);

} // namespace hornbeamrail::cli

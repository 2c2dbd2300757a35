#pragma once

namespace hornbeamrail::cli {

/// `diff FILE`: shows what `apply` would change.
/// @return the exit code
int run_diff(int argc, char** argv);

/// `apply FILE`: publishes a fleet configuration based on the version in force, or on --expected_version.
/// @return the exit code
int run_apply(int argc, char** argv);

} // namespace hornbeamrail::cli

#pragma once

namespace hornbeamrail::cli {

/// `vm out VM`: takes a VM out of service; no new work is placed on it.
/// @return the exit code
int run_vm_out(int argc, char** argv);

/// `vm in VM`: brings a VM back into service.
/// @return the exit code
int run_vm_in(int argc, char** argv);

/// `pool list`: lists the pools with their VMs.
/// @return the exit code
int run_pool_list(int argc, char** argv);

} // namespace hornbeamrail::cli

#pragma once

namespace hornbeamrail::cli {

/// `vm out VM`: no new work is placed on the VM.
int run_vm_out(int argc, char** argv);

/// `vm in VM`
int run_vm_in(int argc, char** argv);

/// `pool list`
int run_pool_list(int argc, char** argv);

} // namespace hornbeamrail::cli

#pragma once

// A child process that a test starts, signals and ends.

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <mutex>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

extern char** environ;

namespace hornbeamrail::test {

/// Held while a process is started, and while a socket is open that no process may inherit: a child holds
/// copies of all sockets of this process from its start until it runs its program, and longer without
/// close-on-exec.
inline std::mutex& child_start_mutex() {
    static std::mutex mutex;
    return mutex;
}

/// Owns a child process. The destructor kills it and waits for its end. One object is not thread-safe;
/// several threads may start processes.
class child_process {
public:
    /// Starts a program.
    /// @param command path of the program and its arguments
    /// @param output file to which standard output and standard error are appended
    /// @throws std::runtime_error when the program cannot be started
    child_process(const std::vector<std::string>& command, const std::string& output) {
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, output.c_str(),
                                         O_WRONLY | O_CREAT | O_APPEND, 0644);
        posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
        std::vector<char*> arguments;
        for (const auto& argument : command) {
            arguments.push_back(const_cast<char*>(argument.c_str()));
        }
        arguments.push_back(nullptr);
        int failure = 0;
        {
            const std::lock_guard lock(child_start_mutex());
            failure =
                posix_spawn(&this->id, command.front().c_str(), &actions, nullptr, arguments.data(), environ);
        }
        posix_spawn_file_actions_destroy(&actions);
        if (failure != 0) {
            throw std::runtime_error("cannot start " + command.front());
        }
    }

    ~child_process() {
        if (!this->has_ended()) {
            this->send(SIGKILL);
            waitpid(this->id, nullptr, 0);
        }
    }

    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    /// Sends a signal unless the process has ended.
    void send(int signal_number) {
        if (!this->has_ended()) {
            kill(this->id, signal_number);
        }
    }

    [[nodiscard]] bool has_ended() {
        int status = 0;
        if (!this->end_status && waitpid(this->id, &status, WNOHANG) == this->id) {
            this->end_status = status;
        }
        return this->end_status.has_value();
    }

    /// @return whether the process has exited with an error status or ended by a signal other than SIGKILL
    [[nodiscard]] bool has_failed() {
        return this->has_ended() && (WIFEXITED(*this->end_status) ? WEXITSTATUS(*this->end_status) != 0
                                                                  : WTERMSIG(*this->end_status) != SIGKILL);
    }

private:
    pid_t id = 0;
    std::optional<int> end_status;
};

} // namespace hornbeamrail::test

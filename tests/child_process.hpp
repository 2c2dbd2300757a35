#pragma once

// A process that a test starts, signals and ends.

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

extern char** environ;

namespace hornbeamrail::test {

/// Owns a child process: it is killed and collected when the object goes. Not thread-safe.
class child_process {
public:
    /// Starts a program whose output is appended to a file.
    child_process(const std::vector<std::string>& command, const std::string& output) {
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, output.c_str(),
                                         O_WRONLY | O_CREAT | O_APPEND, 0644);
        posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
        std::vector<char*> arguments;
        for (const auto& word : command) {
            arguments.push_back(const_cast<char*>(word.c_str()));
        }
        arguments.push_back(nullptr);
        const int failure =
            posix_spawn(&this->id, command.front().c_str(), &actions, nullptr, arguments.data(), environ);
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

    /// Sends a signal, unless the process has ended.
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

    /// @return whether the process has ended by itself with an error, or by a signal other than SIGKILL
    [[nodiscard]] bool has_failed() {
        return this->has_ended() && (WIFEXITED(*this->end_status) ? WEXITSTATUS(*this->end_status) != 0
                                                                  : WTERMSIG(*this->end_status) != SIGKILL);
    }

private:
    pid_t id = 0;
    std::optional<int> end_status;
};

} // namespace hornbeamrail::test

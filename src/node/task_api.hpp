#pragma once

#include "hornbeamrail/error.hpp"
#include "node/node_runtime.hpp"
#include "transport/http_server.hpp"

#include <memory>
#include <string>
#include <string_view>

namespace hornbeamrail {

/// The callers' task interface: `POST /v1/tasks`, `GET` and `DELETE /v1/tasks/{id}`.
///
/// A submit is answered 202 once its record is folded; a task survives the node from then on. A team sees and
/// cancels its own tasks only. Thread-safe.
class task_api {
public:
    task_api(io_threads& workers, std::shared_ptr<node_runtime> served);

    void submit(const http_request& request, const http_reply& reply);
    void show(std::string_view task_id, const http_request& request, const http_reply& reply);
    void cancel(std::string_view task_id, const http_request& request, const http_reply& reply);

private:
    struct caller {
        std::string team;
        std::string key_id;
    };

    [[nodiscard]] std::variant<caller, refusal> identify(const http_request& request) const;
    [[nodiscard]] const task_info* visible_task(const fleet_state& state, const caller& who,
                                                std::string_view task_id) const;
    /// @return the caller's task; nullptr after a refusal was sent
    [[nodiscard]] const task_info* find_or_refuse(const fleet_state& state, std::string_view task_id,
                                                  const http_request& request, const http_reply& reply) const;
    void answer(const http_reply& reply, http_response response, const std::string& request_id) const;
    void answer_when_folded(const std::string& task_id, const std::string& request_id,
                            const http_reply& reply, boot_time deadline) const;

    io_threads& threads;
    std::shared_ptr<node_runtime> node;
};

} // namespace hornbeamrail

#pragma once

#include "hornbeamrail/error.hpp"
#include "node/node_runtime.hpp"
#include "transport/http_server.hpp"

#include <memory>
#include <string>
#include <string_view>

namespace hornbeamrail {

/// HTTP handlers of the callers' task interface: `POST /v1/tasks`, `GET` and `DELETE /v1/tasks/{id}`.
///
/// A submit is answered 202 once its record is folded; from then on the task survives the loss of the node. A
/// team can see and cancel only its own tasks. Thread-safe.
class task_api {
public:
    /// @param workers runs delayed checks of the fold; must outlive the object and its copies
    /// @param served_node node that accepts the tasks
    task_api(io_threads& workers, std::shared_ptr<node_runtime> served_node);

    /// Handles `POST /v1/tasks`. Idempotent for requests with the same `Request-Id`.
    void submit(const http_request& request, const http_reply& reply);
    /// Handles `GET /v1/tasks/{id}`.
    void show(std::string_view task_id, const http_request& request, const http_reply& reply);
    /// Handles `DELETE /v1/tasks/{id}`. Answers 202 when the cancellation is queued.
    void cancel(std::string_view task_id, const http_request& request, const http_reply& reply);

private:
    struct caller {
        std::string team;
        std::string key_id;
    };

    /// @return team and key of the caller, or the refusal when the key is missing, unknown or revoked
    [[nodiscard]] std::variant<caller, refusal> identify(const http_request& request) const;
    /// @return the task, or nullptr when it does not exist or belongs to another team
    [[nodiscard]] const task_info* visible_task(const fleet_state& state, const caller& requester,
                                                std::string_view task_id) const;
    /// Sends the refusal when the key is not accepted or the task is not visible.
    /// @return the caller's task, or nullptr when a refusal was sent
    [[nodiscard]] const task_info* find_or_refuse(const fleet_state& state, std::string_view task_id,
                                                  const http_request& request, const http_reply& reply) const;
    void answer(const http_reply& reply, http_response response, const std::string& request_id) const;
    /// Answers 202 once the task is folded, or with an unknown outcome at @p deadline.
    void answer_when_folded(const std::string& task_id, const std::string& request_id,
                            const http_reply& reply, boot_time deadline) const;

    io_threads& threads;
    std::shared_ptr<node_runtime> node;
};

} // namespace hornbeamrail

#include "include/http/http_server.h"
#include "src/http/header_rules.h"
#include "src/http/reason_phrase.h"
#include "src/http/tracked_socket.h"

#include <restinio/all.hpp>

#include <algorithm>
#include <exception>
#include <poll.h>
#include <unordered_map>
#include <utility>
#include <vector>

namespace wagtailhatch {
namespace {

/// RESTinio detects a disconnected client only while it reads, and with one open request per connection it
/// does not read until the response is written.
constexpr std::size_t max_open_requests = 8;

/// Time limit for sending a complete response; large bodies take this long on slow links.
constexpr std::chrono::seconds write_timeout{30};

constexpr std::size_t request_buffer_size = std::size_t{16} << 10;

/// Iterations of the event loop during which a drain still accepts connections from the listen backlog.
constexpr int max_backlog_iterations = 4096;

class server_core;

class connection_listener {
public:
    explicit connection_listener(server_core* core)
        : core_{core}
    {
    }
    void state_changed(const restinio::connection_state::notice_t& notice) noexcept;

private:
    server_core* core_; ///< Outlives all connections, whose sockets own a reference.
};

struct server_traits : restinio::default_single_thread_traits_t {
    using connection_state_listener_t = connection_listener;
    using stream_socket_t = tracked_socket;
    static constexpr bool use_connection_count_limiter = true;
};

using restinio_server = restinio::http_server_t<server_traits>;

http_request to_request(const restinio::request_t& from)
{
    http_request out;
    out.method = from.header().method().c_str();
    out.target = from.header().request_target();
    out.headers.reserve(from.header().fields_count());
    from.header().for_each_field([&out](const auto& field) {
        out.headers.push_back(http_header{field.name(), field.value()});
    });
    out.body = from.body();
    return out;
}

/// RESTinio stops timeouts and reading on a connection that requests a protocol upgrade.
bool asks_for_upgrade(const restinio::http_request_header_t& header)
{
    return header.connection() == restinio::http_connection_header_t::upgrade ||
           header.method() == restinio::http_method_connect();
}

/// RESTinio accepts blanks in names, and frames the body by such names.
bool has_valid_names(const restinio::http_request_header_t& header)
{
    bool valid = true;
    header.for_each_field([&valid](const auto& field) { valid = valid && is_token(field.name()); });
    return valid;
}

void send(const restinio::request_handle_t& to, http_response response, bool close,
          restinio::write_status_cb_t written)
{
    const int status = response.status >= 200 && response.status <= 599 ? response.status : 500;
    auto builder = to->create_response(
        restinio::http_status_line_t{restinio::http_status_code_t{static_cast<std::uint16_t>(status)},
                                     std::string{reason_phrase(status)}});
    for (auto& header : response.headers) {
        if (is_token(header.name) && is_field_value(header.value) && !is_hop_by_hop_header(header.name)) {
            builder.append_header(std::move(header.name), std::move(header.value));
        }
    }
    if (close) {
        builder.connection_close();
    }
    const bool bodyless =
        status == 204 || status == 304 || to->header().method() == restinio::http_method_head();
    if (!bodyless) {
        builder.set_body(std::move(response.body));
    }
    builder.done(std::move(written));
}

class exchange final : public http_exchange {
public:
    exchange(std::shared_ptr<server_core> core, restinio::request_handle_t request)
        : core_{std::move(core)}
        , handle_{std::move(request)}
        , request_{to_request(*handle_)}
    {
    }
    ~exchange() override
    {
        // If a handler drops a request, the client must not wait for the handler timeout.
        if (open()) {
            respond(http_response{500, {}, {}});
        }
    }
    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;

    http_request& request() override { return request_; }
    void respond(http_response response) override;
    void on_disconnect(std::function<void()> callback) override { on_disconnect_ = std::move(callback); }

    void disconnected()
    {
        handle_.reset();
        if (auto callback = std::exchange(on_disconnect_, nullptr)) {
            callback();
        }
    }
    bool open() const { return handle_ != nullptr; }

private:
    std::shared_ptr<server_core> core_;
    restinio::request_handle_t handle_;
    http_request request_;
    std::function<void()> on_disconnect_;
};

/// State shared by the server, its connections and its pending exchanges.
class server_core final : public std::enable_shared_from_this<server_core> {
public:
    server_core(asio::io_context& io, http_server::handler handler)
        : io_{io}
        , handler_{std::make_shared<http_server::handler>(std::move(handler))}
    {
    }

    void open(const http_server_options& options);
    std::uint16_t port() const { return port_; }
    void drain();
    void stop();

    void accepted(restinio::connection_id_t id, tracked_socket* socket)
    {
        connections_[id].socket = socket;
        socket->on_destroyed([self = shared_from_this(), id] { self->connections_.erase(id); });
    }
    void closed(restinio::connection_id_t id);
    void answer(const restinio::request_handle_t& to, http_response response);

private:
    struct connection {
        tracked_socket* socket = nullptr;
        std::vector<std::weak_ptr<exchange>> exchanges;
        restinio::request_id_t last_request = 0;
        std::size_t unfinished = 0; ///< Requests whose responses are not yet written.

        bool idle() const { return unfinished == 0 && !socket->partial_request(); }
    };

    restinio::server_settings_t<server_traits> settings(const http_server_options& options);
    restinio::request_handling_status_t handle(const restinio::request_handle_t& request);
    void close_listener(int remaining_iterations);
    void written(restinio::connection_id_t id);

    asio::io_context& io_;
    std::shared_ptr<http_server::handler> handler_;
    std::unordered_map<restinio::connection_id_t, connection> connections_;
    std::unique_ptr<restinio_server> server_;
    int listener_fd_ = -1;
    std::uint16_t port_ = 0;
    bool draining_ = false;
    bool listener_closed_ = false; ///< No further connections are accepted.
    bool stop_called_ = false;     ///< The event loop may end after stop(), so nothing more is sent.
};

void connection_listener::state_changed(const restinio::connection_state::notice_t& notice) noexcept
{
    const auto cause = notice.cause();
    if (restinio::holds_alternative<restinio::connection_state::accepted_t>(cause)) {
        core_->accepted(notice.connection_id(), opening_socket);
    }
    else if (restinio::holds_alternative<restinio::connection_state::closed_t>(cause)) {
        core_->closed(notice.connection_id());
    }
}

void exchange::respond(http_response response)
{
    if (const auto handle = std::exchange(handle_, nullptr)) {
        on_disconnect_ = nullptr;
        core_->answer(handle, std::move(response));
    }
}

restinio::server_settings_t<server_traits> server_core::settings(const http_server_options& options)
{
    const auto address = asio::ip::make_address(options.address);
    restinio::server_settings_t<server_traits> out{options.port, address.is_v6() ? asio::ip::tcp::v6()
                                                                                 : asio::ip::tcp::v4()};
    out.address(address)
        .buffer_size(request_buffer_size)
        .max_pipelined_requests(max_open_requests)
        .max_parallel_connections(options.max_connections)
        .read_next_http_message_timelimit(options.read_timeout)
        .handle_request_timeout(options.handle_timeout)
        .write_http_response_timelimit(write_timeout)
        .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t{}
                                      .max_url_size(options.max_url)
                                      .max_field_name_size(options.max_header_field)
                                      .max_field_value_size(options.max_header_field)
                                      .max_field_count(options.max_header_count)
                                      .max_body_size(options.max_body))
        .connection_state_listener(std::make_shared<connection_listener>(this))
        .acceptor_post_bind_hook([this](asio::ip::tcp::acceptor& acceptor) {
            listener_fd_ = acceptor.native_handle();
            port_ = acceptor.local_endpoint().port();
        })
        .socket_options_setter([](restinio::socket_options_t& socket) {
            std::error_code ignored;
            socket.set_option(asio::ip::tcp::no_delay{true}, ignored);
        })
        .request_handler([this](const restinio::request_handle_t& request) { return handle(request); });
    return out;
}

void server_core::open(const http_server_options& options)
{
    server_ = std::make_unique<restinio_server>(restinio::external_io_context(io_), settings(options));
    server_->open_sync();
}

restinio::request_handling_status_t server_core::handle(const restinio::request_handle_t& request)
{
    const auto id = request->connection_id();
    const auto entry = connections_.find(id);
    if (entry == connections_.end()) {
        return restinio::request_rejected();
    }
    entry->second.last_request = request->request_id();
    entry->second.socket->request_complete();
    ++entry->second.unfinished;
    if (asks_for_upgrade(request->header()) || !has_valid_names(request->header())) {
        send(request, http_response{400, {{"wh-outcome", "not-run"}, {"wh-reason", "malformed"}}, {}}, true,
             {});
        return restinio::request_accepted();
    }
    if (draining_) {
        answer(request,
               http_response{
                   503, {{"wh-outcome", "not-run"}, {"wh-reason", "leaving"}, {"Retry-After", "1"}}, {}});
        return restinio::request_accepted();
    }
    const auto opened = std::make_shared<exchange>(shared_from_this(), request);
    auto& exchanges = entry->second.exchanges;
    exchanges.erase(std::remove_if(exchanges.begin(), exchanges.end(),
                                   [](const auto& e) {
                                       const auto other = e.lock();
                                       return other == nullptr || !other->open();
                                   }),
                    exchanges.end());
    exchanges.push_back(opened);
    const auto handler = handler_;
    (*handler)(opened);
    return restinio::request_accepted();
}

void server_core::answer(const restinio::request_handle_t& to, http_response response)
{
    if (stop_called_) {
        return;
    }
    // Closing before the last of several pipelined responses would drop the later ones.
    const auto entry = connections_.find(to->connection_id());
    const bool last = entry == connections_.end() || entry->second.last_request == to->request_id();
    send(to, std::move(response), draining_ && last,
         [self = shared_from_this(), id = to->connection_id()](const auto&) { self->written(id); });
}

void server_core::written(restinio::connection_id_t id)
{
    const auto entry = connections_.find(id);
    if (entry == connections_.end()) {
        return;
    }
    --entry->second.unfinished;
    if (draining_ && entry->second.idle()) {
        entry->second.socket->end_reading(asio::socket_base::shutdown_receive);
    }
}

void server_core::closed(restinio::connection_id_t id)
{
    const auto node = connections_.extract(id);
    if (node.empty()) {
        return;
    }
    for (const auto& weak : node.mapped().exchanges) {
        const auto open = weak.lock();
        if (open != nullptr && open->open()) {
            open->disconnected();
        }
    }
}

void server_core::drain()
{
    if (draining_) {
        return;
    }
    draining_ = true;
    close_listener(max_backlog_iterations);
    for (auto& [id, entry] : connections_) {
        // A partly received request is still read and then rejected, so that its sender gets a response.
        if (entry.idle()) {
            entry.socket->end_reading(asio::socket_base::shutdown_receive);
        }
    }
}

// Closing the listener resets connections in its backlog, whose clients may already have sent requests.
void server_core::close_listener(int remaining_iterations)
{
    if (listener_closed_) {
        return;
    }
    pollfd waiting{listener_fd_, POLLIN, 0};
    if (remaining_iterations > 0 && ::poll(&waiting, 1, 0) > 0) {
        asio::post(io_, [self = shared_from_this(), remaining_iterations] {
            self->close_listener(remaining_iterations - 1);
        });
        return;
    }
    listener_closed_ = true;
    server_->close_sync();
}

void server_core::stop()
{
    draining_ = true;
    stop_called_ = true;
    close_listener(0);
    handler_ = std::make_shared<http_server::handler>([](const std::shared_ptr<http_exchange>&) {});
    for (auto& [id, entry] : connections_) {
        entry.socket->end_reading(asio::socket_base::shutdown_both);
    }
}

class restinio_http_server final : public http_server {
public:
    explicit restinio_http_server(std::shared_ptr<server_core> core)
        : core_{std::move(core)}
    {
    }
    ~restinio_http_server() override { core_->stop(); }
    restinio_http_server(const restinio_http_server&) = delete;
    restinio_http_server& operator=(const restinio_http_server&) = delete;

    std::uint16_t port() const override { return core_->port(); }
    void drain() override { core_->drain(); }
    void stop() override { core_->stop(); }

private:
    std::shared_ptr<server_core> core_;
};

} // namespace

result<std::unique_ptr<http_server>>
make_http_server(asio::io_context& io, const http_server_options& options, http_server::handler handler)
{
    const auto place = "listener " + options.address + ":" + std::to_string(options.port);
    try {
        const auto core = std::make_shared<server_core>(io, std::move(handler));
        core->open(options);
        return std::unique_ptr<http_server>{std::make_unique<restinio_http_server>(core)};
    }
    catch (const std::system_error& e) {
        return error{e.code(), place};
    }
    catch (const std::exception& e) {
        return make_error(errc::invalid_argument, place + ": " + e.what());
    }
}

} // namespace wagtailhatch

// Stand-ins for the platform, targets and clients of lockgw, as the users' pages describe them, and the
// start of the program as the deploy file tells. Threads and POSIX sockets only; 127.0.0.1 only.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace standin {

using Clock = std::chrono::steady_clock;
using namespace std::chrono_literals;

inline Clock::time_point& origin() {
    static Clock::time_point at = Clock::now();
    return at;
}
/// Milliseconds since the start of the test.
inline double now_ms() { return std::chrono::duration<double, std::milli>(Clock::now() - origin()).count(); }
inline void sleep_ms(double ms) {
    if (ms > 0) std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}
inline void sleep_until_ms(double at) { sleep_ms(at - now_ms()); }

/// record.txt: one line an event, with its time.
class Record {
public:
    static Record& one() {
        static Record record;
        return record;
    }
    void open(const std::string& path) { file_ = std::fopen(path.c_str(), "w"); }
    void line(const char* format, ...) {
        char text[2048];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof text, format, arguments);
        va_end(arguments);
        const std::lock_guard lock(mutex_);
        if (!file_) return;
        std::fprintf(file_, "%10.1f %s\n", now_ms(), text);
        std::fflush(file_);
    }

private:
    std::mutex mutex_;
    FILE* file_ = nullptr;
};
#define RECORD(...) ::standin::Record::one().line(__VA_ARGS__)

inline std::string& folder_of_this_run() {
    static std::string path;
    return path;
}
[[noreturn]] inline void cannot_run(const std::string& why) {
    RECORD("CANNOT RUN: %s", why.c_str());
    std::error_code ignored;
    if (!folder_of_this_run().empty()) std::filesystem::remove_all(folder_of_this_run(), ignored);
    std::fprintf(stderr, "cannot run: %s\n", why.c_str());
    std::_Exit(2);
}

inline sockaddr_in address_of(int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}
/// A listening socket at a free port, or at `port`.
inline int listening(int& port) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int yes = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    sockaddr_in address = address_of(port);
    if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || listen(fd, 512) != 0)
        cannot_run("a stand-in cannot listen");
    socklen_t length = sizeof address;
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length);
    port = ntohs(address.sin_port);
    return fd;
}
inline int free_port() {
    int port = 0;
    ::close(listening(port));
    return port;
}
inline int connected(int port, int timeout_ms = 1000) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    sockaddr_in address = address_of(port);
    if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
        pollfd entry{fd, POLLOUT, 0};
        int error = errno;
        socklen_t length = sizeof error;
        if (error == EINPROGRESS && poll(&entry, 1, timeout_ms) > 0)
            getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &length);
        if (error != 0) {
            ::close(fd);
            return -1;
        }
    }
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    int yes = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    return fd;
}
inline bool send_all(int fd, const std::string& bytes) {
    for (std::size_t at = 0; at < bytes.size();) {
        const ssize_t count = ::send(fd, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
        if (count <= 0) return false;
        at += static_cast<std::size_t>(count);
    }
    return true;
}

// ---- HTTP/1.1, the server's side ----

struct HttpRequest {
    std::string method, path, body;
    std::map<std::string, std::string> headers;  // names in lower case
    double last_byte_ms = 0;
    std::string header(const std::string& name) const {
        const auto found = headers.find(name);
        return found == headers.end() ? "" : found->second;
    }
};

/// A connection that a server has accepted.
class HttpConnection {
public:
    explicit HttpConnection(int fd) : fd_(fd) {}
    ~HttpConnection() { ::close(fd_); }
    int fd() const { return fd_; }
    /// None where the connection ended.
    std::optional<HttpRequest> read() {
        std::size_t head = 0;
        while ((head = buffer_.find("\r\n\r\n")) == std::string::npos)
            if (!more()) return std::nullopt;
        HttpRequest request;
        std::istringstream lines(buffer_.substr(0, head));
        std::string line;
        std::getline(lines, line);
        std::istringstream first(line);
        first >> request.method >> request.path;
        while (std::getline(lines, line)) {
            const auto colon = line.find(':');
            if (colon == std::string::npos) continue;
            std::string name = line.substr(0, colon), value = line.substr(colon + 1);
            std::transform(name.begin(), name.end(), name.begin(), ::tolower);
            while (!value.empty() && value.front() == ' ') value.erase(0, 1);
            while (!value.empty() && (value.back() == '\r' || value.back() == ' ')) value.pop_back();
            request.headers[name] = value;
        }
        const std::size_t length = request.headers.contains("content-length")
                                       ? std::stoul(request.headers["content-length"])
                                       : 0;
        while (buffer_.size() < head + 4 + length)
            if (!more()) return std::nullopt;
        request.body = buffer_.substr(head + 4, length);
        buffer_.erase(0, head + 4 + length);
        request.last_byte_ms = now_ms();
        return request;
    }
    bool answer(int status, const std::string& headers = "", const std::string& body = "") {
        return send_all(fd_, "HTTP/1.1 " + std::to_string(status) + " S\r\nContent-Length: " +
                                 std::to_string(body.size()) + "\r\n" + headers + "\r\n" + body);
    }
    /// The other side has closed, reset or ended its sending.
    bool ended() const {
        pollfd entry{fd_, POLLIN | POLLRDHUP, 0};
        if (poll(&entry, 1, 0) <= 0) return false;
        if (entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) return true;
        char byte;
        return ::recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
    }

private:
    bool more() {
        char part[16384];
        const ssize_t count = ::recv(fd_, part, sizeof part, 0);
        if (count <= 0) return false;
        buffer_.append(part, static_cast<std::size_t>(count));
        return true;
    }
    int fd_;
    std::string buffer_;
};

/// Accepts connections, each served by a thread of its own.
class HttpServer {
public:
    using Serve = std::function<void(HttpConnection&)>;
    explicit HttpServer(Serve serve, int port = 0) : serve_(std::move(serve)), port_(port) { open(); }
    int port() const { return port_; }
    void open() {
        listener_ = listening(port_);
        std::thread([this, fd = listener_] {
            while (true) {
                const int client = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (client < 0) return;
                int yes = 1;
                setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
                {
                    const std::lock_guard lock(mutex_);
                    clients_.insert(client);
                }
                std::thread([this, client] {
                    HttpConnection connection(client);
                    serve_(connection);
                    const std::lock_guard lock(mutex_);
                    clients_.erase(client);  // die() leaves it alone from here on; the connection closes it
                    ::shutdown(client, SHUT_RDWR);
                }).detach();
            }
        }).detach();
    }
    /// As a process that dies: its connections are reset, and new ones are refused until open().
    void die() {
        ::shutdown(listener_, SHUT_RDWR);
        ::close(listener_);
        const std::lock_guard lock(mutex_);
        for (const int client : clients_) {
            linger at_once{1, 0};
            setsockopt(client, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
            // closes the connection itself with a reset; the descriptor goes when its thread ends
            sockaddr unspecified{};
            unspecified.sa_family = AF_UNSPEC;
            ::connect(client, &unspecified, sizeof unspecified);
        }
    }

private:
    Serve serve_;
    int port_, listener_ = -1;
    std::mutex mutex_;
    std::set<int> clients_;
};

// ---- discovery, as PROTOCOL-lockgw.md has it ----

struct Member {
    std::string id;
    int port = 0;
    std::int64_t cell = 0;
    std::string kind = "insurer";
    std::string phase = "in_service";
};

class Agent {
public:
    struct Notice {
        double at_ms;
        std::string result;
        std::int64_t wait_ms = 0;
    };
    explicit Agent(std::vector<Member> members)
        : members_(std::move(members)), server_([this](HttpConnection& one) { serve(one); }) {}
    int port() const { return server_.port(); }
    std::string list() const {
        const std::lock_guard lock(mutex_);
        return list_text(0, true);
    }
    /// First notice for an id, if any came.
    std::optional<Notice> notice(const std::string& id) const {
        const std::lock_guard lock(mutex_);
        const auto found = notices_.find(id);
        return found == notices_.end() ? std::nullopt : std::optional(found->second);
    }
    std::function<void(const std::string&, const Notice&)> on_notice;

private:
    std::string list_text(std::int64_t from, bool complete) const {
        std::string text = "{\"revision\":" + std::to_string(revision_) + ",\"complete\":" +
                           (complete ? "true" : "false") + ",\"members\":[";
        bool first = true;
        if (complete || from < revision_)
            for (const Member& one : members_) {
                text += std::string(first ? "" : ",") + "{\"id\":\"" + one.id + "\",\"host_port\":\"127.0.0.1:" +
                        std::to_string(one.port) + "\",\"locality\":\"prince-george\",\"flavor\":\"" + one.kind +
                        "\",\"cell\":" + std::to_string(one.cell) + ",\"phase\":\"" + one.phase +
                        "\",\"size\":1.0,\"up_since_ms\":0}";
                first = false;
            }
        return text + "]}";
    }
    void serve(HttpConnection& connection) {
        while (const auto request = connection.read()) {
            if (request->method == "POST") {
                std::istringstream lines(request->body);
                std::string line;
                std::vector<std::pair<std::string, Notice>> fresh;
                {
                    const std::lock_guard lock(mutex_);
                    while (std::getline(lines, line)) {
                        const auto ref = line.find("\"ref\":\"");
                        if (ref == std::string::npos) continue;
                        const std::string id = line.substr(ref + 7, 16);
                        Notice notice{now_ms(), line.find("bounced") != std::string::npos ? "bounced" : "dead", 0};
                        if (const auto wait = line.find("\"wait_ms\":"); wait != std::string::npos)
                            notice.wait_ms = std::atoll(line.c_str() + wait + 10);
                        RECORD("platform: notice %s", line.c_str());
                        if (notices_.emplace(id, notice).second) fresh.emplace_back(id, notice);
                    }
                }
                if (!connection.answer(204)) return;
                if (on_notice)
                    for (const auto& [id, notice] : fresh) on_notice(id, notice);
                continue;
            }
            std::int64_t from = -1;
            double hold = 0;
            if (const auto at = request->path.find("from="); at != std::string::npos)
                from = std::atoll(request->path.c_str() + at + 5);
            if (const auto at = request->path.find("hold_ms="); at != std::string::npos)
                hold = std::min(60000.0, std::atof(request->path.c_str() + at + 8));
            std::string body;
            {
                std::unique_lock lock(mutex_);
                if (from >= 0)
                    changed_.wait_for(lock, std::chrono::duration<double, std::milli>(hold),
                        [&] { return revision_ > from; });
                body = from < 0 ? list_text(0, true) : list_text(from, from < revision_);
            }
            if (!connection.answer(200, "Content-Type: application/json\r\n", body)) return;
        }
    }

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::int64_t revision_ = 41;
    std::vector<Member> members_;
    std::map<std::string, Notice> notices_;
    HttpServer server_;
};

// ---- clients, as PROTOCOL-lockgw.md has them ----

inline std::string resp(const std::vector<std::string>& words) {
    std::string text = "*" + std::to_string(words.size()) + "\r\n";
    for (const auto& word : words) text += "$" + std::to_string(word.size()) + "\r\n" + word + "\r\n";
    return text;
}
inline std::string new_id() {
    static std::atomic<std::uint64_t> next{0x1000};
    static const std::uint64_t salt = static_cast<std::uint64_t>(getpid()) << 32;
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>((salt + next++) * 0x9E3779B97F4A7C15ULL));
    return text;
}
struct Order {
    std::string id, kind = "order-submit", tenant = "shop-supply", key, body = "body";
    std::int64_t destination = 7;
    int d_ms = 16000;
    std::string more;
    std::string command() const {
        std::string pairs = "c=" + kind + ",t=" + tenant + ",d=" + std::to_string(d_ms);
        if (!key.empty()) pairs += ",k=" + key;
        pairs += ",dest=" + std::to_string(destination) + more;
        return resp({"ENQUEUE", "0000000000000000", id, pairs, body});
    }
};

/// One connection; `line` waits for an answer.
class Client {
public:
    explicit Client(int port) : fd_(connected(port)) {}
    ~Client() { close(); }
    Client(const Client&) = delete;
    bool open() const { return fd_ >= 0; }
    int fd() const { return fd_; }
    void close() {
        if (fd_ >= 0) ::close(fd_);
        fd_ = -1;
    }
    bool send(const std::string& bytes) { return fd_ >= 0 && send_all(fd_, bytes); }
    /// One line without its end; none after `timeout_ms` or where the connection ended.
    std::optional<std::string> line(int timeout_ms = 400) {
        const auto until = Clock::now() + std::chrono::milliseconds(timeout_ms);
        while (true) {
            if (const auto end = in_.find("\r\n"); end != std::string::npos) {
                const std::string text = in_.substr(0, end);
                in_.erase(0, end + 2);
                return text;
            }
            const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now()).count();
            pollfd entry{fd_, POLLIN, 0};
            if (fd_ < 0 || left <= 0 || poll(&entry, 1, static_cast<int>(left)) <= 0) return std::nullopt;
            char part[4096];
            const ssize_t count = ::recv(fd_, part, sizeof part, 0);
            if (count <= 0) {
                ended_ = true;
                reset_ = count < 0;
                return std::nullopt;
            }
            in_.append(part, static_cast<std::size_t>(count));
        }
    }
    bool ended() const { return ended_; }
    bool was_reset() const { return reset_; }

private:
    int fd_;
    std::string in_;
    bool ended_ = false, reset_ = false;
};
/// A new connection and PING; none where there is no answer within `timeout_ms`.
inline std::optional<std::string> ping(int port, int timeout_ms = 400) {
    Client client(port);
    if (!client.open() || !client.send(resp({"PING"}))) return std::nullopt;
    return client.line(timeout_ms);
}

// ---- the program ----

struct Setup {
    std::string name = "n0";
    int me = 0, n_instances = 2, slots = 12, most_held = 140;
    std::string classes =
        R"([{"aim_ms":4000.0,"dedup_scope":"all","effect":"dedup","hard_limit_ms":16000.0,"late_worth":0.5,"name":"order-submit","streamed":false,"window_ms":4000.0,"worth":1.0},
            {"aim_ms":1500.0,"dedup_scope":"all","effect":"retryable","hard_limit_ms":5000.0,"late_worth":0.0,"name":"status-update","streamed":false,"window_ms":5000.0,"worth":2.0}])";
    bool console = false;
};

class Node {
public:
    Node(Setup setup, const Agent& agent, std::string folder)
        : setup_(std::move(setup)), agent_(agent), folder_(std::move(folder) + "/" + setup_.name) {
        std::filesystem::create_directories(folder_ + "/state");
        std::filesystem::create_directories(folder_ + "/tmp");
        port_ = free_port();
        if (setup_.console) console_ = free_port();
        std::ofstream(config_path()) << config();
    }
    ~Node() { kill(); }
    int port() const { return port_; }
    int console_port() const { return console_; }
    pid_t pid() const { return pid_; }
    std::string log_path() const { return folder_ + "/log"; }

    /// The platform holds the clients' listening socket; each process inherits it as descriptor 7.
    void hold_listener() { listener_ = listening(port_); }
    /// One more process of the same forwarder, with a console of its own. It is the caller's.
    std::unique_ptr<Node> beside() {
        std::unique_ptr<Node> other(new Node(*this));
        other->console_ = free_port();
        other->pid_ = 0;
        other->start();
        return other;
    }

    void start() {
        if (listener_ < 0) std::filesystem::remove_all(folder_ + "/tmp");
        std::filesystem::create_directories(folder_ + "/tmp");
        std::vector<std::string> environment{"PATH=/usr/bin:/bin", "HOME=" + folder_, "NODE_NAME=" + setup_.name,
            "NODE_LISTEN=127.0.0.1:" + std::to_string(port_),
            "NODE_DISCOVERY=127.0.0.1:" + std::to_string(agent_.port()), "NODE_STATE=" + folder_ + "/state",
            "NODE_CONFIG=" + config_path(), "TMPDIR=" + folder_ + "/tmp"};
        if (listener_ >= 0) environment.push_back("NODE_LISTEN_FD=7");
        if (console_) environment.push_back("NODE_CONSOLE=127.0.0.1:" + std::to_string(console_));
        std::vector<char*> words;
        for (auto& one : environment) words.push_back(one.data());
        words.push_back(nullptr);
        const char* command = std::getenv("RUN_COMMAND");
        if (!command) command = "exec build/lockgw";
        const pid_t parent = getpid();
        pid_ = fork();
        if (pid_ == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (getppid() != parent) _exit(127);
            const int log = open(log_path().c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            dup2(log, 1), dup2(log, 2);
            if (listener_ >= 0) dup2(listener_, 7);
            execle("/bin/sh", "sh", "-c", command, static_cast<char*>(nullptr), words.data());
            _exit(127);
        }
        RECORD("%s: started, pid %d, port %d", setup_.name.c_str(), pid_, port_);
    }
    /// Another file in the place of the old one, and SIGHUP.
    void reload(const std::string& file) {
        std::ofstream(config_path() + ".new") << file;
        std::filesystem::rename(config_path() + ".new", config_path());
        signal(SIGHUP);
    }
    /// The file as it is.
    std::string file() const {
        std::ifstream stream(config_path());
        return {std::istreambuf_iterator<char>(stream), {}};
    }
    /// Waits for +PONG.
    void ready(int within_ms = 10000) {
        const double until = now_ms() + within_ms;
        while (now_ms() < until) {
            if (const auto pong = ping(port_); pong && *pong == "+PONG") {
                RECORD("%s: ready", setup_.name.c_str());
                return;
            }
            sleep_ms(20);
        }
        cannot_run(setup_.name + " is not ready");
    }
    void signal(int number) {
        if (pid_ > 0) ::kill(pid_, number);
    }
    void kill() {
        if (pid_ <= 0) return;
        ::kill(pid_, SIGCONT);
        ::kill(pid_, SIGKILL);
        wait();
    }
    void wait() {
        if (pid_ > 0) waitpid(pid_, &status_, 0);
        pid_ = 0;
    }
    bool running() {
        if (pid_ <= 0) return false;
        if (waitpid(pid_, &status_, WNOHANG) == 0) return true;
        RECORD("%s: the process has ended, status %d", setup_.name.c_str(), status_);
        pid_ = 0;
        return false;
    }
    /// An operator's call at the console: its status, or 0 where none came within `timeout_ms`.
    int order(const std::string& method, const std::string& path, int timeout_ms = 1000) {
        const int fd = connected(console_);
        const int status = fd < 0 ? 0 : order_on(fd, method, path, timeout_ms);
        if (fd >= 0) ::close(fd);
        RECORD("%s: operator: %s %s -> %d", setup_.name.c_str(), method.c_str(), path.c_str(), status);
        return status;
    }
    static int order_on(int fd, const std::string& method, const std::string& path, int timeout_ms) {
        if (!send_all(fd, method + " " + path + " HTTP/1.1\r\nHost: console\r\nContent-Length: 0\r\n\r\n")) return 0;
        return answer_on(fd, timeout_ms);
    }
    static int answer_on(int fd, int timeout_ms) {
        std::string text;
        const double until = now_ms() + timeout_ms;
        while (text.find("\r\n") == std::string::npos) {
            pollfd entry{fd, POLLIN, 0};
            if (now_ms() >= until || poll(&entry, 1, static_cast<int>(until - now_ms()) + 1) <= 0) return 0;
            char part[512];
            const ssize_t count = ::recv(fd, part, sizeof part, 0);
            if (count <= 0) return 0;
            text.append(part, static_cast<std::size_t>(count));
        }
        return std::atoi(text.c_str() + 9);
    }

private:
    Node(const Node&) = default;
    std::string config_path() const { return folder_ + "/config.json"; }
    std::string config() const {
        std::ostringstream text;
        text << "{\"name\":\"" << setup_.name << "\",\"listen\":\"127.0.0.1:" << port_
             << "\",\"discovery\":\"127.0.0.1:" << agent_.port() << "\",\"seed\":\"8c1f30d27a5be9"
             << (10 + setup_.me) << "\",";
        if (console_) text << "\"console\":\"127.0.0.1:" << console_ << "\",";
        text << R"("limits":{"cores":1.0,"memory_mb":192,"sockets":1024,"disk_mb":3},"known":)" << agent_.list()
             << R"(,"settings":{"az":"prince-george","classes":)" << setup_.classes
             << R"(,"clients":{"marks_retry":true},"contract":{"answer_slack_ms":20.0,"cold_from":0.16,"drain_grace_ms":500.0,"fall_ms":2000.0,"fall_multiple":2.5,"must_ask_in_ms":10000.0,"warm_within_ms":11000.0},
"discovery":"automatic","family_info":{"carriage":[0.0],"loses_worth":"halving","per_call":[1,1,1],"report_x0":"share of the allowance that is left","report_x1":"calls a second that the limit allows; 0 where there is none","routes_apart":[false,false,false],"slots":)"
             << setup_.slots
             << R"(,"turned_away_price":0.03},"goal":{"whole":0.4,"worst_class":0.2,"worst_tenant":0.1,"worst_window":0.3},"kinds":["lens-lab","shop","insurer"],
"limits":{"cancel":true,"conn_idle_ms":10000.0,"connect_timeout_ms":1000.0,"cpu_us_per_request":0.0,"cpu_us_per_s":500000,"max_attempts":12,"max_retry_after_ms":2000.0,"most_held":)"
             << setup_.most_held
             << R"(,"peers":false,"probing":false,"retry_after":true,"second_copies":false,"streams_per_conn":1},"localities":["prince-george"],"me":)"
             << setup_.me << ",\"n_instances\":" << setup_.n_instances
             << R"(,"over_share_worth":0.05,"penalties":{"connection":0.0,"cross_zone":0.0,"discovery":0.0,"handshake":0.02,"late_fail":0.03,"moves":0.0,"origin":0.0,"peer":0.01,"probe":0.0,"waste":0.03},"report":{"columns":["x0","x1"],"source":"inline"},
"tenants":[{"name":"shop-supply","portion":0.5,"quota_per_s":20.0},{"name":"clinic-orders","portion":0.35,"quota_per_s":14.0},{"name":"contact-lens","portion":0.15,"quota_per_s":6.0}],
"tick_ms":5.0,"tier":0,"tiers":["partner-systems"],"weights":"off","workload":"deliver","worth_by":"request"}})";
        return text.str();
    }

    Setup setup_;
    const Agent& agent_;
    std::string folder_;
    int port_ = 0, console_ = 0, status_ = 0, listener_ = -1;
    pid_t pid_ = 0;
};

/// A folder that goes with the test.
class Folder {
public:
    Folder() {
        const char* base = std::getenv("TMPDIR");
        std::string text = std::string(base && *base ? base : "/tmp") + "/review-XXXXXX";
        if (!mkdtemp(text.data())) cannot_run("no temporary folder");
        path_ = folder_of_this_run() = text;
    }
    ~Folder() {
        std::error_code ignored;
        if (!std::getenv("KEEP")) std::filesystem::remove_all(path_, ignored);
    }
    const std::string& path() const { return path_; }

private:
    std::string path_;
};

inline bool trouble() {
    const char* value = std::getenv("TROUBLE");
    return !(value && std::string(value) == "0");
}
inline void begin(const char* record_path) {
    ::signal(SIGPIPE, SIG_IGN);
    origin();
    Record::one().open(record_path);
    RECORD("begins, TROUBLE=%d", trouble() ? 1 : 0);
}

}  // namespace standin

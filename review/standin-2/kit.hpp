// Stand-ins for the second review: platform, discovery, targets and clients, on loopback, with threads and
// blocking sockets. Nothing of the project's own code and no library but the system's.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

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
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace kit {

using Clock = std::chrono::steady_clock;
inline const Clock::time_point kBegin = Clock::now();
/// Seconds since this program started.
inline double now() { return std::chrono::duration<double>(Clock::now() - kBegin).count(); }
inline void sleep_s(double s) {
    if (s > 0) std::this_thread::sleep_for(std::chrono::duration<double>(s));
}
inline bool trouble() {
    const char* told = std::getenv("TROUBLE");
    return told == nullptr || std::string(told) != "0";
}

/// The case could not run.
struct NotRun : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// ---- record.txt ----

class Record {
public:
    void open(const std::string& path) { file_ = std::fopen(path.c_str(), "w"); }
    void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
        char text[2048];
        va_list values;
        va_start(values, format);
        std::vsnprintf(text, sizeof text, format, values);
        va_end(values);
        const std::lock_guard hold(lock_);
        if (file_ == nullptr) return;
        std::fprintf(file_, "%9.3f %s\n", now(), text);
        std::fflush(file_);
    }

private:
    std::mutex lock_;
    std::FILE* file_ = nullptr;
};
inline Record record;

// ---- sockets ----

struct Address {
    std::string ip = "127.0.0.1";
    int port = 0;
    std::string text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in raw(const Address& address) {
    sockaddr_in all{};
    all.sin_family = AF_INET;
    all.sin_port = htons(static_cast<std::uint16_t>(address.port));
    inet_pton(AF_INET, address.ip.c_str(), &all.sin_addr);
    return all;
}
/// Port 0: a free one, which is written to `address`.
inline int listen_at(Address& address) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in all = raw(address);
    if (bind(fd, reinterpret_cast<sockaddr*>(&all), sizeof all) != 0 || listen(fd, 1024) != 0)
        throw NotRun("no listener at " + address.text());
    socklen_t size = sizeof all;
    getsockname(fd, reinterpret_cast<sockaddr*>(&all), &size);
    address.port = ntohs(all.sin_port);
    return fd;
}
inline Address free_address() {
    Address address;
    close(listen_at(address));
    return address;
}
inline int connect_to(const Address& address) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;
    const sockaddr_in all = raw(address);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&all), sizeof all) != 0) {
        close(fd);
        return -1;
    }
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}
inline bool send_all(int fd, std::string_view bytes) {
    while (!bytes.empty()) {
        const ssize_t sent = send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) return false;
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}
/// Whether something can be read, or the connection has ended, within so long.
inline bool readable(int fd, double seconds) {
    pollfd entry{fd, POLLIN, 0};
    return poll(&entry, 1, seconds < 0 ? 0 : static_cast<int>(seconds * 1000)) > 0;
}
/// Closes with a reset.
inline void reset(int fd) {
    const linger at_once{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    close(fd);
}

/// Reads a connection with a buffer.
class Reader {
public:
    explicit Reader(int fd) : fd_(fd) {}
    bool fill() {
        char bytes[16384];
        const ssize_t count = recv(fd_, bytes, sizeof bytes, 0);
        if (count <= 0) return false;
        buffer_.append(bytes, static_cast<std::size_t>(count));
        return true;
    }
    bool empty() const { return buffer_.empty(); }
    /// Up to and with `end`; none where the connection ended.
    std::optional<std::string> until(const std::string& end) {
        std::size_t at;
        while ((at = buffer_.find(end)) == std::string::npos)
            if (!fill()) return std::nullopt;
        return cut(at + end.size());
    }
    std::optional<std::string> bytes(std::size_t count) {
        while (buffer_.size() < count)
            if (!fill()) return std::nullopt;
        return cut(count);
    }

private:
    std::string cut(std::size_t count) {
        std::string head = buffer_.substr(0, count);
        buffer_.erase(0, count);
        return head;
    }
    int fd_;
    std::string buffer_;
};

inline std::string lower(std::string text) {
    for (char& letter : text) letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
    return text;
}
struct Http {
    std::string first;
    std::map<std::string, std::string> headers;  // names in lower case
    std::string body;
};
inline std::optional<Http> read_http(Reader& reader) {
    const auto head = reader.until("\r\n\r\n");
    if (!head) return std::nullopt;
    Http request;
    std::istringstream lines(*head);
    std::getline(lines, request.first);
    if (!request.first.empty() && request.first.back() == '\r') request.first.pop_back();
    for (std::string line; std::getline(lines, line);) {
        const auto colon = line.find(':');
        if (colon == std::string::npos) continue;
        std::string value = line.substr(colon + 1);
        while (!value.empty() && (value.back() == '\r' || value.back() == ' ')) value.pop_back();
        while (!value.empty() && value.front() == ' ') value.erase(0, 1);
        request.headers[lower(line.substr(0, colon))] = value;
    }
    const auto length = request.headers.find("content-length");
    const auto body = reader.bytes(length == request.headers.end() ? 0 : std::stoul(length->second));
    if (!body) return std::nullopt;
    request.body = *body;
    return request;
}

/// Accepts connections, one thread for each.
class Server {
public:
    virtual ~Server() = default;
    Address address;
    void start() {
        fd_ = listen_at(address);
        std::thread([this, fd = fd_] {
            while (true) {
                const int one = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (one < 0) return;
                const int on = 1;
                setsockopt(one, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
                std::thread([this, one] {
                    if (serve(one)) close(one);
                }).detach();
            }
        }).detach();
    }

protected:
    /// False: it has closed the connection itself.
    virtual bool serve(int fd) = 0;

private:
    int fd_ = -1;
};

// ---- discovery ----

struct Member {
    std::string id, host_port, kind;
    int cell = 0;
    std::string phase = "in_service";
};
struct Notice {
    double at;
    std::string result;
};

class Discovery : public Server {
public:
    /// Called before a whole list is answered, with how many of them were asked for so far.
    std::function<void(int)> on_whole_list;
    std::string list() {
        const std::lock_guard hold(lock_);
        return text(0, true);
    }
    void put(const Member& member) {
        const std::lock_guard hold(lock_);
        ++revision_;
        members_[member.id] = member;
        changed_[member.id] = revision_;
        wake_.notify_all();
    }
    std::vector<Notice> notices(const std::string& id) {
        const std::lock_guard hold(lock_);
        return notices_[id];
    }

private:
    std::string text(int from, bool complete) {
        std::string rows;
        for (const auto& [id, one] : members_) {
            if (!complete && changed_[id] <= from) continue;
            if (complete && one.phase == "terminated") continue;
            rows += (rows.empty() ? "" : ",") + std::string("{\"id\":\"") + id + "\",\"host_port\":\"" +
                    one.host_port + "\",\"locality\":\"a\",\"flavor\":\"" + one.kind +
                    "\",\"cell\":" + std::to_string(one.cell) + ",\"phase\":\"" + one.phase +
                    "\",\"size\":1.0,\"up_since_ms\":0}";
        }
        return "{\"revision\":" + std::to_string(revision_) +
               ",\"complete\":" + (complete ? "true" : "false") + ",\"members\":[" + rows + "]}";
    }
    static std::string value(const std::string& line, const std::string& name) {
        const auto at = line.find("\"" + name + "\":\"");
        if (at == std::string::npos) return "";
        const auto begin = at + name.size() + 4;
        return line.substr(begin, line.find('"', begin) - begin);
    }
    bool serve(int fd) override {
        Reader reader(fd);
        while (const auto request = read_http(reader)) {
            if (request->first.starts_with("POST /reports")) {
                std::istringstream lines(request->body);
                {
                    const std::lock_guard hold(lock_);
                    for (std::string line; std::getline(lines, line);) {
                        const std::string id = value(line, "ref"), result = value(line, "result");
                        notices_[id].push_back({now(), result});
                        record.line("notice %s %s", id.c_str(), result.c_str());
                    }
                }
                if (!send_all(fd, "HTTP/1.1 204 No Content\r\n\r\n")) return true;
                continue;
            }
            std::string body;
            if (request->first.find("from=") == std::string::npos) {
                const int asked = ++whole_lists_;
                record.line("discovery is asked for the whole list, the time number %d", asked);
                if (on_whole_list) on_whole_list(asked);
            }
            {
                std::unique_lock hold(lock_);
                const auto from = request->first.find("from=");
                if (from == std::string::npos) {
                    body = text(0, true);
                } else {
                    const int known = std::atoi(request->first.c_str() + from + 5);
                    const auto held = request->first.find("hold_ms=");
                    const int hold_ms =
                        held == std::string::npos ? 0 : std::atoi(request->first.c_str() + held + 8);
                    wake_.wait_for(hold, std::chrono::milliseconds(std::min(hold_ms, 60'000)),
                        [&] { return revision_ > known; });
                    body = text(known, false);
                }
            }
            if (!send_all(fd, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                                  std::to_string(body.size()) + "\r\n\r\n" + body))
                return true;
        }
        return true;
    }

    std::mutex lock_;
    std::condition_variable wake_;
    std::atomic<int> whole_lists_ = 0;
    int revision_ = 1;
    std::map<std::string, Member> members_;
    std::map<std::string, int> changed_;
    std::map<std::string, std::vector<Notice>> notices_;
};

// ---- targets ----

struct Call {
    std::string id, key;
    double begun = 0;    // its first byte, about
    double came = 0;     // its last byte
    double ended = -1;   // the answer was written, or the connection ended
    std::string answer;  // what was answered: "200", "503", "none" ...
};

/// `serve_call` answers one call; false: the connection is to end.
class Target : public Server {
public:
    std::string id;
    int cell = 0;
    std::function<bool(Target&, int fd, Call&)> serve_call;

    std::vector<Call> calls(const std::string& message) {
        const std::lock_guard hold(lock_);
        return calls_[message];
    }
    std::size_t count() {
        const std::lock_guard hold(lock_);
        std::size_t all = 0;
        for (const auto& [message, calls] : calls_) all += calls.size();
        return all;
    }
    static bool write(int fd, Call& call, const std::string& status, const std::string& headers = "") {
        call.answer = status.substr(0, 3);
        call.ended = now();
        return send_all(fd, "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: 0\r\n\r\n");
    }
    /// Works for so long; false where the forwarder has ended the call meanwhile.
    static bool work(int fd, Call& call, double seconds) {
        if (!readable(fd, seconds)) return true;
        call.answer = "given up by the forwarder";
        call.ended = now();
        return false;
    }

private:
    bool serve(int fd) override {
        Reader reader(fd);
        while (true) {
            if (reader.empty() && !reader.fill()) return true;
            Call call;
            call.begun = now();
            const auto request = read_http(reader);
            if (!request) return true;
            call.came = now();
            const auto header = [&](const char* name) {
                const auto found = request->headers.find(name);
                return found == request->headers.end() ? std::string() : found->second;
            };
            call.id = header("x-call-id"), call.key = header("idempotency-key");
            std::size_t number;
            {
                const std::lock_guard hold(lock_);
                calls_[call.id].push_back(call);
                number = calls_[call.id].size() - 1;
            }
            record.line("call %s at %s", call.id.c_str(), id.c_str());
            const bool goes_on = serve_call(*this, fd, call);
            {
                const std::lock_guard hold(lock_);
                calls_[call.id][number] = call;
            }
            record.line("call %s at %s: %s", call.id.c_str(), id.c_str(), call.answer.c_str());
            if (!goes_on) return true;
        }
    }

    std::mutex lock_;
    std::map<std::string, std::vector<Call>> calls_;
};

// ---- clients ----

inline std::string new_id() {
    static std::mutex lock;
    static std::mt19937_64 random(std::random_device{}());
    const std::lock_guard hold(lock);
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random()));
    return text;
}
inline std::string command(const std::vector<std::string>& words) {
    std::string bytes = "*" + std::to_string(words.size()) + "\r\n";
    for (const std::string& word : words) bytes += "$" + std::to_string(word.size()) + "\r\n" + word + "\r\n";
    return bytes;
}
struct Message {
    std::string id = new_id(), key = new_id(), kind, body = "order";
    int dest = 1, d_ms = 0;
    double sent = -1, answered = -1;
    std::string answer;  // "" none within the client's 400 ms
    std::string bytes(bool keyed) const {
        return command({"ENQUEUE", "0000000000000000", id,
            "c=" + kind + ",t=acme,d=" + std::to_string(d_ms) + (keyed ? ",k=" + key : "") +
                ",dest=" + std::to_string(dest),
            body});
    }
};
/// Hands one message in on a connection of its own; waits 400 ms for the answer, as the page says.
inline void hand_in(const Address& forwarder, Message& message, bool keyed) {
    const int fd = connect_to(forwarder);
    if (fd < 0) {
        message.answer = "not connected";
        return;
    }
    message.sent = now();
    send_all(fd, message.bytes(keyed));
    if (readable(fd, 0.4 - (now() - message.sent))) {
        char line[128] = {};
        const ssize_t count = recv(fd, line, sizeof line - 1, 0);
        if (count > 0) {
            message.answered = now();
            message.answer = std::string(line, static_cast<std::size_t>(count));
            message.answer = message.answer.substr(0, message.answer.find('\r'));
        } else {
            message.answer = "ended";
        }
    }
    close(fd);
}

// ---- the platform ----

inline std::string deploy_run() {
    std::ifstream file("deploy/balancer.toml");
    for (std::string line; std::getline(file, line);)
        if (line.starts_with("run = \"")) return line.substr(7, line.rfind('"') - 7);
    throw NotRun("deploy/balancer.toml tells no run");
}

class Node {
public:
    std::string classes;   // JSON
    int slots = 24, most_held = 140, instances = 2, number = 0;
    Address listen = free_address(), peer = free_address(), other_peer = free_address();
    Discovery* discovery = nullptr;

    Node() {
        char name[] = "/tmp/lockgw-review-XXXXXX";
        const char* base = std::getenv("TMPDIR");
        std::string path = base != nullptr ? std::string(base) + "/lockgw-review-XXXXXX" : name;
        if (mkdtemp(path.data()) == nullptr) throw NotRun("no temporary folder");
        folder_ = path;
        std::filesystem::create_directory(folder_ + "/state");
        std::filesystem::create_directory(folder_ + "/tmp");
    }
    ~Node() {
        for (const pid_t one : running_) ::kill(one, SIGKILL), waitpid(one, nullptr, 0);
        std::error_code ignored;
        std::filesystem::remove_all(folder_, ignored);
    }
    /// The platform holds the clients' listening socket, which every process inherits as descriptor 7.
    void hold_listener() { listener_ = listen_at(listen); }
    std::string settings() const {
        return "{\"az\":\"a\",\"classes\":[" + classes +
               "],\"clients\":{\"marks_retry\":true},\"contract\":{\"answer_slack_ms\":20.0,\"cold_from\":0.16,"
               "\"drain_grace_ms\":500.0,\"fall_ms\":2000.0,\"fall_multiple\":2.5,\"must_ask_in_ms\":10000.0,"
               "\"warm_within_ms\":11000.0},\"discovery\":\"automatic\",\"family_info\":{\"carriage\":[0.0],"
               "\"loses_worth\":\"halving\",\"per_call\":[1,1,1],\"routes_apart\":[false,false,false],\"slots\":" +
               std::to_string(slots) +
               ",\"turned_away_price\":0.03},\"kinds\":[\"lens-lab\",\"shop\",\"insurer\"],\"limits\":{\"cancel\":true,"
               "\"conn_idle_ms\":10000.0,\"connect_timeout_ms\":1000.0,\"max_attempts\":12,"
               "\"max_retry_after_ms\":2000.0,\"most_held\":" +
               std::to_string(most_held) +
               ",\"peers\":true,\"probing\":false,\"retry_after\":true,\"second_copies\":false,"
               "\"streams_per_conn\":1},\"localities\":[\"a\"],\"me\":" +
               std::to_string(number) + ",\"n_instances\":" +
               std::to_string(instances) +
               ",\"over_share_worth\":0.05,\"report\":{\"columns\":[\"x0\",\"x1\"],\"source\":\"inline\"},"
               "\"tenants\":[{\"name\":\"acme\",\"portion\":1.0,\"quota_per_s\":40.0}],\"tick_ms\":5.0,"
               "\"tier\":0,\"weights\":\"off\",\"workload\":\"deliver\",\"worth_by\":\"request\"}";
    }
    void write_config() {
        const std::string path = folder_ + "/config.json";
        std::ofstream(path + ".new")
            << "{\"name\":\"n" + std::to_string(number) + "\",\"listen\":\"" + listen.text() + "\",\"discovery\":\"" +
                   discovery->address.text() + "\",\"seed\":\"" + new_id() +
                   "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024,\"disk_mb\":3},"
                   "\"peer_listen\":\"" +
                   peer.text() + "\",\"peers\":[\"" + (number == 0 ? peer : other_peer).text() + "\",\"" +
                   (number == 0 ? other_peer : peer).text() + "\"],\"known\":" + discovery->list() + ",\"settings\":" + settings() + "}";
        std::filesystem::rename(path + ".new", path);
    }
    pid_t start(const std::string& console = "") {
        write_config();
        const std::string run = deploy_run();
        std::vector<std::string> all{"PATH=/usr/bin:/bin", "NODE_NAME=n" + std::to_string(number), "NODE_LISTEN=" + listen.text(),
            "NODE_DISCOVERY=" + discovery->address.text(), "NODE_STATE=" + folder_ + "/state",
            "NODE_CONFIG=" + folder_ + "/config.json", "TMPDIR=" + folder_ + "/tmp"};
        if (listener_ >= 0) all.push_back("NODE_LISTEN_FD=7");
        if (!console.empty()) all.push_back("NODE_CONSOLE=" + console);
        std::vector<char*> environment;
        for (std::string& one : all) environment.push_back(one.data());
        environment.push_back(nullptr);
        const std::string log = folder_ + "/log";
        const pid_t child = fork();
        if (child == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            dup2(out, 1), dup2(out, 2);
            if (listener_ >= 0) {
                const int copy = fcntl(listener_, F_DUPFD, 20);
                dup2(copy, 7);
                close_range(8, ~0u, 0);
                close_range(3, 6, 0);
            } else {
                close_range(3, ~0u, 0);
            }
            execle("/bin/sh", "sh", "-c", run.c_str(), nullptr, environment.data());
            _exit(127);
        }
        running_.insert(child);
        record.line("started process %d", static_cast<int>(child));
        return child;
    }
    /// A PING on a new connection has been answered with +PONG.
    bool pongs() const {
        const int fd = connect_to(listen);
        if (fd < 0) return false;
        send_all(fd, command({"PING"}));
        char line[16] = {};
        const bool well = readable(fd, 0.4) && recv(fd, line, 5, 0) == 5 && std::string(line) == "+PONG";
        close(fd);
        return well;
    }
    double wait_ready(double within = 10) const {
        for (const double begun = now(); now() - begun < within; sleep_s(0.01))
            if (pongs()) return now();
        throw NotRun("the forwarder is not ready");
    }
    void signal(pid_t child, int number) const {
        record.line("signal %d to process %d", number, static_cast<int>(child));
        ::kill(child, number);
    }
    /// How it ended; -1 where it still runs after so long.
    int wait(pid_t child, double seconds) {
        int status = 0;
        for (const double begun = now(); now() - begun < seconds; sleep_s(0.005))
            if (waitpid(child, &status, WNOHANG) == child) return running_.erase(child), status;
        return -1;
    }
    const std::string& folder() const { return folder_; }

private:
    std::string folder_;
    int listener_ = -1;
    std::set<pid_t> running_;
};

inline std::string class_row(const std::string& name, const std::string& effect, int aim_ms, int deadline_ms,
    int window_ms, double worth) {
    char text[512];
    std::snprintf(text, sizeof text,
        "{\"aim_ms\":%d.0,\"dedup_scope\":\"all\",\"effect\":\"%s\",\"hard_limit_ms\":%d.0,\"late_worth\":0.0,"
        "\"name\":\"%s\",\"streamed\":false,\"window_ms\":%d.0,\"worth\":%.1f}",
        aim_ms, effect.c_str(), deadline_ms, name.c_str(), window_ms, worth);
    return text;
}

/// A call of the operators at a forwarder's second address; none where nobody answers within 1 s.
inline std::optional<int> console_call(const Address& console, const std::string& method, const std::string& path) {
    const int fd = connect_to(console);
    if (fd < 0) return std::nullopt;
    send_all(fd, method + " " + path + " HTTP/1.1\r\nHost: forwarder\r\nContent-Length: 0\r\n\r\n");
    char head[64] = {};
    const bool well = readable(fd, 1.0) && recv(fd, head, sizeof head - 1, 0) > 12;
    close(fd);
    return well ? std::optional(std::atoi(head + 9)) : std::nullopt;
}

/// Runs a case: 0 the rule held, 1 it was broken, 2 it could not run.
inline int run(int count, char** words, const std::function<bool()>& broken) {
    ::signal(SIGPIPE, SIG_IGN);
    if (count < 2) return std::fprintf(stderr, "the folder for record.txt is missing\n"), 2;
    record.open(std::string(words[1]) + "/record.txt");
    record.line("trouble: %s", trouble() ? "yes" : "no");
    int code = 2;
    try {
        code = broken() ? 1 : 0;
    } catch (const std::exception& bad) {
        record.line("could not run: %s", bad.what());
        std::printf("could not run: %s\n", bad.what());
    }
    record.line("verdict: %s", code == 1 ? "broken" : code == 0 ? "held" : "not run");
    std::printf("%s\n", code == 1 ? "broken" : code == 0 ? "held" : "not run");
    std::fflush(stdout);
    return code;
}

}  // namespace kit

#include "rig/node.hpp"

#include <fcntl.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <boost/asio/write.hpp>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <span>
#include <sstream>
#include <thread>
#include <utility>

namespace lockgw::rig {

namespace asio = boost::asio;
using Json = nlohmann::json;
using Tcp = asio::ip::tcp;
using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

namespace {

constexpr std::uint32_t kLoopback = 0x7f400000;  ///< 127.64.0.0: six bits of it and eight tell the process
constexpr std::uint32_t kProcessMask = 0x3fff;
constexpr std::uint32_t kHosts = 254;     ///< of each process
constexpr int kInheritedListener = 7;     ///< the child's descriptor of a listening socket that it inherits
constexpr int kFirstFreeDescriptor = 64;  ///< above those that the child keeps
constexpr int kNotExecuted = 127;         ///< the exit status of a shell for a program that cannot be run

std::map<std::string, std::string> own_environment() {
    std::map<std::string, std::string> values;
    for (char** entry = environ; *entry != nullptr; ++entry) {
        const std::string text = *entry;
        const auto end_of_name = text.find('=');
        if (end_of_name != std::string::npos)
            values[text.substr(0, end_of_name)] = text.substr(end_of_name + 1);
    }
    return values;
}

/// As execve takes them; they point into `texts`.
std::vector<char*> null_terminated(std::span<const std::string> texts) {
    std::vector<char*> pointers;
    for (const std::string& text : texts) pointers.push_back(const_cast<char*>(text.c_str()));
    pointers.push_back(nullptr);
    return pointers;
}

// Between fork and execve: only calls that are safe in a signal handler, so none that allocates.

void redirect_output(const char* log) {
    const int file = ::open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(file, STDOUT_FILENO);
    dup2(file, STDERR_FILENO);
}

/// All but the standard ones and `listener`, which becomes kInheritedListener, are closed; -1: there is none.
void keep_descriptors(int listener) {
    if (listener < 0) {
        close_range(STDERR_FILENO + 1, ~0u, 0);
        return;
    }
    const int copy = fcntl(listener, F_DUPFD, kFirstFreeDescriptor);
    dup2(copy, kInheritedListener);
    close_range(STDERR_FILENO + 1, kInheritedListener - 1, 0);
    close_range(kInheritedListener + 1, ~0u, 0);
}

/// 0: as inherited.
void limit_open_files(std::size_t most) {
    if (most == 0) return;
    const rlimit limit{most, most};
    setrlimit(RLIMIT_NOFILE, &limit);
}

}  // namespace

TemporaryFolder::TemporaryFolder() {
    std::string name = (std::filesystem::temp_directory_path() / "lockgw-XXXXXX").string();
    if (mkdtemp(name.data()) == nullptr) throw std::runtime_error("no temporary folder");
    path_ = name;
}
TemporaryFolder::~TemporaryFolder() {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
}

void copy_files(const std::filesystem::path& from, const std::filesystem::path& to) {
    std::filesystem::create_directories(to);
    for (const auto& file : std::filesystem::directory_iterator(from)) {
        std::error_code gone;  // one that is being written under another name
        if (file.is_regular_file(gone))
            std::filesystem::copy_file(file.path(), to / file.path().filename(), gone);
    }
}

Json make_config(const std::string& listen, const std::string& discovery) {
    const auto kind = [](const char* name, const char* effect) {
        return Json{{"name", name}, {"effect", effect}, {"aim_ms", 4000}, {"hard_limit_ms", 60000},
            {"window_ms", 4000}, {"worth", 1}};
    };
    return Json{{"name", "n0"}, {"listen", listen}, {"discovery", discovery}, {"seed", "8c1f30d27a5be964"},
        {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 256}, {"disk_mb", 3}}},
        {"settings",
            {{"classes", {kind("safe", "retryable"), kind("keyed", "dedup"), kind("unsafe", "fragile")}},
                {"tenants", {{{"name", "acme"}}}}, {"kinds", {"shop"}}, {"localities", {"a"}},
                {"family_info", {{"slots", 8}}}, {"n_instances", 1},
                {"limits", {{"most_held", 40}, {"max_attempts", 12}, {"cancel", true},
                               {"conn_idle_ms", 10000}, {"connect_timeout_ms", 1000}}},
                {"contract", {{"fall_ms", 2000}, {"warm_within_ms", 11000}, {"fall_multiple", 2.5},
                                 {"cold_from", 0.16}}},
                {"report", {{"source", "inline"}, {"columns", {"x0", "x1"}}}}}}};
}

std::string text_of(const Tcp::endpoint& endpoint) {
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

Tcp::endpoint free_endpoint() {
    static std::atomic<std::uint32_t> made = 0;
    const auto process = static_cast<std::uint32_t>(getpid()) & kProcessMask;
    const std::uint32_t host = 1 + made++ % kHosts;
    const asio::ip::address_v4 address(kLoopback | process << 8 | host);
    asio::io_context io;
    return Tcp::acceptor(io, {address, 0}).local_endpoint();
}

std::string command(const std::vector<std::string>& words) {
    std::string bytes = "*" + std::to_string(words.size()) + "\r\n";
    for (const std::string& word : words) bytes += "$" + std::to_string(word.size()) + "\r\n" + word + "\r\n";
    return bytes;
}

Client::Client(const Tcp::endpoint& address, const std::string& from) : socket_(io_) {
    socket_.open(Tcp::v4());
    if (!from.empty()) socket_.bind({asio::ip::make_address(from), 0});
    socket_.connect(address);
}
void Client::finish_sending() { socket_.shutdown(Tcp::socket::shutdown_send); }
void Client::send(const std::string& bytes) { asio::write(socket_, asio::buffer(bytes)); }
std::string Client::line() {
    std::string text;
    for (char byte = 0; wait() && socket_.read_some(asio::buffer(&byte, 1), failed_) == 1;) {
        if (byte == '\n') return text.substr(0, text.size() - 1);
        text += byte;
    }
    return text;
}
std::string Client::ask(const std::vector<std::string>& words) {
    send(command(words));
    return line();
}
void Client::reset() {
    socket_.set_option(asio::socket_base::linger(true, 0));
    socket_.close();
}
bool Client::wait() {
    pollfd entry{socket_.native_handle(), POLLIN, 0};
    return poll(&entry, 1, static_cast<int>(std::chrono::milliseconds(kDeadline).count())) == 1;
}

Node::Node(Json config, std::string program) : config_(std::move(config)), program_(std::move(program)) {
    address_ = free_endpoint();
    config_["listen"] = text_of(address_);
}
Node::~Node() {
    if (pid_ > 0) kill(), wait();
    if (listener_ >= 0) ::close(listener_);
}

void Node::hold_listener() {
    listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (::bind(listener_, address_.data(), static_cast<socklen_t>(address_.size())) != 0 ||
        ::listen(listener_, 512) != 0)
        throw std::runtime_error("no listener");
}
void Node::start() {
    write_config(config_.dump());
    std::filesystem::create_directories(state());
    pid_ = launch({});
}
pid_t Node::start_beside(const std::map<std::string, std::string>& environment) {
    return launch(environment);
}

pid_t Node::launch(const std::map<std::string, std::string>& more) {
    // Other threads of the test may hold the allocator's locks at the fork, and nobody lets go of them in the
    // child: all that allocates is done before.
    const std::vector<std::string> environment = environment_of_child(more);
    const std::vector<char*> environment_pointers = null_terminated(environment);
    const std::string program = program_;
    const std::string log = log_path().string();
    const std::vector<char*> arguments = null_terminated({&program, 1});
    const pid_t child = fork();
    if (child != 0) return child;
    prctl(PR_SET_PDEATHSIG, SIGKILL);  // a test that crashes leaves nothing behind
    redirect_output(log.c_str());
    keep_descriptors(listener_);
    limit_open_files(descriptors_);
    execve(program.c_str(), arguments.data(), environment_pointers.data());
    _exit(kNotExecuted);
}

/// This process's own environment, what the platform sets, what the test sets, and `more`; later ones win.
std::vector<std::string> Node::environment_of_child(const std::map<std::string, std::string>& more) const {
    std::map<std::string, std::string> values = own_environment();
    if (!alone_) {
        values["NODE_CONFIG"] = config_path().string();
        values["NODE_STATE"] = state().string();
    }
    for (const auto& [name, value] : environment_) values[name] = value;
    for (const auto& [name, value] : more) values[name] = value;
    if (listener_ >= 0) values["NODE_LISTEN_FD"] = std::to_string(kInheritedListener);
    std::vector<std::string> entries;
    for (const auto& [name, value] : values) entries.push_back(name + '=' + value);
    return entries;
}

void Node::start_ready() {
    start();
    const auto until = Clock::now() + kDeadline;
    while (Clock::now() < until) try {
            if (Client(address_).ask({"PING"}) == "+PONG") return;
        } catch (const boost::system::system_error&) {
            std::this_thread::sleep_for(10ms);
        }
    throw std::runtime_error("not ready: " + log());
}
void Node::kill() { ::kill(pid_, SIGKILL); }
void Node::terminate() { ::kill(pid_, SIGTERM); }
void Node::reload(const std::string& text) {
    write_config(text);
    ::kill(pid_, SIGHUP);
}
int Node::wait() {
    int status = 0;
    waitpid(std::exchange(pid_, 0), &status, 0);
    return status;
}
bool Node::refuses() const {
    try {
        Client{address_};
        return false;
    } catch (const boost::system::system_error&) {
        return true;
    }
}
std::string Node::log() const {
    std::ifstream stream(log_path());
    return {std::istreambuf_iterator<char>(stream), {}};
}
bool Node::logs(const std::string& text) const {
    const auto until = Clock::now() + kDeadline;
    while (log().find(text) == std::string::npos) {
        if (Clock::now() > until) return false;
        std::this_thread::sleep_for(10ms);
    }
    return true;
}
void Node::write_config(const std::string& text) const {
    const auto fresh = folder_.path() / "config.new";
    std::ofstream(fresh) << text;
    std::filesystem::rename(fresh, config_path());
}

double Node::cpu_seconds() const {
    std::ifstream stream("/proc/" + std::to_string(pid_) + "/stat");
    std::string line;
    std::getline(stream, line);
    std::istringstream rest(line.substr(line.rfind(')') + 2));
    std::string word;
    for (int i = 0; i < 11; ++i) rest >> word;  // up to utime
    double user = 0, system = 0;
    rest >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}
std::size_t Node::resident_bytes() const {
    std::ifstream stream("/proc/" + std::to_string(pid_) + "/statm");
    std::size_t all = 0, resident = 0;
    stream >> all >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}
std::size_t Node::descriptors() const {
    const auto all = std::filesystem::directory_iterator("/proc/" + std::to_string(pid_) + "/fd");
    return static_cast<std::size_t>(std::distance(begin(all), end(all)));
}

}  // namespace lockgw::rig

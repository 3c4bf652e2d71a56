/// The built program as a child process, with a folder, a configuration and a plain client, on loopback.
///
/// Every wait is for an event, with a deadline far beyond what a loaded machine needs.
#pragma once

#include <sys/types.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <filesystem>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace lockgw::rig {

constexpr std::chrono::seconds kDeadline{20};

class TemporaryFolder {
public:
    TemporaryFolder();
    TemporaryFolder(const TemporaryFolder&) = delete;
    TemporaryFolder& operator=(const TemporaryFolder&) = delete;
    ~TemporaryFolder();
    const std::filesystem::path& path() const { return path_; }

private:
    std::filesystem::path path_;
};

/// Those of a forwarder's folder, without its socket; `to` is made.
void copy_files(const std::filesystem::path& from, const std::filesystem::path& to);

/// Three classes (safe, keyed, unsafe), one tenant, small limits: each test sets what it needs.
nlohmann::json make_config(const std::string& listen, const std::string& discovery);
std::string text_of(const boost::asio::ip::tcp::endpoint& endpoint);
/// A free address on loopback for a listener that is opened later. No other process of a test run, and no
/// other caller in this one (of the last 254), gets the same host, so that the port is still free by then.
boost::asio::ip::tcp::endpoint free_endpoint();
/// Words as a RESP2 command.
std::string command(const std::vector<std::string>& words);

/// A client connection that speaks RESP2, one step after another.
class Client {
public:
    /// `from`: the address that it comes from, if not any.
    explicit Client(const boost::asio::ip::tcp::endpoint& address, const std::string& from = "");
    /// Ends its sending; it goes on reading.
    void finish_sending();
    void send(const std::string& bytes);
    /// One line without its end; empty where the connection ended.
    std::string line();
    bool ended() { return line().empty() && failed_.failed(); }
    std::string ask(const std::vector<std::string>& words);
    /// Closes with a reset.
    void reset();

private:
    bool wait();

    boost::asio::io_context io_;
    boost::asio::ip::tcp::socket socket_;
    boost::system::error_code failed_;
};

/// An address stays the same over restarts. Throws std::runtime_error where the program is not ready in time.
class Node {
public:
    Node(nlohmann::json config, std::string program);
    Node(const Node&) = delete;
    Node& operator=(const Node&) = delete;
    ~Node();

    void start();
    void start_ready();
    /// From the next start on each process inherits a listening socket that this one holds, as descriptor 7.
    void hold_listener();
    int listener() const { return listener_; }
    /// One more process beside the first, all else the same but for these names of its environment.
    pid_t start_beside(const std::map<std::string, std::string>& environment);
    /// It takes the place of the first, which the caller ends.
    void follow(pid_t other) { pid_ = other; }
    void kill();
    void terminate();
    /// Puts another file in the place of the configuration and tells the program.
    void reload(const std::string& text);
    /// How it ended, as waitpid tells it.
    int wait();
    /// The limit on descriptors that it is started with; 0: this process's own.
    void limit_descriptors(std::size_t most) { descriptors_ = most; }
    /// Of the next start.
    void set_environment(const std::string& name, const std::string& value) { environment_[name] = value; }
    /// Without what the platform tells: the operator's file alone.
    void alone() { alone_ = true; }
    std::filesystem::path folder() const { return folder_.path(); }

    pid_t pid() const { return pid_; }
    const boost::asio::ip::tcp::endpoint& address() const { return address_; }
    Client client() const { return Client(address_); }
    bool refuses() const;
    std::filesystem::path state() const { return folder_.path() / "state"; }
    std::filesystem::path log_path() const { return folder_.path() / "log"; }
    std::string log() const;
    bool logs(const std::string& text) const;
    nlohmann::json& config() { return config_; }
    /// CPU seconds used so far, and resident memory in bytes.
    double cpu_seconds() const;
    std::size_t resident_bytes() const;
    std::size_t descriptors() const;

private:
    std::filesystem::path config_path() const { return folder_.path() / "config.json"; }
    void write_config(const std::string& text) const;
    pid_t launch(const std::map<std::string, std::string>& more);
    std::vector<std::string> environment_of_child(const std::map<std::string, std::string>& more) const;

    TemporaryFolder folder_;
    nlohmann::json config_;
    std::string program_;
    boost::asio::ip::tcp::endpoint address_;
    std::size_t descriptors_ = 0;
    bool alone_ = false;
    std::map<std::string, std::string> environment_;
    int listener_ = -1;
    pid_t pid_ = 0;
};

}  // namespace lockgw::rig

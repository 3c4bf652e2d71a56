#include "store/orders_file.hpp"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <system_error>
#include <thread>
#include <utility>

#include "base/read_file.hpp"
#include "base/write_all.hpp"
#include "logging/log.hpp"

namespace lockgw {
namespace {

constexpr int kLockTries = 100;  // of 1 ms: another holds it for a write of some kilobytes
constexpr mode_t kOwnerOnly = 0600;

}  // namespace

OrdersFile::OrdersFile(std::filesystem::path folder, std::size_t room)
    : folder_(std::move(folder)), path_(folder_ / "orders"), most_(room / 2) {
    open_lock();  // now, while there are descriptors
    read();
}

void OrdersFile::open_lock() {
    lock_ = Descriptor(::open((folder_ / "orders.lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kOwnerOnly));
}

OrdersFile::Stamp OrdersFile::stamp() const {
    struct stat found {};
    if (::stat(path_.c_str(), &found) != 0) return {};
    return {found.st_ino, found.st_mtim.tv_sec * 1'000'000'000LL + found.st_mtim.tv_nsec, found.st_size};
}

void OrdersFile::read() {
    read_at_ = stamp();
    if (read_at_.size < 0) return void(now_ = {});
    const auto text = read_file(path_);
    if (!text) return void(now_ = {});
    try {
        now_ = operations::Operations::of(*text);
    } catch (const std::exception& bad) {
        log::error("store", "the orders cannot be read and are set aside", {{"why", bad.what()}});
        std::error_code ignored;
        std::filesystem::rename(path_, folder_ / "orders.bad", ignored);
        read_at_ = stamp();
    }
}

bool OrdersFile::look() {
    if (stamp() == read_at_) return false;
    const operations::Operations before = now_;
    try {
        read();
    } catch (const std::system_error& failed) {  // what is known stays in force until it can be read
        log::warn("store", "the orders cannot be read now", {{"why", failed.what()}});
        read_at_ = {};
    }
    return !(now_ == before);
}

bool OrdersFile::update(const std::function<void(operations::Operations&)>& change) {
    if (lock_.get() < 0) open_lock();
    if (lock_.get() < 0) return false;
    bool locked = false;
    for (int i = 0; i < kLockTries && !locked; ++i) {
        if (i > 0) std::this_thread::sleep_for(std::chrono::milliseconds(1));
        locked = ::flock(lock_.get(), LOCK_EX | LOCK_NB) == 0;
        if (!locked && errno != EWOULDBLOCK && errno != EINTR) break;
    }
    if (!locked) return false;
    look();
    operations::Operations fresh = now_;
    change(fresh);
    const bool kept = fresh == now_ || write(fresh);
    ::flock(lock_.get(), LOCK_UN);
    if (kept) now_ = std::move(fresh);
    return kept;
}

bool OrdersFile::write(const operations::Operations& fresh) {
    const std::string text = fresh.text();
    if (text.size() > most_) return false;
    const auto next = folder_ / "orders.new";
    const auto open = [&next] {
        return Descriptor(::open(next.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, kOwnerOnly));
    };
    Descriptor file = open();
    if (file.get() < 0 && out_of_descriptors(errno) && spare_.release()) file = open();
    std::error_code failed;
    bool kept = file.get() >= 0 && write_all(file.get(), text);
    if (kept) {
        std::filesystem::rename(next, path_, failed);
        kept = !failed;
    }
    if (!kept) std::filesystem::remove(next, failed);
    file = Descriptor();
    spare_.acquire();
    if (kept) read_at_ = stamp();
    return kept;
}

}  // namespace lockgw

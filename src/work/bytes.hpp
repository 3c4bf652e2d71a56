/// Little-endian numbers and short strings, to and from bytes; reading is strict and never goes beyond the
/// end.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace lockgw::work {

template <class T>
void put(std::string& to, T value) {
    for (std::size_t i = 0; i < sizeof value; ++i)
        to.push_back(static_cast<char>(static_cast<std::uint64_t>(value) >> (8 * i)));
}
/// At most 255 bytes.
inline void put_text(std::string& to, std::string_view text) {
    put(to, static_cast<std::uint8_t>(text.size()));
    to.append(text);
}

/// After anything that is not there, fails() and gives zeros.
class Reader {
public:
    explicit Reader(std::string_view from) : from_(from) {}
    template <class T>
    T take() {
        if (from_.size() < sizeof(T)) return fail(), T{};
        std::uint64_t value = 0;
        for (std::size_t i = 0; i < sizeof(T); ++i)
            value |= static_cast<std::uint64_t>(static_cast<unsigned char>(from_[i])) << (8 * i);
        from_.remove_prefix(sizeof(T));
        return static_cast<T>(value);
    }
    std::string_view take_bytes(std::size_t count) {
        if (from_.size() < count) return fail(), std::string_view();
        const std::string_view taken = from_.substr(0, count);
        from_.remove_prefix(count);
        return taken;
    }
    std::string take_text() { return std::string(take_bytes(take<std::uint8_t>())); }
    std::string_view rest() const { return from_; }
    bool ended() const { return !failed_ && from_.empty(); }
    bool fails() const { return failed_; }

private:
    void fail() { failed_ = true, from_ = {}; }
    std::string_view from_;
    bool failed_ = false;
};

}  // namespace lockgw::work

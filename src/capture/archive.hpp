/// Values to MessagePack and back by one list of members a type, for both directions.
///
///     template <class Archive> void describe(Archive& a, Point& p) { a(p.x)(p.y); }
///
/// A type is an array of its members. One that was written by an older build may have fewer: those that are
/// missing stay as the reader's type has them. One from a newer build may have more: they are passed over.
/// Reading throws msgpack::type_error or BadCapture for what does not fit; it never takes more memory than a
/// small multiple of the bytes read.
#pragma once

#include <chrono>
#include <deque>
#include <map>
#include <msgpack.hpp>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <string_view>
#include <type_traits>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lockgw::capture {

/// What was read is no capture, or a damaged one.
class BadCapture : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// The object that `bytes` hold. No list in it may claim more items than there are bytes.
inline msgpack::object_handle unpacked(std::string_view bytes) {
    constexpr std::size_t kDeepest = 16;
    const std::size_t most = bytes.size();
    return msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr,
        msgpack::unpack_limit(most, most, most, most, most, kDeepest));
}

template <class T>
struct IsList : std::false_type {};
template <class T>
struct IsList<std::vector<T>> : std::true_type {};
template <class T>
struct IsList<std::deque<T>> : std::true_type {};
template <class T, class C>
struct IsList<std::set<T, C>> : std::true_type {};
template <class T>
struct IsMap : std::false_type {};
template <class K, class V, class C>
struct IsMap<std::map<K, V, C>> : std::true_type {};
template <class K, class V>
struct IsMap<std::unordered_map<K, V>> : std::true_type {};
template <class T>
struct IsOptional : std::false_type {};
template <class T>
struct IsOptional<std::optional<T>> : std::true_type {};

/// How many members a type describes.
struct Counter {
    std::size_t count = 0;
    template <class T>
    Counter& operator()(T&) {
        ++count;
        return *this;
    }
};

class Out {
public:
    explicit Out(msgpack::sbuffer& to) : pack_(to) {}

    template <class T>
    Out& operator()(T& value) {
        write(value);
        return *this;
    }
    msgpack::packer<msgpack::sbuffer>& packer() { return pack_; }

private:
    template <class T>
    void write(T& value) {
        using Plain = std::remove_const_t<T>;
        if constexpr (std::is_enum_v<Plain>) {
            pack_.pack(static_cast<int>(value));
        } else if constexpr (std::is_arithmetic_v<Plain> || std::is_same_v<Plain, std::string>) {
            pack_.pack(value);
        } else if constexpr (std::is_same_v<Plain, std::chrono::microseconds>) {
            pack_.pack(static_cast<std::int64_t>(value.count()));
        } else if constexpr (std::is_same_v<Plain, std::mt19937_64>) {
            std::ostringstream text;
            text << value;
            pack_.pack(text.str());
        } else if constexpr (IsOptional<Plain>::value) {
            pack_.pack_array(value ? 1 : 0);
            if (value) write(*value);
        } else if constexpr (IsMap<Plain>::value) {
            pack_.pack_array(static_cast<std::uint32_t>(2 * value.size()));
            for (auto& [key, held] : value) write(key), write(held);
        } else if constexpr (IsList<Plain>::value) {
            pack_.pack_array(static_cast<std::uint32_t>(value.size()));
            for (auto& one : value) write(one);
        } else {
            Counter counter;
            describe(counter, const_cast<Plain&>(value));
            pack_.pack_array(static_cast<std::uint32_t>(counter.count));
            describe(*this, const_cast<Plain&>(value));
        }
    }
    template <class A, class B>
    void write(std::pair<A, B>& value) {
        pack_.pack_array(2);
        write(value.first), write(value.second);
    }
    template <class A, class B>
    void write(const std::pair<A, B>& value) {
        pack_.pack_array(2);
        write(value.first), write(value.second);
    }

    msgpack::packer<msgpack::sbuffer> pack_;
};

class In {
public:
    /// `array`: what Out wrote of one value's members; it outlives this.
    explicit In(const msgpack::object& array) : In(array, Array{}) {}

    template <class T>
    In& operator()(T& value) {
        if (next_ < end_) read(*next_++, value);
        return *this;
    }
    /// One value by itself.
    template <class T>
    static T whole(const msgpack::object& from) {
        T value{};
        read(from, value);
        return value;
    }

private:
    struct Array {};
    In(const msgpack::object& array, Array) {
        const auto [first, size] = items(array);
        next_ = first;
        end_ = first + size;
    }
    static std::pair<const msgpack::object*, std::size_t> items(const msgpack::object& from) {
        if (from.type != msgpack::type::ARRAY) throw BadCapture("a list was expected");
        return {from.via.array.ptr, from.via.array.size};
    }
    template <class T>
    static void read(const msgpack::object& from, T& value) {
        if constexpr (std::is_enum_v<T>) {
            value = static_cast<T>(from.as<int>());
        } else if constexpr (std::is_arithmetic_v<T> || std::is_same_v<T, std::string>) {
            value = from.as<T>();
        } else if constexpr (std::is_same_v<T, std::chrono::microseconds>) {
            value = T(from.as<std::int64_t>());
        } else if constexpr (std::is_same_v<T, std::mt19937_64>) {
            std::istringstream text(from.as<std::string>());
            text >> value;
            if (!text) throw BadCapture("a generator's state");
        } else if constexpr (IsOptional<T>::value) {
            const auto [first, size] = items(from);
            value.reset();
            if (size > 0) read(*first, value.emplace());
        } else if constexpr (IsMap<T>::value) {
            const auto [first, size] = items(from);
            value.clear();
            for (std::size_t i = 0; i + 1 < size; i += 2) {
                typename T::key_type key{};
                read(first[i], key);
                read(first[i + 1], value[key]);
            }
        } else if constexpr (IsList<T>::value) {
            const auto [first, size] = items(from);
            value.clear();
            for (std::size_t i = 0; i < size; ++i) {
                typename T::value_type one{};
                read(first[i], one);
                value.insert(value.end(), std::move(one));
            }
        } else {
            In inner(from);
            describe(inner, value);
        }
    }
    template <class A, class B>
    static void read(const msgpack::object& from, std::pair<A, B>& value) {
        const auto [first, size] = items(from);
        if (size != 2) throw BadCapture("a pair was expected");
        read(first[0], value.first), read(first[1], value.second);
    }

    const msgpack::object* next_;
    const msgpack::object* end_;
};

}  // namespace lockgw::capture

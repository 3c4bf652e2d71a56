// What the door costs: a connection that comes and goes, a refusal, a request through the fair queue.
#include <benchmark/benchmark.h>

#include "admission/door.hpp"
#include "admission/fair_queue.hpp"
#include "admission/overload.hpp"
#include "fronts/resp2/resp.hpp"

using namespace lockgw;
using namespace lockgw::admission;
using namespace std::chrono_literals;

namespace {

DoorLimits limits_of(std::size_t most) {
    DoorLimits limits;
    limits.most = most;
    return limits;
}

/// A full house of regulars, and a stranger who comes, says nothing, and has to go.
void ComesAndIsClosedForRoom(benchmark::State& state) {
    Door door(limits_of(static_cast<std::size_t>(state.range(0))));
    Instant now{1h};
    while (door.count() < door.places()) {
        const Ticket ticket = door.enter(1, now);
        for (int i = 0; i < 3; ++i)
            door.asked(ticket, now), door.answering(ticket, now), door.rests(ticket, true, now);
    }
    for (auto _ : state) {
        now += 1ms;
        if (door.room() > 0) door.enter(door.count() % 100, now);
        while (const auto one = door.for_room(now)) door.left(one->ticket, true);
    }
}
BENCHMARK(ComesAndIsClosedForRoom)->Arg(256)->Arg(10'000)->Arg(100'000);

/// A request on a connection that rests among others.
void RequestOfAKeptConnection(benchmark::State& state) {
    Door door(limits_of(static_cast<std::size_t>(state.range(0)) * 2));
    Instant now{1h};
    for (int i = 0; i < state.range(0) / 2; ++i) {
        const Ticket ticket = door.enter(1, now);
        door.asked(ticket, now), door.answering(ticket, now), door.rests(ticket, true, now);
    }
    Ticket ticket = 1;
    for (auto _ : state) {
        now += 10us;
        door.asked(ticket, now), door.answering(ticket, now), door.rests(ticket, true, now);
        benchmark::DoNotOptimize(door.for_room(now));
        ticket = ticket % static_cast<Ticket>(state.range(0) / 2) + 1;
    }
}
BENCHMARK(RequestOfAKeptConnection)->Arg(256)->Arg(10'000)->Arg(100'000);

void Refusal(benchmark::State& state) {
    Overload overload({});
    Instant now{1h};
    for (auto _ : state) {
        now += 100us;
        if (overload.judge(300ms, now) == Overload::Verdict::Refuse)
            benchmark::DoNotOptimize(overload.told_wait(now));
    }
}
BENCHMARK(Refusal);

void ThroughTheFairQueue(benchmark::State& state) {
    const auto flows = static_cast<std::uint64_t>(state.range(0));
    FairQueue<int> queue(1'000'000);
    for (std::uint64_t flow = 0; flow < flows; ++flow)
        for (int i = 0; i < 4; ++i) queue.push(flow, i, 1, 18);
    std::uint64_t next = 0;
    for (auto _ : state) {
        queue.push(next++ % flows, 1, 1, 18);
        benchmark::DoNotOptimize(queue.pop(false));
    }
}
BENCHMARK(ThroughTheFairQueue)->Arg(3)->Arg(1'000);

void ReadsAnEnqueue(benchmark::State& state) {
    const std::string body(static_cast<std::size_t>(state.range(0)), 'b');
    const std::string bytes =
        "*5\r\n$7\r\nENQUEUE\r\n$16\r\n0000000000000000\r\n$16\r\n9b1f03aa5c7e2d41\r\n$27\r\n"
        "c=safe,t=acme,d=8000,dest=7\r\n$" +
        std::to_string(body.size()) + "\r\n" + body + "\r\n";
    resp::Parser parser;
    for (auto _ : state) {
        parser.feed(bytes);
        benchmark::DoNotOptimize(parser.next());
        benchmark::DoNotOptimize(parser.next());
    }
}
BENCHMARK(ReadsAnEnqueue)->Arg(200)->Arg(64 * 1024);

}  // namespace

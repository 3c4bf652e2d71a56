// Cost of a route's look-up: by how many destinations and routes there are. Google Benchmark.
#include <benchmark/benchmark.h>

#include <sstream>

#include "routes/routing_table.hpp"

namespace {

using namespace lockgw;

/// Half of the destinations have a route of their own; `general` routes name none.
routes::RoutingTable table_of(int destinations, int general) {
    const routes::KnownNames known{{"order", "status"}, {"t0", "t1"}, {"k"}, {}, {}};
    std::ostringstream text;
    for (int i = 0; i < destinations; ++i)
        text << "[[destination]]\nname = \"d" << i << "\"\nnumber = " << i
             << "\n[[destination.endpoint]]\nname = \"a\"\nid = \"s-" << i << "\"\n";
    for (int i = 0; i < general; ++i)
        text << "[[route]]\nname = \"g" << i << "\"\nclass = \"status\"\ntenant = \"t" << i % 2
             << "\"\nrefuse = true\n";
    for (int i = 0; i < destinations / 2; ++i)
        text << "[[route]]\nname = \"r" << i << "\"\nclass = \"order\"\ndestination = \"d" << i
             << "\"\nendpoints = [\"a\"]\n";
    config::Problems problems("bench");
    const auto file = config::read_operator_file(text.str(), "bench", problems);
    return routes::RoutingTable(file, known, problems);
}

void find(benchmark::State& state) {
    const auto destinations = static_cast<int>(state.range(0));
    const routes::RoutingTable table = table_of(destinations, static_cast<int>(state.range(1)));
    std::int64_t next = 0;
    for (auto _ : state) {
        benchmark::DoNotOptimize(table.find_route("order", "t0", next, "k"));
        next = (next + 7919) % destinations;
    }
}
BENCHMARK(find)->Args({10, 0})->Args({10, 2})->Args({10'000, 0})->Args({10'000, 2});

}  // namespace

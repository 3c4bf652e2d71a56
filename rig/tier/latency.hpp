/// Spans counted on a logarithmic scale: 1 % wide steps from 0.1 ms to 100 s, whatever their number.
#pragma once

#include <boost/histogram.hpp>
#include <utility>
#include <vector>

namespace lockgw::rig::tier {

class Latency {
public:
    void add(double ms) { counts_(ms); }
    /// The upper end of the step that the share `part` of all lies in or below; 0 where there are none.
    double quantile(double part) const {
        const double all = sum();
        double so_far = 0;
        for (int i = -1; all > 0 && i <= counts_.axis().size(); ++i)
            if ((so_far += counts_.at(i)) >= part * all) return upper(i);
        return 0;
    }
    /// Upper ends of the steps that hold any, with the share of all up to each.
    std::vector<std::pair<double, double>> steps() const {
        std::vector<std::pair<double, double>> all;
        const double whole = sum();
        double so_far = 0;
        for (int i = -1; i <= counts_.axis().size(); ++i)
            if (const double here = counts_.at(i); here > 0)
                all.emplace_back(upper(i), (so_far += here) / whole);
        return all;
    }

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    static constexpr double kLeast = 0.1, kMost = 100'000;
    double sum() const { return boost::histogram::algorithm::sum(counts_); }
    double upper(int step) const { return step < 0 ? kLeast : counts_.axis().bin(step).upper(); }

    decltype(boost::histogram::make_histogram(Axis(1389, kLeast, kMost))) counts_ =
        boost::histogram::make_histogram(Axis(1389, kLeast, kMost));
};

}  // namespace lockgw::rig::tier

#pragma once

#include <cstdint>
#include <random>

namespace wagtailhatch {

/// Seeded pseudo-random number generator (Mersenne Twister), so that runs are reproducible. Not thread-safe.
/// Not cryptographically secure: API keys come from OpenSSL.
class random_source {
public:
    explicit random_source(std::uint64_t seed)
        : engine_{seed}
    {
    }

    /// Uniform in [0, bound); 0 if bound is 0.
    std::uint64_t below(std::uint64_t bound)
    {
        return bound == 0 ? 0 : std::uniform_int_distribution<std::uint64_t>{0, bound - 1}(engine_);
    }

    /// Uniform in [0, 1).
    double unit() { return std::uniform_real_distribution<double>{0.0, 1.0}(engine_); }

    std::mt19937_64& engine() { return engine_; }

private:
    std::mt19937_64 engine_;
};

} // namespace wagtailhatch

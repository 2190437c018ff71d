#pragma once

#include "include/core/clock.h"
#include "include/platform/table_service.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace wagtailhatch::testing {

/// Runs events in the order of their time on a manual clock.
class event_queue {
public:
    manual_clock& time() { return time_; }

    void after(duration delay, std::function<void()> event)
    {
        events_.emplace(std::pair{time_.now() + delay, next_++}, std::move(event));
    }
    void run_until(steady_time end)
    {
        while (!events_.empty() && events_.begin()->first.first <= end) {
            auto node = events_.extract(events_.begin());
            time_.set(node.key().first);
            node.mapped()();
        }
        time_.set(end);
    }
    void run_for(duration d) { run_until(time_.now() + d); }

private:
    manual_clock time_;
    std::uint64_t next_ = 0;
    std::map<std::pair<steady_time, std::uint64_t>, std::function<void()>> events_;
};

/// What the platform holds, shared by all its clients.
struct platform_content {
    std::map<std::string, std::pair<std::string, std::uint64_t>> rows; ///< Value and its version.
    std::map<std::string, std::string> first_values;
    std::map<std::string, std::string> objects;
    std::uint64_t next_etag = 1;
    std::size_t reads = 0;
};

enum class fault {
    none,
    unavailable, ///< No effect.
    lost_before, ///< No answer; no effect.
    lost_after,  ///< No answer; the effect took place.
    late,        ///< No answer; the effect takes place some time later.
    outdated,    ///< A read of a row gives its first value.
};

/// One client's way to the platform. Operations take effect and are answered after a delay.
class fake_platform final : public table_service, public object_store {
public:
    fake_platform(event_queue& events, platform_content& content)
        : events_{events}
        , content_{content}
    {
    }

    /// Fault of each operation; is_write tells table writes from the rest.
    std::function<fault(bool is_write)> next_fault = [](bool) { return fault::none; };
    duration delay = std::chrono::milliseconds{2};

    void read(const std::string& key, std::function<void(result<table_row>)> done) override
    {
        const bool outdated = next_fault(false) == fault::outdated;
        perform<table_row>(false, std::move(done), [this, key, outdated]() -> result<table_row> {
            ++content_.reads;
            const auto found = content_.rows.find(key);
            if (found == content_.rows.end()) {
                return errc::not_found;
            }
            return table_row{key, outdated ? content_.first_values.at(key) : found->second.first,
                             std::to_string(found->second.second)};
        });
    }
    void list(const std::string& prefix, std::function<void(result<std::vector<table_row>>)> done) override
    {
        perform<std::vector<table_row>>(false, std::move(done), [this, prefix] {
            std::vector<table_row> rows;
            for (const auto& [key, row] : content_.rows) {
                if (key.rfind(prefix, 0) == 0) {
                    rows.push_back({key, row.first, std::to_string(row.second)});
                }
            }
            return result<std::vector<table_row>>{std::move(rows)};
        });
    }
    void write(const std::string& key, const std::string& value, const write_condition& condition,
               std::function<void(result<std::string>)> done) override
    {
        perform<std::string>(true, std::move(done), [this, key, value, condition]() -> result<std::string> {
            const auto found = content_.rows.find(key);
            const bool exists = found != content_.rows.end();
            const bool holds = condition.type == write_condition::kind::must_not_exist
                                   ? !exists
                                   : exists && std::to_string(found->second.second) == condition.etag;
            if (!holds) {
                return errc::conflict;
            }
            content_.rows[key] = {value, content_.next_etag++};
            content_.first_values.try_emplace(key, value);
            return std::to_string(content_.rows[key].second);
        });
    }
    void get(const std::string& name, std::function<void(result<std::string>)> done) override
    {
        perform<std::string>(false, std::move(done), [this, name]() -> result<std::string> {
            ++content_.reads;
            const auto found = content_.objects.find(name);
            return found == content_.objects.end() ? result<std::string>{errc::not_found}
                                                   : result<std::string>{found->second};
        });
    }
    void put(const std::string& name, const std::string& content,
             std::function<void(result<bool>)> done) override
    {
        perform<bool>(false, std::move(done), [this, name, content]() -> result<bool> {
            content_.objects[name] = content;
            return true;
        });
    }

private:
    template <typename T>
    void perform(bool is_write, std::function<void(result<T>)> done, std::function<result<T>()> effect)
    {
        const auto f = next_fault(is_write);
        events_.after(delay, [this, f, done, effect] {
            if (f == fault::none || f == fault::outdated) {
                auto answer = effect();
                events_.after(delay, [done, answer] { done(answer); });
                return;
            }
            if (f == fault::lost_after) {
                (void)effect();
            }
            if (f == fault::late) {
                events_.after(std::chrono::milliseconds{50}, [effect] { (void)effect(); });
            }
            const auto code = f == fault::unavailable ? errc::unavailable : errc::timeout;
            events_.after(delay, [done, code] { done(code); });
        });
    }

    event_queue& events_;
    platform_content& content_;
};

} // namespace wagtailhatch::testing

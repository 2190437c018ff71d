#include "src/config/head_reader.h"

#include "include/config/config_store.h"
#include "src/config/config_fetch.h"

#include <algorithm>
#include <utility>

namespace wagtailhatch {
namespace {

using namespace std::chrono_literals;

constexpr auto operation_wait = 5s;    ///< After that an operation counts as lost.
constexpr std::uint64_t max_walk = 64; ///< Change records read one by one; beyond, whole documents.

result<config_head> head_of(const result<table_row>& row)
{
    if (row) {
        return decode_head(row->value);
    }
    return row.failure().code == errc::not_found ? result<config_head>{config_head{}}
                                                 : result<config_head>{row.failure()};
}

} // namespace

head_reader::head_reader(const clock& time, random_source& random, table_service& table,
                         object_store& objects, duration first_backoff, duration max_backoff)
    : time_{time}
    , random_{random}
    , table_{table}
    , objects_{objects}
    , first_backoff_{first_backoff}
    , max_backoff_{max_backoff}
    , backoff_{first_backoff}
{
}

void head_reader::read(head_callback done)
{
    const auto at = time_.now();
    if (at < busy_until_) {
        return;
    }
    busy_until_ = at + operation_wait;
    ++reads_;
    table_.read(std::string{config_head_key},
                [weak = weak_from_this(), at, done = std::move(done)](const result<table_row>& row) {
                    const auto self = weak.lock();
                    if (!self) {
                        return;
                    }
                    self->busy_until_ = {};
                    auto head = head_of(row);
                    if (head) {
                        self->backoff_ = self->first_backoff_;
                    }
                    else {
                        self->count_failure();
                    }
                    done(std::move(head), at);
                });
}

/// Doubles the wait, with random spread, so that many nodes do not ask a platform in trouble at once.
void head_reader::count_failure()
{
    const auto spread = random_.below(static_cast<std::uint64_t>(backoff_.count()));
    backoff_until_ = time_.now() + backoff_ / 2 + duration{static_cast<duration::rep>(spread)};
    backoff_ = std::min(2 * backoff_, max_backoff_);
}

void head_reader::fetch(config_state& state, const config_head& head, std::function<void(bool)> done)
{
    busy_until_ = time_.now() + operation_wait;
    const auto held = state.version();
    if (held == 0 || head.version <= held || head.version - held > max_walk) {
        fetch_whole(state, head, std::move(done));
        return;
    }
    reads_ += head.version - held;
    fetch_changes(objects_, head, held,
                  [weak = weak_from_this(), &state, head, held,
                   done = std::move(done)](result<std::vector<change_record>> records) {
                      const auto self = weak.lock();
                      if (!self) {
                          return;
                      }
                      config_delta delta{held, head, {}, {}};
                      for (auto& record : records ? *records : std::vector<change_record>{}) {
                          if (record.has_patches) {
                              delta.steps.push_back({record.version, std::move(record.patches)});
                          }
                      }
                      if (delta.steps.size() == head.version - held &&
                          state.apply(delta) == apply_result::applied) {
                          self->busy_until_ = {};
                          done(true);
                          return;
                      }
                      self->fetch_whole(state, head, done);
                  });
}

void head_reader::fetch_whole(config_state& state, const config_head& head, std::function<void(bool)> done)
{
    const auto names = state.missing(head);
    reads_ += names.size();
    fetch_documents(objects_, head, names,
                    [weak = weak_from_this(), &state, head,
                     done = std::move(done)](const result<std::map<std::string, std::string>>& texts) {
                        if (const auto self = weak.lock()) {
                            self->busy_until_ = {};
                            done(texts && state.apply(head, *texts) == apply_result::applied);
                        }
                    });
}

} // namespace wagtailhatch

#include "src/config/config_fetch.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <utility>

namespace wagtailhatch {
namespace {

struct documents_fetch {
    std::size_t waiting = 0;
    std::map<std::string, std::string> texts;
    std::optional<error> failure;
    std::function<void(result<std::map<std::string, std::string>>)> done;

    void finish_one()
    {
        if (--waiting != 0) {
            return;
        }
        if (failure) {
            done(*failure);
        }
        else {
            done(std::move(texts));
        }
    }
};

/// Follows the chain of change records backwards, one object at a time.
class changes_fetch : public std::enable_shared_from_this<changes_fetch> {
public:
    changes_fetch(object_store& objects, std::uint64_t from,
                  std::function<void(result<std::vector<change_record>>)> done)
        : objects_{objects}
        , from_{from}
        , done_{std::move(done)}
    {
    }

    void next(const std::string& name, std::uint64_t version)
    {
        if (version <= from_) {
            std::reverse(records_.begin(), records_.end());
            done_(std::move(records_));
            return;
        }
        fetch_object(objects_, name, [self = shared_from_this(), version](result<std::string> text) {
            if (!text) {
                self->done_(text.failure());
                return;
            }
            auto record = decode_change(*text);
            if (!record || record->version != version) {
                self->done_(make_error(errc::malformed, "the chain of change records is broken"));
                return;
            }
            const auto previous = record->previous;
            self->records_.push_back(std::move(*record));
            self->next(previous, version - 1);
        });
    }

private:
    object_store& objects_;
    std::uint64_t from_;
    std::function<void(result<std::vector<change_record>>)> done_;
    std::vector<change_record> records_;
};

} // namespace

void fetch_object(object_store& objects, const std::string& hash,
                  std::function<void(result<std::string>)> done)
{
    objects.get(hash, [hash, done = std::move(done)](result<std::string> text) {
        if (text && content_hash(*text) != hash) {
            done(make_error(errc::malformed, "object " + hash + " has another content"));
            return;
        }
        done(std::move(text));
    });
}

void fetch_documents(object_store& objects, const config_head& head, const std::vector<std::string>& names,
                     std::function<void(result<std::map<std::string, std::string>>)> done)
{
    auto fetch = std::make_shared<documents_fetch>();
    fetch->waiting = names.size() + 1;
    fetch->done = std::move(done);
    for (const auto& name : names) {
        fetch_object(objects, head.documents.at(name).hash, [fetch, name](result<std::string> text) {
            if (text) {
                fetch->texts[name] = std::move(*text);
            }
            else {
                fetch->failure = text.failure();
            }
            fetch->finish_one();
        });
    }
    fetch->finish_one();
}

void fetch_changes(object_store& objects, const config_head& head, std::uint64_t from,
                   std::function<void(result<std::vector<change_record>>)> done)
{
    std::make_shared<changes_fetch>(objects, from, std::move(done))->next(head.change, head.version);
}

} // namespace wagtailhatch

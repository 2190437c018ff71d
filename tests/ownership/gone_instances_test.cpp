#include "include/ownership/gone_instances.h"

#include <catch2/catch.hpp>

using namespace wagtailhatch;

namespace {

class listing_table final : public table_service {
public:
    void read(const std::string&, std::function<void(result<table_row>)>) override {}
    void list(const std::string& prefix, std::function<void(result<std::vector<table_row>>)> done) override
    {
        ++lists;
        REQUIRE(prefix == gone_instance_prefix);
        done(rows);
    }
    void write(const std::string&, const std::string&, const write_condition&,
               std::function<void(result<std::string>)>) override
    {
    }

    std::vector<table_row> rows;
    int lists = 0;
};

} // namespace

// Guards against a statement that nobody reads, and one that ends a later life of the instance.
TEST_CASE("gone instances are found with the incarnation that ended")
{
    manual_clock time;
    random_source random{1};
    listing_table table;
    table.rows.push_back({"gone/orders-1", encode_gone_instance({"orders-1", 17, "op"}), "e"});
    table.rows.push_back({"gone/bad", "{\"instance\":5}", "e"});
    std::vector<gone_instance> found;
    gone_instance_reader reader{table, time, random, [&](const gone_instance& g) { found.push_back(g); }};
    reader.tick();
    CHECK(table.lists == 0);
    time.advance(std::chrono::seconds{20});
    reader.tick();
    reader.tick();
    CHECK(table.lists == 1);
    REQUIRE(found.size() == 1);
    CHECK(found.front().id == "orders-1");
    CHECK(found.front().incarnation == 17);
}

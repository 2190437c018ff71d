#pragma once

#include "include/config/config_sync.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailhatch {

/// What a node knows about another node of its data centre that may read the head. Ages are as of sending,
/// because clocks are never compared between nodes.
struct reader_report {
    std::string id;
    std::chrono::milliseconds alive{};                ///< Since the node itself last reported.
    std::optional<std::chrono::milliseconds> reached; ///< Since it last read the head.
};

/// Request and answer of a comparison between two nodes.
struct config_message {
    config_peer self;
    std::uint64_t version = 0;
    std::optional<std::chrono::milliseconds> platform_age; ///< Since the platform confirmed `version`.
    std::vector<reader_report> readers;                    ///< Of the sender's data centre.
    std::vector<config_peer> peers;                        ///< A sample of the nodes that the sender knows.
    std::optional<config_delta> delta; ///< In answers to a requester with a lower version.
};

/// cereal portable binary.
std::string encode(const config_message& message);

/// Nothing if malformed. Every length is checked against the bytes at hand before memory is taken for it.
std::optional<config_message> decode_config_message(std::string_view bytes);

} // namespace wagtailhatch

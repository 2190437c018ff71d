#pragma once

namespace wagtailhatch::standin {

/// HTTP header names of the users' platform, as its services and callers send them.
constexpr const char* request_id_header = "X-Wagtailhatch-Hatch-Request-Id";
constexpr const char* deadline_header = "X-Wagtailhatch-Hatch-Deadline-Ms";
constexpr const char* signature_header = "X-Wagtailhatch-Hatch-Signature";
constexpr const char* expect_instance_header = "X-Wagtailhatch-Hatch-Expect-Instance";
constexpr const char* instance_header = "X-Wagtailhatch-Hatch-Instance";
constexpr const char* not_executed_header = "X-Wagtailhatch-Hatch-Not-Executed";
constexpr const char* load_header = "X-Wagtailhatch-Hatch-Load";
constexpr const char* tenant_header = "X-Wagtailhatch-Hatch-Tenant";
constexpr const char* caller_header = "X-Wagtailhatch-Hatch-Caller";

} // namespace wagtailhatch::standin

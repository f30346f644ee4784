//! Refusals of requests over their organisations' limits.

use honeypulley_policy::fleet_limits::{LimitRefusal, LimitUsage};
use honeypulley_policy::organisations::Organisation;
use honeypulley_proxy::answer::LocalAnswer;
use http::StatusCode;

/// Refuses a request over its organisation's limit, with a time to retry after.
pub(crate) fn over_limit(
    request: &str,
    o: &Organisation,
    priority: u8,
    refusal: LimitRefusal,
    usage: LimitUsage,
) -> LocalAnswer {
    let LimitRefusal { wait, reserved } = refusal;
    let why = if let Some(reserved) = reserved {
        log::info!(
            request, organisation = &*o.name, rate = usage.rate as f32, level = usage.tokens as f32,
            priority, reserved = reserved as f32, hall = usage.hall, others = usage.other_halls,
            others_age_ms = usage.age.map(|d| d.as_millis() as u64),
            wait_ms = wait.as_millis() as u64;
            "route: refused, its organisation is over its limit, and more urgent requests go first"
        );
        format!("{} sends more than its limit allows, urgent requests first", o.name)
    } else {
        log::info!(
            request, organisation = &*o.name, rate = usage.rate as f32, level = usage.tokens as f32,
            hall = usage.hall, others = usage.other_halls,
            others_age_ms = usage.age.map(|d| d.as_millis() as u64),
            wait_ms = wait.as_millis() as u64;
            "route: refused, its organisation is over its limit"
        );
        format!("{} sends more than its limit allows", o.name)
    };
    // Jitter, so that callers refused together don't retry together.
    let retry_after = wait.mul_f64(1.0 + fastrand::f64());
    LocalAnswer::not_run(StatusCode::TOO_MANY_REQUESTS, Some(retry_after), why)
}

//! Encoding of updates about requests during which upstreams crashed.

use crate::codec::millis;
use crate::peer_capnp::datagram as wire;
use honeypulley_policy::collector::NameId;
use honeypulley_policy::quarantine::{Fingerprint, RequestUpdate, Scope};
use std::time::Duration;

/// Maximum number of items in a forwarded datagram; each takes up to 34 bytes.
pub const MAX_REQUESTS: usize = 30;

pub(crate) fn write_requests(
    mut list: capnp::struct_list::Builder<'_, wire::request_item::Owned>,
    updates: &[RequestUpdate],
) {
    for (i, update) in updates.iter().enumerate() {
        let mut row = list.reborrow().get(i as u32);
        match *update {
            RequestUpdate::Crashed {
                request,
                scope,
                upstream,
                since_sent: began,
                since_crash: ended,
            } => {
                row.set_kind(wire::RequestKind::Ended);
                row.set_request(request.0);
                row.set_content(scope == Scope::Content);
                row.set_upstream(upstream.0);
                row.set_began_ms(millis(began));
                row.set_span_ms(millis(ended));
            }
            RequestUpdate::Served { request, age: ago } => {
                row.set_kind(wire::RequestKind::Served);
                row.set_request(request.0);
                row.set_span_ms(millis(ago));
            }
            RequestUpdate::Held { request, scope, remaining: left, trials } => {
                row.set_kind(wire::RequestKind::Held);
                row.set_request(request.0);
                row.set_content(scope == Scope::Content);
                row.set_span_ms(millis(left));
                row.set_trials(trials);
            }
        }
    }
}

pub(crate) fn read_requests(
    list: capnp::struct_list::Reader<'_, wire::request_item::Owned>,
) -> Result<Vec<RequestUpdate>, capnp::Error> {
    list.iter().take(MAX_REQUESTS).map(read_request).collect()
}

fn read_request(r: wire::request_item::Reader<'_>) -> Result<RequestUpdate, capnp::Error> {
    let request = Fingerprint(r.get_request());
    let scope = if r.get_content() { Scope::Content } else { Scope::Caller };
    let span = Duration::from_millis(r.get_span_ms().into());
    Ok(match r.get_kind()? {
        wire::RequestKind::Ended => RequestUpdate::Crashed {
            request,
            scope,
            upstream: NameId(r.get_upstream()),
            since_sent: Duration::from_millis(r.get_began_ms().into()),
            since_crash: span,
        },
        wire::RequestKind::Served => RequestUpdate::Served { request, age: span },
        wire::RequestKind::Held => {
            RequestUpdate::Held { request, scope, remaining: span, trials: r.get_trials() }
        }
    })
}

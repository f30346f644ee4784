//! Sessions that switch to another protocol, such as WebSocket.

use crate::attempt::{Answer, AnswerBody};
use crate::gate::ProxyState;
use crate::open::OpenGuard;
use crate::session::{self, EndCause, SessionEnd};
use honeypulley_policy::router::Outcome;
use http::{HeaderValue, StatusCode, header};
use hyper::upgrade::OnUpgrade;
use hyper_util::rt::TokioIo;
use salvo::prelude::Response;
use std::sync::Arc;
use std::time::Duration;

/// Forwards a protocol switch and relays the session until it ends.
///
/// The session counts as open until then, because the graceful shutdown of the HTTP server does
/// not cover it. If a planned stop is bounded, the session is closed shortly before its end.
pub fn relay(
    gate: &Arc<ProxyState>,
    caller: OnUpgrade,
    answer: Answer,
    id: Arc<str>,
    mut open: OpenGuard,
    res: &mut Response,
) {
    let Answer { head, body, mut guard, .. } = answer;
    let AnswerBody::Open(response) = body else { return };
    let protocol = head.headers.get(header::UPGRADE).cloned();
    for (k, v) in &head.headers {
        res.headers_mut().append(k.clone(), v.clone());
    }
    res.status_code(StatusCode::SWITCHING_PROTOCOLS);
    res.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("upgrade"));
    if let Some(p) = protocol {
        res.headers_mut().insert(header::UPGRADE, p);
    }
    let (gate, began) = (Arc::clone(gate), gate.now());
    tokio::spawn(async move {
        let (Ok(caller), Ok(upstream)) = (caller.await, response.upgrade().await) else {
            if let Some(g) = &mut guard {
                g.ended(Outcome::Failed);
            }
            return;
        };
        let stop = gate.stop.wait_answer_by(began, gate.clock);
        let end = session::relay(TokioIo::new(caller), upstream, stop).await;
        open.finish();
        if let Some(g) = &mut guard {
            g.ended(Outcome::Completed);
        }
        log_end(&id, &end, gate.now().since(began));
    });
}

fn log_end(id: &str, end: &SessionEnd, age: Duration) {
    let SessionEnd { up, down, cause } = end;
    match cause {
        EndCause::Closed => {
            log::info!(request = id, up, down; "session: closed by caller or upstream");
        }
        EndCause::Failed(e) => log::info!(request = id; "session: closed on an error: {e}"),
        EndCause::Stopped { is_flushed } => {
            let age_ms = age.as_millis() as u64;
            log::info!(
                request = id, age_ms, up, down, flushed = is_flushed;
                "session: closed since the box stops"
            );
        }
    }
}

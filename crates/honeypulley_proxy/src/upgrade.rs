//! Sessions that switch to another protocol, such as WebSocket.

use crate::attempt::{Answer, AnswerBody};
use crate::open::OpenGuard;
use honeypulley_policy::router::Outcome;
use http::{HeaderValue, StatusCode, header};
use hyper::upgrade::OnUpgrade;
use hyper_util::rt::TokioIo;
use salvo::prelude::Response;
use std::sync::Arc;

/// Forwards a protocol switch and relays the session until it ends.
///
/// The session counts as open until then, because the graceful shutdown of the HTTP server does
/// not cover it.
pub fn relay(
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
    tokio::spawn(async move {
        let (Ok(caller), Ok(mut upstream)) = (caller.await, response.upgrade().await) else {
            if let Some(g) = &mut guard {
                g.ended(Outcome::Failed);
            }
            return;
        };
        let mut caller = TokioIo::new(caller);
        let result = tokio::io::copy_bidirectional(&mut caller, &mut upstream).await;
        open.finish();
        if let Some(g) = &mut guard {
            g.ended(Outcome::Completed);
        }
        match result {
            Ok((up, down)) => {
                log::info!(request = &*id, up, down; "session: closed by caller or upstream");
            }
            Err(e) => log::info!(request = &*id; "session: closed on an error: {e}"),
        }
    });
}

//! Sessions that leave HTTP behind, such as WebSocket.

use crate::attempt::{Answer, AnswerBody};
use crate::gate::{Gate, OpenGuard};
use honeypulley_policy::router::Outcome;
use http::{HeaderValue, StatusCode, header};
use hyper::upgrade::OnUpgrade;
use hyper_util::rt::TokioIo;
use salvo::prelude::Response;
use std::sync::Arc;

/// Passes the switch of protocols on and carries the session to its own end.
///
/// The session is counted as open until then, since it has left the HTTP
/// server's own graceful stop.
pub fn carry(gate: &Arc<Gate>, caller: OnUpgrade, answer: Answer, id: String, res: &mut Response) {
    let Answer { head, body, mut guard } = answer;
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
    let open = OpenGuard::new(gate);
    tokio::spawn(async move {
        let _open = open;
        let (Ok(caller), Ok(mut upstream)) = (caller.await, response.upgrade().await) else {
            guard.ended(Outcome::Failed);
            return;
        };
        let mut caller = TokioIo::new(caller);
        let end = tokio::io::copy_bidirectional(&mut caller, &mut upstream).await;
        guard.ended(Outcome::Whole);
        match end {
            Ok((up, down)) => {
                log::info!(request = id.as_str(), up, down; "session: ended by its own parties");
            }
            Err(e) => log::info!(request = id.as_str(); "session: ended: {e}"),
        }
    });
}

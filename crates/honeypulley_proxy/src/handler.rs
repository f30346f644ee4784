//! Takes a caller's request: checks, routes, limits, runs and passes back.

use crate::answer::OwnAnswer;
use crate::attempt::{Answer, Outgoing};
use crate::body::{Source, Watched};
use crate::headers;
use crate::race::Race;
use crate::shared::{OpenGuard, Shared};
use crate::upgrade;
use async_trait::async_trait;
use honeypulley_bundle::keeper::InForce;
use honeypulley_policy::router::{Refusal, RefusalKind, ServiceKey};
use http::{HeaderMap, HeaderValue, Method, StatusCode, Version, header};
use http_body_util::BodyExt;
use hyper::upgrade::OnUpgrade;
use salvo::http::ResBody;
use salvo::prelude::{Depot, FlowCtrl, Handler, Request, Response};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::Instant;

/// Longest time a caller's whole small body may take to come.
const BODY_TIME: Duration = Duration::from_secs(10);

/// The handler of every caller's request.
#[derive(Clone, Debug)]
pub struct ProxyHandler {
    shared: Arc<Shared>,
}

/// Where a request goes.
struct Routed {
    service: ServiceKey,
    name: String,
    repeatable: bool,
    deadline: Duration,
}

impl ProxyHandler {
    /// Builds the handler over the serving thread's state.
    #[must_use]
    pub const fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    async fn run(&self, req: &mut Request, res: &mut Response) -> Result<(), OwnAnswer> {
        let open = OpenGuard::new(&self.shared);
        let began = Instant::now();
        let id = request_id(req);
        check_framing(req)?;
        let routed = self.route(req)?;
        let switch = req.extensions_mut().remove::<OnUpgrade>();
        let out = outgoing(req, &id);
        let source = Source::read(req.take_body());
        let source = match tokio::time::timeout(BODY_TIME, source).await {
            Ok(Ok(s)) => s,
            Ok(Err(e)) => return Err(bad_request(&e)),
            Err(_) => {
                return Err(OwnAnswer::not_run(
                    StatusCode::REQUEST_TIMEOUT,
                    None,
                    "the body came too slowly".to_owned(),
                ));
            }
        };
        let race = Race {
            shared: Arc::clone(&self.shared),
            service: routed.service,
            name: routed.name.clone(),
            id: id.clone(),
            repeatable: routed.repeatable && !out.upgrade,
            out: Arc::new(out),
            source,
            deadline: began + routed.deadline,
        };
        let answer = race.run().await?;
        self.shared.time("requests.head_ms", began.elapsed());
        match switch {
            Some(caller) if answer.response.status() == StatusCode::SWITCHING_PROTOCOLS => {
                upgrade::carry(&self.shared, caller, answer, id, res);
            }
            _ => pass(answer, open, res),
        }
        Ok(())
    }

    /// Finds the service and takes what the limits allow.
    fn route(&self, req: &Request) -> Result<Routed, OwnAnswer> {
        let in_force = self.shared.in_force.load_full();
        let Some(f) = in_force else {
            let why = "no bundle is in force on this box yet".to_owned();
            return Err(OwnAnswer::not_run(
                StatusCode::SERVICE_UNAVAILABLE,
                Some(Duration::from_secs(1)),
                why,
            ));
        };
        let host = host_of(req);
        let Some(name) = f.bundle.route(&host, req.uri().path()) else {
            let why = format!("no route for {host}{}", req.uri().path());
            log::info!(host = host.as_str(), bundle = f.head.version.0; "route: refused, no route");
            return Err(OwnAnswer::not_run(StatusCode::NOT_FOUND, None, why));
        };
        self.limit_caller(req.headers(), &f)?;
        let mut router = self.shared.router.lock();
        let now = self.shared.now();
        let Some(service) = router.service(name) else {
            let why = format!("service {name} is not set up on this box yet");
            return Err(OwnAnswer::not_run(
                StatusCode::SERVICE_UNAVAILABLE,
                Some(Duration::from_secs(1)),
                why,
            ));
        };
        if let Err(r) = router.admit(service, now) {
            log::info!(service = name, bundle = f.head.version.0; "route: refused, {}", r.kind);
            return Err(OwnAnswer::refusal(r));
        }
        let spec = router.spec(service).expect("found above");
        let asked = headers::number(req.headers(), &headers::DEADLINE).map(Duration::from_millis);
        let deadline = asked.map_or(spec.deadline, |d| d.min(spec.deadline));
        let repeatable = spec.repeat.allows(is_safe(req.method()));
        Ok(Routed { service, name: name.to_owned(), repeatable, deadline })
    }

    fn limit_caller(&self, h: &HeaderMap, f: &InForce) -> Result<(), OwnAnswer> {
        let Some(caller) = headers::text(h, &headers::CALLER) else { return Ok(()) };
        let Some(rate) = f.bundle.caller_rate(caller) else { return Ok(()) };
        let share = rate / self.shared.boxes.load(Ordering::Relaxed) as f64;
        let taken = self.shared.callers.lock().take(caller, share, self.shared.now());
        taken.map_err(|wait| {
            log::info!(caller = caller, bundle = f.head.version.0; "route: refused, the caller's rate is used up");
            let retry_after = wait.mul_f64(1.0 + fastrand::f64() / 2.0);
            OwnAnswer::refusal(Refusal { kind: RefusalKind::CallerRate, retry_after })
        })
    }
}

#[async_trait]
impl Handler for ProxyHandler {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        self.shared.count("requests");
        if let Err(own) = self.run(req, res).await {
            self.shared.count("requests.refused");
            own.write(res);
        }
        let switched = res.status_code == Some(StatusCode::SWITCHING_PROTOCOLS);
        let leaving = self.shared.leaving.load(Ordering::Relaxed);
        if leaving && !switched && req.version() <= Version::HTTP_11 {
            res.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
    }
}

/// Refuses what two readers could frame differently (RFC 9112 section 6.3).
fn check_framing(req: &Request) -> Result<(), OwnAnswer> {
    let h = req.headers();
    let lengths = h.get_all(header::CONTENT_LENGTH).iter().count();
    let coded = h.contains_key(header::TRANSFER_ENCODING);
    if lengths > 1 || (lengths == 1 && coded) {
        return Err(bad_request("ambiguous framing: one length or one transfer coding, not both"));
    }
    if h.get_all(header::HOST).iter().count() > 1 {
        return Err(bad_request("more than one host"));
    }
    if *req.method() == Method::CONNECT {
        return Err(bad_request("CONNECT is not served"));
    }
    Ok(())
}

fn bad_request(why: &str) -> OwnAnswer {
    OwnAnswer::not_run(StatusCode::BAD_REQUEST, None, why.to_owned())
}

fn request_id(req: &Request) -> String {
    let given = headers::text(req.headers(), &headers::REQUEST_ID).filter(|t| t.len() <= 128);
    given.map_or_else(|| format!("{:016x}", fastrand::u64(..)), str::to_owned)
}

/// Returns the host without its port, in lower case.
fn host_of(req: &Request) -> String {
    let named = headers::text(req.headers(), &header::HOST);
    let host = named.or_else(|| req.uri().host()).unwrap_or_default();
    let bare = if host.starts_with('[') { host } else { host.split(':').next().unwrap_or(host) };
    bare.to_ascii_lowercase()
}

const fn is_safe(m: &Method) -> bool {
    matches!(*m, Method::GET | Method::HEAD | Method::OPTIONS)
}

/// Builds what is sent on from what came in.
fn outgoing(req: &Request, id: &str) -> Outgoing {
    let mut h = req.headers().clone();
    let upgrade = h.get(header::UPGRADE).cloned();
    headers::strip_hop_by_hop(&mut h);
    h.remove(header::CONTENT_LENGTH);
    h.remove(header::EXPECT);
    h.remove(headers::ATTEMPT);
    if !h.contains_key(header::HOST)
        && let Some(host) = req.uri().authority().and_then(|a| a.as_str().parse().ok())
    {
        h.insert(header::HOST, host);
    }
    if let Ok(v) = HeaderValue::from_str(id) {
        h.insert(headers::REQUEST_ID, v);
    }
    let is_upgrade = upgrade.is_some() && req.version() == Version::HTTP_11;
    if let (true, Some(protocol)) = (is_upgrade, upgrade) {
        h.insert(header::CONNECTION, HeaderValue::from_static("upgrade"));
        h.insert(header::UPGRADE, protocol);
    }
    let path = req.uri().path_and_query().map_or("/", http::uri::PathAndQuery::as_str);
    Outgoing {
        method: req.method().clone(),
        path: path.to_owned(),
        headers: h,
        upgrade: is_upgrade,
    }
}

/// Passes an upstream's answer back, body and all.
fn pass(answer: Answer, open: OpenGuard, res: &mut Response) {
    let Answer { response, guard } = answer;
    let response: http::Response<reqwest::Body> = response.into();
    let (parts, body) = response.into_parts();
    let mut h = parts.headers;
    headers::strip_hop_by_hop(&mut h);
    for own in [headers::ATTEMPT, headers::LOAD, headers::DRAIN] {
        h.remove(own);
    }
    res.status_code(parts.status);
    *res.headers_mut() = h;
    let body = Watched::new(body, guard, open).map_err(salvo::BoxedError::from);
    res.replace_body(ResBody::Boxed(Box::pin(body)));
}

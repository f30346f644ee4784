//! Callers that keep a record of what they were told.

use eyre::Result;
use fleet::Fleet;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use todc_utils::specifications::Specification;
use todc_utils::{Action, History, WGLChecker};

/// What a caller was told of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Told {
    /// An answer of an upstream, whole, with its text.
    Answer(u16, String),
    /// Refused, and surely not run.
    NotRun(u16),
    /// No answer that says whether it was run.
    Unknown(String),
}

/// Sends one request and sorts what comes back.
pub async fn ask(client: &reqwest::Client, request: reqwest::RequestBuilder) -> Told {
    let built = match request.build() {
        Ok(r) => r,
        Err(e) => return Told::Unknown(e.to_string()),
    };
    let answer = match client.execute(built).await {
        Ok(a) => a,
        Err(e) => return Told::Unknown(format!("{e:?}")),
    };
    let status = answer.status().as_u16();
    let header =
        |n: &str| answer.headers().get(n).map(|v| v.to_str().unwrap_or_default().to_owned());
    if header("honeypulley-not-run").is_some() {
        return Told::NotRun(status);
    }
    if let Some(o) = header("honeypulley-outcome") {
        return Told::Unknown(o);
    }
    match answer.text().await {
        Ok(text) => Told::Answer(status, text),
        Err(e) => Told::Unknown(format!("cut: {e:?}")),
    }
}

/// Returns a client that retries nothing.
pub fn client() -> reqwest::Client {
    reqwest::Client::builder()
        .no_proxy()
        .retry(reqwest::retry::never())
        .timeout(Duration::from_secs(10))
        .build()
        .expect("plain settings")
}

/// What callers did and were told, in the order of time.
pub type Log = Arc<Mutex<Vec<(usize, Action<Op>)>>>;

/// One operation on the upstreams of a service, taken as one object.
#[derive(Clone, Debug)]
pub enum Op {
    /// A request by its number, and what came of it.
    Run(usize, Option<Came>),
    /// A reading of all journals: how often each request ran.
    Journal(Option<BTreeMap<usize, u32>>),
}

/// What came of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Came {
    /// Answered, with the number of the request that the answer is for.
    Answered(usize),
    /// Told that it was not run.
    NotRun,
    /// Not known to the caller; the journals say that it ran, or that it did not.
    Unknown(bool),
}

/// Each request runs once if answered and never if told so; each answer is its
/// own request's; nothing runs that nobody asked for.
pub struct RunOnce;

impl Specification for RunOnce {
    type State = BTreeMap<usize, u32>;
    type Operation = Op;

    fn init() -> Self::State {
        BTreeMap::new()
    }

    fn apply(op: &Op, state: &Self::State) -> (bool, Self::State) {
        let ran = |id: usize| {
            let mut next = state.clone();
            next.insert(id, 1);
            (!state.contains_key(&id), next)
        };
        match op {
            Op::Run(id, Some(Came::Answered(of))) if id == of => ran(*id),
            Op::Run(id, Some(Came::Unknown(true))) => ran(*id),
            Op::Run(_, Some(Came::NotRun | Came::Unknown(false))) => (true, state.clone()),
            Op::Journal(Some(read)) => (read == state, state.clone()),
            _ => (false, state.clone()),
        }
    }
}

/// Tells whether a history with its journals is linearizable as [`RunOnce`].
pub fn is_run_once(
    log: &Log,
    told: &BTreeMap<String, Told>,
    runs: &BTreeMap<String, u32>,
    prefix: &str,
) -> bool {
    let number = |id: &str| id.strip_prefix(prefix).and_then(|n| n.parse::<usize>().ok());
    let journal: BTreeMap<usize, u32> =
        runs.iter().filter_map(|(id, n)| Some((number(id)?, *n))).collect();
    let came = |id: usize| match &told[&format!("{prefix}{id}")] {
        Told::NotRun(_) => Came::NotRun,
        Told::Answer(200, text) => {
            let of = text.split('"').nth(7).and_then(number);
            Came::Answered(of.unwrap_or(usize::MAX))
        }
        Told::Answer(..) | Told::Unknown(_) => Came::Unknown(journal.contains_key(&id)),
    };
    let mut actions: Vec<(usize, Action<Op>)> = log.lock().expect("no panic").clone();
    for (_, a) in &mut actions {
        if let Action::Response(Op::Run(id, known)) = a {
            *known = Some(came(*id));
        }
    }
    let reader = actions.len();
    actions.push((reader, Action::Call(Op::Journal(None))));
    actions.push((reader, Action::Response(Op::Journal(Some(journal)))));
    WGLChecker::<RunOnce>::is_linearizable(History::from_actions(actions))
}

/// Sends `n` requests, `gap` apart, round the boxes; returns what was told by id.
pub async fn load(
    fleet: &Fleet,
    to: &[SocketAddr],
    method: reqwest::Method,
    prefix: &str,
    n: usize,
    gap: Duration,
) -> Result<BTreeMap<String, Told>> {
    Ok(load_logged(fleet, to, method, prefix, n, gap).await?.0)
}

/// Does as [`load`] and returns the history of calls and responses too.
pub async fn load_logged(
    fleet: &Fleet,
    to: &[SocketAddr],
    method: reqwest::Method,
    prefix: &str,
    n: usize,
    gap: Duration,
) -> Result<(BTreeMap<String, Told>, Log)> {
    let log = Log::default();
    let client = client();
    let host = format!("{}.example", fleet.shape().services[0].0);
    let mut tick = tokio::time::interval(gap);
    let mut open = Vec::new();
    for i in 0..n {
        tick.tick().await;
        let id = format!("{prefix}{i}");
        let url = format!("http://{}/x?size=2000", to[i % to.len()]);
        let request =
            client.request(method.clone(), url).header("host", &host).header("x-request-id", &id);
        let client = client.clone();
        let log = Arc::clone(&log);
        let asking = async move {
            log.lock().expect("no panic").push((i, Action::Call(Op::Run(i, None))));
            let told = ask(&client, request).await;
            log.lock().expect("no panic").push((i, Action::Response(Op::Run(i, None))));
            told
        };
        open.push((id, tokio::spawn(asking)));
    }
    let mut told = BTreeMap::new();
    for (id, o) in open {
        told.insert(id, o.await?);
    }
    Ok((told, log))
}

/// Returns how often each request ran, over all upstreams.
pub async fn runs(fleet: &Fleet) -> Result<BTreeMap<String, u32>> {
    let mut all = BTreeMap::new();
    for i in 0..fleet.upstreams.len() {
        for (id, n) in fleet.journal(i).await?.runs {
            *all.entry(id).or_default() += n;
        }
    }
    Ok(all)
}

/// Checks own answers, whole; no double runs; no run behind a refusal.
pub fn check_told(told: &BTreeMap<String, Told>, runs: &BTreeMap<String, u32>, once: bool) {
    for (id, t) in told {
        let n = runs.get(id).copied().unwrap_or(0);
        assert!(!once || n <= 1, "{id} ran {n} times, told {t:?}");
        match t {
            Told::NotRun(_) => assert_eq!(n, 0, "{id} was told not run"),
            Told::Answer(200, text) => {
                assert!(
                    text.contains(&format!("\"request\":\"{id}\"")),
                    "{id} got the answer of another"
                );
                assert!(text.ends_with(&"x".repeat(2_000)), "{id} got a shortened answer");
                assert!(n >= 1, "{id} was answered without having run");
            }
            Told::Answer(..) | Told::Unknown(_) => {}
        }
    }
}

/// Counts the answers with status 200.
pub fn answered(told: &BTreeMap<String, Told>) -> usize {
    told.values().filter(|t| matches!(t, Told::Answer(200, _))).count()
}

//! Load generator that records the outcome of every request, and checks of the record.

use eyre::Result;
use fleet::Fleet;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use todc_utils::specifications::Specification;
use todc_utils::{Action, History, WGLChecker};

/// Outcome of a request as its caller sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Complete answer of an upstream: status and body.
    Answer(u16, String),
    /// Refused with the guarantee that it was not run.
    NotRun(u16),
    /// Failed without an indication of whether it was run.
    Unknown(String),
}

/// Sends a request and classifies the outcome.
pub async fn send(client: &reqwest::Client, request: reqwest::RequestBuilder) -> Outcome {
    let built = match request.build() {
        Ok(r) => r,
        Err(e) => return Outcome::Unknown(e.to_string()),
    };
    let answer = match client.execute(built).await {
        Ok(a) => a,
        Err(e) => return Outcome::Unknown(format!("{e:?}")),
    };
    let status = answer.status().as_u16();
    let header =
        |n: &str| answer.headers().get(n).map(|v| v.to_str().unwrap_or_default().to_owned());
    if header("honeypulley-not-run").is_some() {
        return Outcome::NotRun(status);
    }
    if let Some(o) = header("honeypulley-outcome") {
        return Outcome::Unknown(o);
    }
    match answer.text().await {
        Ok(text) => Outcome::Answer(status, text),
        Err(e) => Outcome::Unknown(format!("body truncated: {e:?}")),
    }
}

/// Returns a client without retries.
pub fn client() -> reqwest::Client {
    reqwest::Client::builder()
        .no_proxy()
        .retry(reqwest::retry::never())
        .timeout(Duration::from_secs(10))
        .build()
        .expect("client settings are valid")
}

/// Calls and responses of all callers in order of time.
pub type CallLog = Arc<Mutex<Vec<(usize, Action<Op>)>>>;

/// Operation on the upstreams of a service, modelled as a single object.
#[derive(Clone, Debug)]
pub enum Op {
    /// A request by its number, with its result once known.
    Run(usize, Option<Completion>),
    /// A read of all journals: number of executions by request.
    Journal(Option<BTreeMap<usize, u32>>),
}

/// Result of a request for the checker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// Answered; holds the number of the request that the answer names.
    Answered(usize),
    /// Refused with the guarantee that it was not run.
    NotRun,
    /// Unknown to the caller; holds whether the journals contain the request.
    Unknown(bool),
}

/// Sequential specification of requests that run at most once.
///
/// An answered request ran exactly once and its answer names it. A request that was
/// reported as not run did not run. Nothing else ran.
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
            Op::Run(id, Some(Completion::Answered(answered_id))) if id == answered_id => ran(*id),
            Op::Run(id, Some(Completion::Unknown(true))) => ran(*id),
            Op::Run(_, Some(Completion::NotRun | Completion::Unknown(false))) => {
                (true, state.clone())
            }
            Op::Journal(Some(found)) => (found == state, state.clone()),
            _ => (false, state.clone()),
        }
    }
}

/// Returns whether a history with its journals is linearizable as [`RunOnce`].
pub fn is_run_once(
    log: &CallLog,
    outcomes: &BTreeMap<String, Outcome>,
    runs: &BTreeMap<String, u32>,
    prefix: &str,
) -> bool {
    let number = |id: &str| id.strip_prefix(prefix).and_then(|n| n.parse::<usize>().ok());
    let executions: BTreeMap<usize, u32> =
        runs.iter().filter_map(|(id, n)| Some((number(id)?, *n))).collect();
    let completion = |id: usize| match &outcomes[&format!("{prefix}{id}")] {
        Outcome::NotRun(_) => Completion::NotRun,
        Outcome::Answer(200, text) => {
            let answered_id = text.split('"').nth(7).and_then(number);
            Completion::Answered(answered_id.unwrap_or(usize::MAX))
        }
        Outcome::Answer(..) | Outcome::Unknown(_) => {
            Completion::Unknown(executions.contains_key(&id))
        }
    };
    let mut actions: Vec<(usize, Action<Op>)> = log.lock().expect("lock is not poisoned").clone();
    for (_, a) in &mut actions {
        if let Action::Response(Op::Run(id, result)) = a {
            *result = Some(completion(*id));
        }
    }
    let journal_reader = actions.len();
    actions.push((journal_reader, Action::Call(Op::Journal(None))));
    actions.push((journal_reader, Action::Response(Op::Journal(Some(executions)))));
    WGLChecker::<RunOnce>::is_linearizable(History::from_actions(actions))
}

/// Sends `n` requests to the boxes in turn, one every `interval`.
///
/// Returns the outcomes by request id.
pub async fn load(
    fleet: &Fleet,
    targets: &[SocketAddr],
    method: reqwest::Method,
    prefix: &str,
    n: usize,
    interval: Duration,
) -> Result<BTreeMap<String, Outcome>> {
    Ok(load_with_history(fleet, targets, method, prefix, n, interval).await?.0)
}

/// Sends requests like [`load`] and also returns the history for the checker.
pub async fn load_with_history(
    fleet: &Fleet,
    targets: &[SocketAddr],
    method: reqwest::Method,
    prefix: &str,
    n: usize,
    interval: Duration,
) -> Result<(BTreeMap<String, Outcome>, CallLog)> {
    let log = CallLog::default();
    let client = client();
    let host = format!("{}.example", fleet.config().services[0].0);
    let mut tick = tokio::time::interval(interval);
    let mut in_flight = Vec::new();
    for i in 0..n {
        tick.tick().await;
        let id = format!("{prefix}{i}");
        let url = format!("http://{}/x?size=2000", targets[i % targets.len()]);
        let request =
            client.request(method.clone(), url).header("host", &host).header("x-request-id", &id);
        let client = client.clone();
        let log = Arc::clone(&log);
        let call = async move {
            log.lock().expect("lock is not poisoned").push((i, Action::Call(Op::Run(i, None))));
            let outcome = send(&client, request).await;
            log.lock().expect("lock is not poisoned").push((i, Action::Response(Op::Run(i, None))));
            outcome
        };
        in_flight.push((id, tokio::spawn(call)));
    }
    let mut outcomes = BTreeMap::new();
    for (id, call) in in_flight {
        outcomes.insert(id, call.await?);
    }
    Ok((outcomes, log))
}

/// Returns the number of executions by request id, over all upstreams.
pub async fn runs(fleet: &Fleet) -> Result<BTreeMap<String, u32>> {
    let mut all = BTreeMap::new();
    for i in 0..fleet.upstreams.len() {
        for (id, n) in fleet.journal(i).await?.runs {
            *all.entry(id).or_default() += n;
        }
    }
    Ok(all)
}

/// Checks outcomes against executions.
///
/// Answers must be complete and belong to their requests, and requests that were
/// reported as not run must not have run. With `at_most_once`, none may run twice.
pub fn check_outcomes(
    outcomes: &BTreeMap<String, Outcome>,
    runs: &BTreeMap<String, u32>,
    at_most_once: bool,
) {
    for (id, t) in outcomes {
        let n = runs.get(id).copied().unwrap_or(0);
        assert!(!at_most_once || n <= 1, "{id} ran {n} times; outcome {t:?}");
        match t {
            Outcome::NotRun(_) => assert_eq!(n, 0, "{id} was reported as not run"),
            Outcome::Answer(200, text) => {
                assert!(
                    text.contains(&format!("\"request\":\"{id}\"")),
                    "{id} got the answer to another request"
                );
                assert!(text.ends_with(&"x".repeat(2_000)), "{id} got a truncated answer");
                assert!(n >= 1, "{id} was answered but did not run");
            }
            Outcome::Answer(..) | Outcome::Unknown(_) => {}
        }
    }
}

/// Counts the answers with status 200.
pub fn count_answered(outcomes: &BTreeMap<String, Outcome>) -> usize {
    outcomes.values().filter(|t| matches!(t, Outcome::Answer(200, _))).count()
}

//! Callers that keep a record of what they were told.

use eyre::Result;
use fleet::Fleet;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

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

/// Sends `n` requests, `gap` apart, round the boxes; returns what was told by id.
pub async fn load(
    fleet: &Fleet,
    to: &[SocketAddr],
    method: reqwest::Method,
    prefix: &str,
    n: usize,
    gap: Duration,
) -> Result<BTreeMap<String, Told>> {
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
        open.push((id, tokio::spawn(async move { ask(&client, request).await })));
    }
    let mut told = BTreeMap::new();
    for (id, o) in open {
        told.insert(id, o.await?);
    }
    Ok(told)
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

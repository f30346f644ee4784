//! Names and forms of the headers that callers and upstreams speak.
//!
//! The product has its own; a platform with others gives them by the builder.

use crate::gate::Belongs;
use crate::headers;
use crate::named_limit::{self, LimitFault};
use crate::signals::{self, BackoffFault, LeavingFault};
use honeypulley_policy::chooser::LoadReport;
use honeypulley_policy::organisations::KeyDigest;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};
use std::time::Duration;

/// Longest key of a caller, in bytes; the digest of a longer one is not worth its time.
const MOST_KEY: usize = 1_024;

/// Form of a load report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadForm {
    /// Busy slots over all slots, as a decimal.
    #[default]
    Share,
    /// Running, waiting and slots, with commas between.
    Counts,
}

/// Form of `Retry-After`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RetryForm {
    /// Whole seconds, with milliseconds in a header beside it.
    #[default]
    WholeSeconds,
    /// Seconds with a fraction.
    Fraction,
}

/// Header names and forms.
#[derive(Clone, Debug, bon::Builder)]
pub struct Dialect {
    /// Identity of a request, as its caller gives it.
    #[builder(default = headers::REQUEST_ID)]
    pub request: HeaderName,
    /// Identity of an attempt, which an upstream's answer repeats.
    #[builder(default = headers::ATTEMPT)]
    pub attempt: HeaderName,
    /// Whether the caller's own value is the attempt's identity.
    #[builder(default)]
    pub caller_attempt: bool,
    /// Milliseconds left.
    #[builder(default = headers::DEADLINE)]
    pub deadline: HeaderName,
    /// On an answer: the request was not run.
    #[builder(default = headers::NOT_RUN)]
    pub not_run: HeaderName,
    /// On an upstream's answer: its load.
    #[builder(default = headers::LOAD)]
    pub load: HeaderName,
    /// Form of the load.
    #[builder(default)]
    pub load_form: LoadForm,
    /// On an upstream's answer: requests a second that it takes from all boxes together, if the
    /// dialect knows that.
    pub limit: Option<HeaderName>,
    /// On an upstream's answer: it will shut down.
    #[builder(default = headers::LEAVING)]
    pub leaving: HeaderName,
    /// On a request: the only instance that may run it, if the dialect knows that.
    pub expect: Option<HeaderName>,
    /// On an upstream's success: must be there.
    pub proof: Option<HeaderName>,
    /// Who asks, for limits.
    #[builder(default = headers::CALLER)]
    pub caller: HeaderName,
    /// A caller's key, which no upstream is shown, if the dialect knows organisations.
    pub key: Option<HeaderName>,
    /// The organisation, as upstreams receive it, whatever the caller claims.
    pub organisation: Option<HeaderName>,
    /// Form of `Retry-After`.
    #[builder(default)]
    pub retry_form: RetryForm,
    /// Whether own answers say what is known of the request's run.
    #[builder(default = true)]
    pub tells_outcome: bool,
    /// Whether the load, identity and shutdown headers of upstreams reach the caller.
    #[builder(default)]
    pub keeps_headers: bool,
    /// Whether an answer without a length may be passed on.
    #[builder(default)]
    pub unbounded: bool,
}

impl Default for Dialect {
    fn default() -> Self {
        Self::builder().build()
    }
}

impl Dialect {
    /// Returns the digest of a caller's key, if it names just one.
    #[must_use]
    pub fn key_of(&self, h: &HeaderMap) -> Option<KeyDigest> {
        let mut all = h.get_all(self.key.as_ref()?).iter();
        let one = all.next().filter(|v| !v.is_empty() && v.len() <= MOST_KEY)?;
        all.next().is_none().then(|| KeyDigest::of(one.as_bytes()))
    }

    /// Replaces what a caller says of itself by the organisation that it belongs to.
    pub fn set_organisation(&self, belongs: &Belongs, h: &mut HeaderMap) {
        if *belongs == Belongs::Unasked {
            return;
        }
        for name in [&self.key, &self.organisation].into_iter().flatten() {
            h.remove(name);
        }
        if let (Some(header), Belongs::To { name, .. }) = (&self.organisation, belongs) {
            let value = HeaderValue::from_str(name).expect("names are checked with their table");
            h.insert(header.clone(), value);
        }
    }

    /// Reads an upstream's load report.
    #[must_use]
    pub fn load(&self, h: &HeaderMap) -> Option<LoadReport> {
        match self.load_form {
            LoadForm::Share => {
                let busy = headers::number::<f64>(h, &self.load).filter(|l| l.is_finite())?;
                Some(LoadReport { busy, slots: 1.0 })
            }
            LoadForm::Counts => {
                let text = headers::text(h, &self.load)?;
                let mut parts = text.split(',').map(|p| p.trim().parse::<f64>().ok());
                let (running, waiting, slots) = (parts.next()??, parts.next()??, parts.next()??);
                let report = LoadReport { busy: running + waiting, slots };
                (report.busy.is_finite() && slots.is_finite()).then_some(report)
            }
        }
    }

    /// Reads the requests a second that an upstream takes from all boxes together, if it says.
    ///
    /// # Errors
    /// Returns why a limit that it names is not taken.
    pub fn limit(&self, h: &HeaderMap) -> Result<Option<f64>, LimitFault> {
        self.limit.as_ref().map_or(Ok(None), |name| named_limit::read(h, name))
    }

    /// Reads whether an upstream announces its shutdown.
    ///
    /// # Errors
    /// Returns why the announcement is ignored.
    pub fn leaving(&self, h: &HeaderMap) -> Result<bool, LeavingFault> {
        signals::read_leaving(h, &self.leaving)
    }

    /// Returns whether an answer proves that the request did not run.
    #[must_use]
    pub fn is_not_run(&self, status: StatusCode, h: &HeaderMap) -> bool {
        h.contains_key(&self.not_run) || self.is_misdirected(status)
    }

    /// Returns whether another instance than the expected one has the address.
    #[must_use]
    pub fn is_misdirected(&self, status: StatusCode) -> bool {
        self.expect.is_some() && status == StatusCode::MISDIRECTED_REQUEST
    }

    /// Reads the time for which an upstream wants nothing from this box.
    ///
    /// # Errors
    /// Returns why the time is ignored.
    pub fn backoff(
        &self,
        status: StatusCode,
        h: &HeaderMap,
    ) -> Result<Option<Duration>, BackoffFault> {
        if !signals::may_ask_backoff(self, status, h) {
            return Ok(None);
        }
        signals::read_backoff(h)
    }

    /// Writes when a caller may retry.
    pub fn set_retry_after(&self, d: Duration, h: &mut HeaderMap) {
        match self.retry_form {
            RetryForm::WholeSeconds => {
                let secs = d.as_millis().div_ceil(1_000) as u64;
                h.insert(header::RETRY_AFTER, HeaderValue::from(secs));
                h.insert(headers::RETRY_AFTER_MS, HeaderValue::from(d.as_millis() as u64));
            }
            RetryForm::Fraction => {
                let text = format!("{:.3}", d.as_secs_f64());
                let value = HeaderValue::from_str(&text).expect("digits fit a header");
                h.insert(header::RETRY_AFTER, value);
            }
        }
    }
}

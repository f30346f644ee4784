//! Header names and formats spoken with callers and upstreams.
//!
//! The defaults are the product's own; the builder adapts them to other platforms.

use crate::gate::RequestOwner;
use crate::headers;
use crate::named_limit::{self, InvalidLimit};
use crate::signals::{self, InvalidBackoff, InvalidLoad, InvalidShutdown};
use honeypulley_policy::chooser::LoadReport;
use honeypulley_policy::organisations::KeyDigest;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};
use std::time::Duration;

/// Longest accepted key in bytes, which bounds the time spent on its digest.
const MAX_KEY: usize = 1_024;

/// Format of a load report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadFormat {
    /// Fraction of busy slots, as a decimal number.
    #[default]
    Share,
    /// Running requests, waiting requests and slots, separated by commas.
    Counts,
}

/// Format of `Retry-After`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RetryFormat {
    /// Whole seconds, with milliseconds in an additional header.
    #[default]
    WholeSeconds,
    /// Seconds with a fraction.
    Fraction,
}

/// Header names and formats.
#[derive(Clone, Debug, bon::Builder)]
pub struct Dialect {
    /// Request ID, as chosen by the caller.
    #[builder(default = headers::REQUEST_ID)]
    pub request: HeaderName,
    /// Attempt ID, which upstreams echo in their answers.
    #[builder(default = headers::ATTEMPT)]
    pub attempt: HeaderName,
    /// Whether the caller's value is used as the attempt ID.
    #[builder(default)]
    pub caller_attempt: bool,
    /// Whether each success has to echo the attempt ID.
    #[builder(default)]
    pub requires_echo: bool,
    /// Milliseconds left until the deadline.
    #[builder(default = headers::DEADLINE)]
    pub deadline: HeaderName,
    /// On an answer: the request was not run.
    #[builder(default = headers::NOT_RUN)]
    pub not_run: HeaderName,
    /// On an upstream's answer: its load.
    #[builder(default = headers::LOAD)]
    pub load: HeaderName,
    /// Format of the load.
    #[builder(default)]
    pub load_format: LoadFormat,
    /// On an upstream's answer: its rate limit over all boxes, if supported.
    pub limit: Option<HeaderName>,
    /// On an upstream's answer: the upstream is about to shut down.
    #[builder(default = headers::LEAVING)]
    pub leaving: HeaderName,
    /// On a request: the only instance that may run it, if supported.
    pub expect_instance: Option<HeaderName>,
    /// On an upstream's success: a header that must be present, if any.
    pub proof: Option<HeaderName>,
    /// Name of the caller, used for its rate limit.
    #[builder(default = headers::CALLER)]
    pub caller: HeaderName,
    /// Key of the caller, which is not forwarded, if organisations are supported.
    pub api_key: Option<HeaderName>,
    /// Organisation as forwarded to upstreams; values sent by callers are removed.
    pub organisation: Option<HeaderName>,
    /// Format of `Retry-After`.
    #[builder(default)]
    pub retry_format: RetryFormat,
    /// Whether the proxy's own answers state if the request was run.
    #[builder(default = true)]
    pub reports_outcome: bool,
    /// Whether the load, attempt ID and shutdown headers of upstreams are forwarded.
    #[builder(default)]
    pub keeps_headers: bool,
    /// Whether answers may be forwarded whose body ends with the connection that they close.
    #[builder(default)]
    pub allows_unframed: bool,
}

impl Default for Dialect {
    fn default() -> Self {
        Self::builder().build()
    }
}

impl Dialect {
    /// Returns the digest of a caller's key, if the request contains exactly one.
    #[must_use]
    pub fn key_of(&self, h: &HeaderMap) -> Option<KeyDigest> {
        let mut all = h.get_all(self.api_key.as_ref()?).iter();
        let one = all.next().filter(|v| !v.is_empty() && v.len() <= MAX_KEY)?;
        all.next().is_none().then(|| KeyDigest::of(one.as_bytes()))
    }

    /// Removes the caller's key and sets the organisation that it belongs to.
    pub fn set_organisation(&self, owner: &RequestOwner, h: &mut HeaderMap) {
        if *owner == RequestOwner::NotConfigured {
            return;
        }
        for name in [&self.api_key, &self.organisation].into_iter().flatten() {
            h.remove(name);
        }
        if let (Some(header), RequestOwner::Organisation { name, .. }) = (&self.organisation, owner)
        {
            let value =
                HeaderValue::from_str(name).expect("names are validated with their routing table");
            h.insert(header.clone(), value);
        }
    }

    /// Reads an upstream's load report, if there is one.
    ///
    /// # Errors
    /// Returns an [`InvalidLoad`] if the value is malformed or out of range.
    pub fn load(&self, h: &HeaderMap) -> Result<Option<LoadReport>, InvalidLoad> {
        let Some(value) = h.get(&self.load) else { return Ok(None) };
        let text = signals::text(value);
        let malformed = || InvalidLoad::Malformed(signals::excerpt(&text));
        let numbers: Option<Vec<f64>> = text.split(',').map(|p| p.trim().parse().ok()).collect();
        let numbers = numbers.ok_or_else(malformed)?;
        let report = match (self.load_format, numbers.as_slice()) {
            (LoadFormat::Share, &[busy]) => LoadReport::new(busy, 1.0),
            (LoadFormat::Counts, &[running, waiting, slots, ..]) => {
                // Each count is checked by itself, so that a negative one can't offset another.
                LoadReport::new(running, slots)
                    .and_then(|_| LoadReport::new(waiting, slots))
                    .and_then(|_| LoadReport::new(running + waiting, slots))
            }
            _ => return Err(malformed()),
        };
        Ok(Some(report?))
    }

    /// Reads the rate limit over all boxes that an upstream advertises, if any.
    ///
    /// # Errors
    /// Returns an [`InvalidLimit`] if the value is invalid.
    pub fn limit(&self, h: &HeaderMap) -> Result<Option<f64>, InvalidLimit> {
        self.limit.as_ref().map_or(Ok(None), |name| named_limit::read(h, name))
    }

    /// Returns whether an upstream announces its shutdown.
    ///
    /// # Errors
    /// Returns an [`InvalidShutdown`] if the value is invalid.
    pub fn leaving(&self, h: &HeaderMap) -> Result<bool, InvalidShutdown> {
        signals::read_shutdown(h, &self.leaving)
    }

    /// Returns whether an answer may belong to the attempt with this ID.
    ///
    /// Another ID shows that it does not. A success without one proves nothing where upstreams
    /// echo the ID in every answer.
    #[must_use]
    pub fn is_own_answer(&self, status: StatusCode, h: &HeaderMap, id: &HeaderValue) -> bool {
        let mut echoes = h.get_all(&self.attempt).iter().peekable();
        let is_missing = echoes.peek().is_none();
        let is_needed = self.requires_echo && status.is_success();
        echoes.all(|echo| echo == id) && !(is_missing && is_needed)
    }

    /// Returns whether an answer states that the request was not run.
    #[must_use]
    pub fn is_not_run(&self, status: StatusCode, h: &HeaderMap) -> bool {
        h.contains_key(&self.not_run) || self.is_misdirected(status)
    }

    /// Returns whether the request reached an instance other than the expected one.
    #[must_use]
    pub fn is_misdirected(&self, status: StatusCode) -> bool {
        self.expect_instance.is_some() && status == StatusCode::MISDIRECTED_REQUEST
    }

    /// Reads the backoff that an upstream requests from this box.
    ///
    /// # Errors
    /// Returns an [`InvalidBackoff`] if the value is invalid.
    pub fn backoff(
        &self,
        status: StatusCode,
        h: &HeaderMap,
    ) -> Result<Option<Duration>, InvalidBackoff> {
        if !signals::may_request_backoff(self, status, h) {
            return Ok(None);
        }
        signals::read_backoff(h)
    }

    /// Sets the headers that state when a caller may retry.
    pub fn set_retry_after(&self, d: Duration, h: &mut HeaderMap) {
        match self.retry_format {
            RetryFormat::WholeSeconds => {
                let secs = d.as_millis().div_ceil(1_000) as u64;
                h.insert(header::RETRY_AFTER, HeaderValue::from(secs));
                h.insert(headers::RETRY_AFTER_MS, HeaderValue::from(d.as_millis() as u64));
            }
            RetryFormat::Fraction => {
                let text = format!("{:.3}", d.as_secs_f64());
                let value = HeaderValue::from_str(&text).expect("digits are valid in a header");
                h.insert(header::RETRY_AFTER, value);
            }
        }
    }
}

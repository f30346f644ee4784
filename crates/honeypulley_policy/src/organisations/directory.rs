//! Which organisation holds a key.

use crate::collector::NameId;
use crate::fleet_limits::RateLimit;
use std::collections::hash_map::Entry;
use std::collections::{HashMap, HashSet};
use std::fmt;
use std::sync::Arc;

/// Digest of a caller's key; the key itself is kept nowhere.
///
/// Sixteen bytes of BLAKE3. Which key was asked for can't be told from the time of a look-up,
/// since keys are compared by their digests alone.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; 16]);

impl KeyDigest {
    /// Computes the digest of a key.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&blake3::hash(key).as_bytes()[..16]);
        Self(bytes)
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// One organisation as a table states it.
#[derive(Clone, PartialEq, bon::Builder)]
pub struct OrganisationSpec {
    /// Name, which upstreams receive.
    #[builder(into)]
    pub name: String,
    /// Keys of its callers.
    pub keys: Vec<String>,
    /// Rank of its requests, if it goes before that of their route; zero goes first.
    pub priority: Option<u8>,
    /// Requests a second over all boxes; zero for no limit.
    #[builder(default)]
    pub rate: f64,
    /// Requests on top of that at one time.
    #[builder(default)]
    pub burst: f64,
}

impl fmt::Debug for OrganisationSpec {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let keys = self.keys.len();
        f.debug_struct("OrganisationSpec")
            .field("name", &self.name)
            .field("keys", &keys)
            .finish_non_exhaustive()
    }
}

/// One organisation of a table in force.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// Its key in all that boxes count and tell.
    pub id: NameId,
    /// Its name.
    pub name: Arc<str>,
    /// Rank of its requests, if it goes before that of their route.
    pub priority: Option<u8>,
    /// What it may send, if that is limited.
    pub limit: Option<RateLimit>,
}

/// Why a table's organisations were refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OrganisationError {
    /// Two organisations have one name.
    #[error("organisation {0} stands there twice")]
    Twice(String),
    /// A name that fits no header.
    #[error("'{0}' is no name for an organisation: one to 255 visible ASCII characters")]
    Name(String),
    /// Two organisations hold one key.
    #[error("organisations {first} and {second} hold the same key")]
    SharedKey {
        /// The one that stands first.
        first: String,
        /// The other one.
        second: String,
    },
    /// A key is empty, and so would fit callers without one.
    #[error("organisation {0} holds an empty key")]
    EmptyKey(String),
    /// A rate or burst is negative or no number.
    #[error("organisation {name}: {what} {value}, expected a number from zero on")]
    Limit {
        /// The organisation.
        name: String,
        /// Which of its limits.
        what: &'static str,
        /// What stands there.
        value: String,
    },
}

/// All organisations of one table.
///
/// One of them with one key takes 133 bytes, its name of 21 included: 77 MB for the 580,000 to
/// build towards. A look-up takes 0.2 us, whether the key is held or not (`benches/keys.rs`).
#[derive(Clone, Debug, Default)]
pub struct Organisations {
    all: Vec<Organisation>,
    by_key: HashMap<KeyDigest, u32>,
}

impl Organisations {
    /// Builds the directory of one table.
    ///
    /// # Errors
    /// Returns the first organisation that can't be served; a table is taken whole or not.
    pub fn new(specs: Vec<OrganisationSpec>) -> Result<Self, OrganisationError> {
        let keys = specs.iter().map(|s| s.keys.len()).sum();
        let mut built =
            Self { all: Vec::with_capacity(specs.len()), by_key: HashMap::with_capacity(keys) };
        let mut names = HashSet::with_capacity(specs.len());
        for spec in specs {
            if !names.insert(spec.name.clone()) {
                return Err(OrganisationError::Twice(spec.name));
            }
            built.add(spec)?;
        }
        Ok(built)
    }

    fn add(&mut self, spec: OrganisationSpec) -> Result<(), OrganisationError> {
        let is_visible = spec.name.bytes().all(|b| b.is_ascii_graphic());
        if !is_visible || spec.name.is_empty() || spec.name.len() > MOST_NAME {
            return Err(OrganisationError::Name(spec.name));
        }
        let limit = limit(&spec)?;
        let place = self.all.len() as u32;
        for key in &spec.keys {
            if key.is_empty() {
                return Err(OrganisationError::EmptyKey(spec.name));
            }
            match self.by_key.entry(KeyDigest::of(key.as_bytes())) {
                Entry::Vacant(e) => {
                    e.insert(place);
                }
                Entry::Occupied(e) if *e.get() == place => {}
                Entry::Occupied(e) => {
                    let first = self.all[*e.get() as usize].name.to_string();
                    return Err(OrganisationError::SharedKey { first, second: spec.name });
                }
            }
        }
        self.all.push(Organisation {
            id: NameId::of(&spec.name),
            name: spec.name.into(),
            priority: spec.priority,
            limit,
        });
        Ok(())
    }

    /// Returns the organisation that holds a key.
    #[must_use]
    pub fn holder(&self, key: KeyDigest) -> Option<&Organisation> {
        self.by_key.get(&key).map(|&i| &self.all[i as usize])
    }

    /// Returns all of them.
    pub fn iter(&self) -> impl Iterator<Item = &Organisation> {
        self.all.iter()
    }

    /// Returns the limits of those that have one.
    pub fn limits(&self) -> impl Iterator<Item = (NameId, RateLimit)> {
        self.all.iter().filter_map(|o| Some((o.id, o.limit?)))
    }

    /// Returns how many there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Returns whether there is none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }
}

/// Longest name of an organisation, in bytes; it goes into a header.
const MOST_NAME: usize = 255;

/// Reads what an organisation may send; a rate of zero stands for no limit.
fn limit(spec: &OrganisationSpec) -> Result<Option<RateLimit>, OrganisationError> {
    for (what, value) in [("rate", spec.rate), ("burst", spec.burst)] {
        if !value.is_finite() || value < 0.0 {
            let (name, value) = (spec.name.clone(), value.to_string());
            return Err(OrganisationError::Limit { name, what, value });
        }
    }
    let limit = RateLimit { rate: spec.rate, burst: spec.burst };
    Ok((spec.rate > 0.0).then_some(limit))
}

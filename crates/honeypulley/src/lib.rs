//! An open-source proxy fleet for upstreams with gray failures.
//!
//! This facade re-exports the crates of the fleet. Most embedders need only
//! [`policy`], which makes all decisions without any I/O:
//!
//! ```
//! use honeypulley::policy::prelude::*;
//!
//! let mut router = Router::new("box1", "suva-1", 7);
//! router.set_services([ServiceSpec::builder().name("guestlist").build()]);
//! let member = Member {
//!     name: "g1".into(),
//!     service: "guestlist".into(),
//!     addr: "10.0.0.9:80".into(),
//!     hall: "suva-1".into(),
//!     state: MemberState::Live,
//! };
//! router.set_members(&[member], 1, Time::ZERO);
//! let service = router.service("guestlist").expect("the service was just set");
//! let pick = router.pick(service, true, &[], Time::ZERO)?;
//! assert_eq!(router.endpoint(pick.upstream), Some(("g1", "10.0.0.9:80")));
//! # Ok::<(), Refusal>(())
//! ```

pub use honeypulley_bundle as bundle;
pub use honeypulley_daemon as daemon;
pub use honeypulley_ini as ini;
pub use honeypulley_operator as operator;
pub use honeypulley_peer as peer;
pub use honeypulley_platform as platform;
pub use honeypulley_policy as policy;
pub use honeypulley_proxy as proxy;
pub use honeypulley_supervisor as supervisor;

/// Types and functions that most embedders need.
pub mod prelude {
    pub use honeypulley_bundle::prelude::*;
    pub use honeypulley_daemon::prelude::*;
    pub use honeypulley_platform::prelude::*;
    pub use honeypulley_policy::prelude::*;
}

//! Allocation of loopback ports for the programs of a fleet.

use eyre::{Result, WrapErr, eyre};
use std::collections::{BTreeMap, BTreeSet};
use std::io::ErrorKind;
use std::net::{Ipv4Addr, SocketAddr};
use std::ops::Range;
use std::os::linux::net::SocketAddrExt;
use std::os::unix::net::{SocketAddr as UnixAddr, UnixDatagram};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Range of ports for test fleets.
///
/// It lies below the kernel's range for outgoing connections, so that the kernel
/// assigns none of them between the choice of a port and its use.
const PORTS: Range<u16> = 10_000..32_000;

/// Ports that this process has allocated, with their reservations.
///
/// Tests start fleets concurrently, and a port looks free until the program that
/// it was allocated for has bound it. Ports are shared by the whole machine, so
/// the set is shared by all fleets of the process.
static ALLOCATED_PORTS: Mutex<Allocated> =
    Mutex::new(Allocated { drawn: BTreeSet::new(), reserved: BTreeMap::new(), bound: None });

/// Time for which the list of bound ports is used.
///
/// Reading it takes about 10 ms on a busy machine with many connections.
const BOUND_AGE: Duration = Duration::from_secs(1);

/// Ports that a process has drawn, and those that it has reserved.
#[derive(Debug)]
struct Allocated {
    drawn: BTreeSet<u16>,
    reserved: BTreeMap<u16, UnixDatagram>,
    /// Ports that were bound on the machine, and when.
    bound: Option<(Instant, BTreeSet<u16>)>,
}

/// Allocates a loopback port that is free for both TCP and UDP.
///
/// # Errors
/// Returns an error if no free port is found.
pub fn free_port() -> Result<SocketAddr> {
    free_port_in(PORTS)
}

/// Allocates a free loopback port of a range.
///
/// # Errors
/// Returns an error if no free port is found.
pub fn free_port_in(range: Range<u16>) -> Result<SocketAddr> {
    let mut allocated = ALLOCATED_PORTS.lock().unwrap_or_else(PoisonError::into_inner);
    let Allocated { drawn, reserved, bound } = &mut *allocated;
    let bound = match bound.take().filter(|(at, _)| at.elapsed() < BOUND_AGE) {
        Some(recent) => &bound.insert(recent).1,
        None => &bound.insert((Instant::now(), bound_ports()?)).1,
    };
    let loopback = |port| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
    let is_free = |port| {
        if bound.contains(&port) {
            return false;
        }
        let Some(reservation) = reserve(port) else { return false };
        reserved.insert(port, reservation);
        true
    };
    let port = choose_port(drawn, || fastrand::u16(range.clone()), is_free);
    port.map(loopback).ok_or_else(|| eyre!("no free port found in {range:?}"))
}

/// Returns the local ports of all open sockets.
///
/// The kernel's tables are read, since a socket bound as a probe would be copied into any process
/// that starts at the same time, and would keep the port in use until that process executes its
/// program.
fn bound_ports() -> Result<BTreeSet<u16>> {
    let mut ports = BTreeSet::new();
    for table in ["tcp", "tcp6", "udp", "udp6"] {
        let path = format!("/proc/net/{table}");
        let text = match std::fs::read_to_string(&path) {
            Ok(text) => text,
            // A kernel without IPv6 has no tables for it.
            Err(e) if e.kind() == ErrorKind::NotFound => continue,
            Err(e) => return Err(e).wrap_err(path),
        };
        let rows = text.lines().skip(1);
        let local = rows.filter_map(|row| row.split_whitespace().nth(1)?.rsplit(':').next());
        for port in local {
            ports.insert(u16::from_str_radix(port, 16).wrap_err_with(|| path.clone())?);
        }
    }
    Ok(ports)
}

/// Reserves a port among all processes until the socket is closed.
///
/// The abstract address exists once per network namespace, as the port does. The kernel frees it
/// when the process ends, however it ends. Returns `None` if another socket holds the reservation.
fn reserve(port: u16) -> Option<UnixDatagram> {
    let addr = UnixAddr::from_abstract_name(format!("fleet-port-{port}")).ok()?;
    UnixDatagram::bind_addr(&addr).ok()
}

/// Chooses a port that was not allocated before; `None` after a thousand failed draws.
///
/// An allocated port is not offered again, because it looks free until its program has bound it.
pub fn choose_port(
    allocated: &mut BTreeSet<u16>,
    mut draw: impl FnMut() -> u16,
    mut is_free: impl FnMut(u16) -> bool,
) -> Option<u16> {
    (0..1_000).find_map(|_| {
        let port = draw();
        (allocated.insert(port) && is_free(port)).then_some(port)
    })
}

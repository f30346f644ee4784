//! Allocation of ports for the programs that tests start.

use eyre::{OptionExt, Result};
use fleet::ports::free_port_in;
use fleet::{choose_port, free_port};
use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Write, stdin, stdout};
use std::net::{Ipv4Addr, TcpListener};
use std::ops::Range;
use std::os::linux::net::SocketAddrExt;
use std::os::unix::net::{SocketAddr, UnixDatagram};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Ports below the kernel's range for outgoing connections that no fleet uses.
const CONTESTED: Range<u16> = 32_000..32_020;
/// Ports of which one is bound, for the same reason.
const BINDABLE: Range<u16> = 32_020..32_040;
/// Time after which bound ports are looked up again.
const LOOKUP_TIME: Duration = Duration::from_millis(1_100);
/// Ports that each of two processes allocates.
const SHARE: usize = 10;
/// Ports that are bound while processes start.
const BOUND_PORTS: usize = 800;
/// Tells a process that it is the second one.
const SECOND: &str = "FLEET_PORTS_SECOND";
/// Starts the line on which the second process lists its ports.
const LISTED: &str = "ports: ";

/// Guards against probing an allocated port.
///
/// A box that bound its port during such a probe by another test failed to start.
#[test]
fn an_allocated_port_is_not_probed_again() {
    let mut allocated = BTreeSet::from([10_001, 10_002]);
    let mut candidates = [10_001, 10_002, 10_003, 10_004].into_iter();
    let mut probed = Vec::new();
    let port = choose_port(
        &mut allocated,
        || candidates.next().expect("chosen within four draws"),
        |p| {
            probed.push(p);
            p == 10_004
        },
    );
    assert_eq!(port, Some(10_004));
    assert_eq!(probed, [10_003, 10_004], "only unallocated ports are probed");
}

fn allocate(n: usize) -> Result<BTreeSet<u16>> {
    (0..n).map(|_| Ok(free_port_in(CONTESTED)?.port())).collect()
}

/// Runs the second process: lists its ports and waits until its input is closed.
fn run_second() -> Result<()> {
    let ports = allocate(SHARE)?;
    let list: Vec<String> = ports.iter().map(ToString::to_string).collect();
    writeln!(stdout(), "\n{LISTED}{}", list.join(","))?;
    stdin().read_line(&mut String::new())?;
    Ok(())
}

fn listed_ports(second: &mut Child) -> Result<BTreeSet<u16>> {
    let out = second.stdout.take().ok_or_eyre("the output is piped")?;
    let mut lines = BufReader::new(out).lines().map_while(Result::ok);
    let line = lines.find_map(|l| l.strip_prefix(LISTED).map(str::to_owned));
    let list = line.ok_or_eyre("the second process lists its ports")?;
    list.split(',').map(|p| Ok(p.parse()?)).collect()
}

/// Guards against two test processes that allocate the same port before either program binds it.
///
/// The box that bound its port last failed to start.
#[test]
fn two_processes_allocate_different_ports() -> Result<()> {
    if std::env::var_os(SECOND).is_some() {
        return run_second();
    }
    let mut second = Command::new(std::env::current_exe()?)
        .args(["--exact", "two_processes_allocate_different_ports", "--nocapture"])
        .env(SECOND, "1")
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()?;
    let theirs = listed_ports(&mut second)?;
    let ours = allocate(SHARE)?;
    assert_eq!((ours.len(), theirs.len()), (SHARE, SHARE));
    assert!(ours.is_disjoint(&theirs), "both processes were given {:?}", &ours & &theirs);
    assert!(allocate(1).is_err(), "every port is allocated");
    second.kill()?;
    second.wait()?;
    Ok(())
}

/// Guards against reservations of ports that this process can't use.
///
/// Each kept a socket open, and took the port from other processes once it was free again.
#[test]
fn a_bound_port_is_not_reserved() -> Result<()> {
    let bind = |port: u16| Some((port, TcpListener::bind((Ipv4Addr::LOCALHOST, port)).ok()?));
    let (port, _listener) = BINDABLE.into_iter().find_map(bind).ok_or_eyre("a port is free")?;
    std::thread::sleep(LOOKUP_TIME);
    assert!(free_port_in(port..port + 1).is_err(), "port {port} is bound");
    let name = SocketAddr::from_abstract_name(format!("fleet-port-{port}"))?;
    assert!(UnixDatagram::bind_addr(&name).is_ok(), "port {port} is reserved");
    Ok(())
}

/// Guards against a probe whose socket outlives it in a process that is being started.
///
/// Such a process has copies of all sockets until it executes its program.
#[test]
fn a_port_can_be_bound_while_processes_start() -> Result<()> {
    let is_done = AtomicBool::new(false);
    let start_processes = || {
        while !is_done.load(Ordering::Relaxed) {
            let ended = Command::new("true").status();
            assert!(ended.is_ok_and(|s| s.success()));
        }
    };
    let bind_ports = || -> Result<usize> {
        let bind = || Ok(TcpListener::bind(free_port()?).is_err());
        let failed: Result<Vec<bool>> = (0..BOUND_PORTS).map(|_| bind()).collect();
        Ok(failed?.into_iter().filter(|f| *f).count())
    };
    let failed = std::thread::scope(|s| {
        (0..3).for_each(|_| _ = s.spawn(start_processes));
        let failed = bind_ports();
        is_done.store(true, Ordering::Relaxed);
        failed
    })?;
    assert_eq!(failed, 0, "of {BOUND_PORTS} ports");
    Ok(())
}

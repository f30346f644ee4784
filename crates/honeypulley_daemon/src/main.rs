//! The daemon of one box.

use clap::Command;
use honeypulley_daemon::program::{self, Program};
use honeypulley_daemon::start;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> std::process::ExitCode {
    let command = Command::new("honeypulleyd")
        .about("Proxies requests and sessions from callers to upstreams on one box");
    let program =
        Program { check: start::check, name: |s| &s.name, run: |_, settings| start::run(settings) };
    program::main(command, program)
}

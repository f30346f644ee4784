//! The operators' tool.

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> std::process::ExitCode {
    let args = honeypulley_operator::cli::command().get_matches();
    match honeypulley_operator::cli::run(&args) {
        Ok(()) => std::process::ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("honeypulley: {e:#}");
            std::process::ExitCode::FAILURE
        }
    }
}

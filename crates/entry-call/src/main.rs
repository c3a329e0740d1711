//! Command-line program that submits a job and prints the answer.

use std::io::Read;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use anyhow::Context;
use gannetridge_entry_call::job::current_attempt;
use gannetridge_entry_call::{CallerSettings, JobFile, Reply, Sender};
use gannetridge_entry_wire::{Submission, SubmissionId};
use gannetridge_net::runtime;
use gannetridge_process::start::exit_code;
use gumdrop::Options;
use rand::Rng;

/// Submits a job and prints its answer.
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "the settings file, TOML", meta = "FILE")]
    settings: Option<PathBuf>,
    #[options(free, help = "the job file, JSON; `-` for the standard input")]
    job: Option<PathBuf>,
    #[options(help = "the key of the new id; random by default", meta = "KEY")]
    key: Option<String>,
    #[options(
        help = "resend the job under the id of an earlier submission",
        meta = "ID"
    )]
    id: Option<String>,
    #[options(no_short, help = "print the checked settings and exit")]
    print_settings: bool,
}

/// The exit code for an answer without results.
const EXIT_NO_RESULTS: u8 = 2;

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    exit_code("gannetridge-call", run(&arguments))
}

/// Runs the program. Returns [`EXIT_NO_RESULTS`] for an answer without results,
/// and an error if there is no answer.
fn run(arguments: &Arguments) -> anyhow::Result<ExitCode> {
    let path = arguments
        .settings
        .as_ref()
        .context("--settings FILE is needed")?;
    let settings: CallerSettings = gannetridge_process::settings::read(path)?;
    if arguments.print_settings {
        println!("{}", serde_json::to_string_pretty(&settings)?);
        return Ok(ExitCode::SUCCESS);
    }
    let path = arguments
        .job
        .as_ref()
        .context("a job file, or `-`, is needed")?;
    let submission = build_submission(JobFile::read(&read_text(path)?)?, arguments)?;
    let sender = Sender::new(settings)?;
    eprintln!("id: {}", submission.id);
    let reply = runtime::run(async move { sender.send(submission).await })??;
    print_reply(&reply);
    if reply.status.is_success() {
        return Ok(ExitCode::SUCCESS);
    }
    Ok(ExitCode::from(EXIT_NO_RESULTS))
}

/// Reads a file, or the standard input for `-`.
fn read_text(path: &Path) -> anyhow::Result<String> {
    if path != Path::new("-") {
        return std::fs::read_to_string(path)
            .with_context(|| format!("can't read {}", path.display()));
    }
    let mut text = String::new();
    std::io::stdin().read_to_string(&mut text)?;
    Ok(text)
}

fn build_submission(job: JobFile, arguments: &Arguments) -> anyhow::Result<Submission> {
    if let Some(id) = &arguments.id {
        let id: SubmissionId = id.parse()?;
        let mut submission = job.into_submission_with_id(id);
        submission.attempt = current_attempt(&submission.id);
        return Ok(submission);
    }
    let random = || format!("{:016x}", rand::rng().random::<u64>());
    let key = arguments.key.clone().unwrap_or_else(random);
    Ok(job.into_submission(&key)?)
}

fn print_reply(reply: &Reply) {
    eprintln!(
        "status: {}, sent {} times",
        reply.status.as_u16(),
        reply.sent
    );
    println!("{}", reply.body);
}

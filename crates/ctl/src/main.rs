//! The operators' command-line client. Runs one command, a script from standard input,
//! or an interactive prompt.

use std::io::{BufRead, IsTerminal};
use std::net::SocketAddr;
use std::process::ExitCode;

use clap::{Parser, ValueEnum};
use cottoncrank::Millis;
use cottoncrank::command::{UnspeakableWord, join_words};
use cottoncrank::wire::{Command, Reply};
use cottoncrank_net::client::{CallError, Client, Traffic};
use rustyline::error::ReadlineError;
use thiserror::Error;

/// Timeout of a command. The controller answers a change only once it is in force on the
/// nodes, or after 4 s.
const COMMAND_TIMEOUT: Millis = Millis(15_000);

/// Shows the state of a cottoncrank fleet and changes its configuration.
///
/// Exit codes: 0 success, 1 command refused, 2 usage error, 3 controller not reachable.
#[derive(Debug, Parser)]
#[command(version)]
struct Args {
    /// The address of any controller of the fleet.
    #[arg(long, value_name = "IP:PORT", env = "COTTONCRANK_CONTROLLER")]
    controller: SocketAddr,
    /// The output format.
    #[arg(long, value_enum, default_value_t = Output::Table)]
    output: Output,
    /// Apply all changes on standard input atomically.
    #[arg(long)]
    batch: bool,
    /// The command; if absent, commands are read line by line from standard input.
    command: Vec<String>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum Output {
    Table,
    Json,
}

#[derive(Debug, Error)]
enum CtlError {
    #[error("refused")]
    Refused,
    #[error("{0}")]
    Usage(#[from] UnspeakableWord),
    #[error("{0}")]
    Call(#[from] CallError),
    #[error("{0}")]
    Io(#[from] std::io::Error),
    #[error("{0}")]
    Prompt(#[from] ReadlineError),
}

impl CtlError {
    fn code(&self) -> ExitCode {
        match self {
            CtlError::Refused | CtlError::Prompt(_) => ExitCode::from(1),
            CtlError::Usage(_) => ExitCode::from(2),
            CtlError::Call(_) | CtlError::Io(_) => ExitCode::from(3),
        }
    }
}

struct Session {
    runtime: tokio::runtime::Runtime,
    client: Client,
    controller: SocketAddr,
    output: Output,
}

fn main() -> ExitCode {
    match run(Args::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(CtlError::Refused) => CtlError::Refused.code(),
        Err(error) => {
            eprintln!("cottoncrank-ctl: {error}");
            error.code()
        }
    }
}

fn run(args: Args) -> Result<(), CtlError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let client = Client::new(Traffic::default());
    let session = Session { runtime, client, controller: args.controller, output: args.output };
    if !args.command.is_empty() {
        return session.execute(&read_line(&args.command)?);
    }
    if args.batch {
        return session.execute(&std::io::read_to_string(std::io::stdin())?);
    }
    match std::io::stdin().is_terminal() {
        true => session.prompt(),
        false => session.script(),
    }
}

/// Returns the line that the arguments stand for. A single argument is a whole line.
fn read_line(words: &[String]) -> Result<String, UnspeakableWord> {
    match words {
        [line] => Ok(line.clone()),
        words => join_words(words),
    }
}

impl Session {
    fn execute(&self, line: &str) -> Result<(), CtlError> {
        let command = Command { line: line.to_owned() };
        let call = self.client.call(self.controller, "/command", &command, COMMAND_TIMEOUT);
        let reply: Reply = self.runtime.block_on(call)?;
        match self.output {
            Output::Table if reply.ok => print_table(&reply),
            Output::Table => eprintln!("{}", reply.table.rows.concat().join("\n")),
            Output::Json => println!("{}", serde_json::json!(reply)),
        }
        if reply.ok { Ok(()) } else { Err(CtlError::Refused) }
    }

    /// Executes each line of standard input and stops at the first that is refused.
    fn script(&self) -> Result<(), CtlError> {
        for line in std::io::stdin().lock().lines() {
            self.execute(&line?)?;
        }
        Ok(())
    }

    fn prompt(&self) -> Result<(), CtlError> {
        let mut editor = rustyline::DefaultEditor::new()?;
        loop {
            let line = match editor.readline("cottoncrank> ") {
                Ok(line) => line,
                Err(ReadlineError::Eof | ReadlineError::Interrupted) => return Ok(()),
                Err(error) => return Err(error.into()),
            };
            if matches!(line.trim(), "quit" | "exit") {
                return Ok(());
            }
            editor.add_history_entry(&line)?;
            match self.execute(&line) {
                Ok(()) | Err(CtlError::Refused) => {}
                Err(error) => eprintln!("{error}"),
            }
        }
    }
}

/// Prints a reply. A table with a single column is a message and is printed without a header.
fn print_table(reply: &Reply) {
    match reply.table.columns.len() {
        0 => {}
        1 => println!("{}", reply.table.rows.concat().join("\n")),
        _ => print!("{}", reply.table),
    }
}

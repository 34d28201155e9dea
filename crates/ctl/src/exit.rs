//! Exit codes and error reports of commands.

use std::process::ExitCode;

use kspan_operator::Error;

/// Result of a command, which determines the exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Exit {
    /// The command succeeded.
    Done,
    /// The input is invalid, or a request was refused.
    Refused,
    /// The arguments are invalid, or a file can't be read.
    Usage,
    /// The log or a process could not be reached; nothing was changed.
    Unreachable,
    /// The outcome of a change is unknown, or processes are lagging or not ready.
    Unresolved,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(match exit {
            Exit::Done => 0,
            Exit::Refused => 1,
            Exit::Usage => 2,
            Exit::Unreachable => 3,
            Exit::Unresolved => 4,
        })
    }
}

/// Prints why a command failed and what to do next, and returns `exit`.
pub(crate) fn fail(exit: Exit, message: &str, next: &str) -> Exit {
    eprintln!("kspanctl: {message}");
    eprintln!("kspanctl: next: {next}");
    exit
}

/// Reports that the log or a process could not be reached.
pub(crate) fn unreachable(err: &Error) -> Exit {
    fail_with_error(Exit::Unreachable, err)
}

/// Prints an error and what to do next, and returns `exit`.
pub(crate) fn fail_with_error(exit: Exit, err: &Error) -> Exit {
    let next = match err {
        Error::Log(_) => "check --log or KSPAN_LOG, and that the log service is running",
        Error::Process(..) => "run `kspanctl status` to see which processes respond",
        Error::NoMember(_) => "start the cell's processes, or wait until they have joined",
    };
    fail(exit, &err.to_string(), next)
}

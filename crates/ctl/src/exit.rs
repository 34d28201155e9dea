//! How a command ends.

use std::process::ExitCode;

use kspan_operator::Error;

/// End of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Exit {
    /// Done.
    Done,
    /// Refused by a rule, or faulty.
    Refused,
    /// The arguments or a file can't be used.
    Usage,
    /// Something could not be reached; nothing was changed.
    Unreachable,
    /// It is not known yet what became of the change.
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

/// Tells why a command failed and what to do next.
pub(crate) fn fail(exit: Exit, message: &str, next: &str) -> Exit {
    eprintln!("kspanctl: {message}");
    eprintln!("kspanctl: next: {next}");
    exit
}

/// Tells why something could not be reached.
pub(crate) fn unreachable(err: &Error) -> Exit {
    let next = match err {
        Error::Log(_) => "check --log or KSPAN_LOG, and that the log service is up",
        Error::Process(..) => "see `kspanctl status` for the processes that answer",
        Error::NoMember(_) => "start the cell's processes, or wait until they have joined",
    };
    fail(Exit::Unreachable, &err.to_string(), next)
}

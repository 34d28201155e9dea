//! Publishing: appends of an operator's records, each resolved to what became of it.

use kspan_contract::log::AppendOutcome;
use kspan_fold::{Body, Record, RecordId, Verdict};
use kspan_model::{Millis, Name, UnixMillis};

use crate::{
    cell::{CellClient, Met},
    error::{Error, Result},
};

/// First words of the comment that names the version a text was edited from.
pub const BASE_COMMENT_PREFIX: &str = "# edited from version:";

/// Appends tried, each only after the log was read without finding the one before.
const MAX_APPENDS: u32 = 5;

/// Time between a lost answer and reading on for its record.
const READ_ON_AFTER: Millis = Millis(300);

/// What became of a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublishOutcome {
    /// It was accepted at this offset.
    Accepted {
        /// Offset; the version, for a document.
        offset: u64,
    },
    /// It stands in the log and every process refuses it.
    Refused {
        /// Offset.
        offset: u64,
        /// Why.
        reason: Name,
    },
    /// It certainly did not reach the log.
    NotPublished {
        /// Why.
        reason: Name,
    },
    /// Its answer was lost and the log can't be read on yet. Ask again with the same id.
    InDoubt {
        /// Id of the record.
        id: RecordId,
    },
}

impl CellClient {
    /// Appends `body` in the name of `author` and finds out what became of it.
    ///
    /// After a lost answer the log is read on before anything is appended again, and the record
    /// keeps its id, so that it can take effect only once.
    ///
    /// # Errors
    ///
    /// Returns an error where the log can't be read before the first append.
    ///
    /// # Panics
    ///
    /// Panics where the record can't be written as JSON, which plain data always can.
    pub async fn publish(&mut self, author: &Name, body: Body) -> Result<PublishOutcome> {
        self.refresh().await?;
        let record = Record {
            id: RecordId::from(rand::random::<u128>()),
            by: author.clone(),
            written: unix_now(),
            body,
        };
        let text = serde_json::to_string(&record).expect("a record is plain data");
        let mut lost = false;
        for _ in 0..MAX_APPENDS {
            match self.log().append(&text).await {
                AppendOutcome::Appended { offset } => {
                    return Ok(self
                        .resolve(record.id)
                        .await?
                        .unwrap_or(PublishOutcome::Accepted { offset }));
                }
                AppendOutcome::TooLarge => return Ok(not_published("the record is too large")),
                AppendOutcome::Throttled { after } => tokio::time::sleep(after).await,
                AppendOutcome::Unavailable if !lost => return Ok(not_published("the log is down")),
                AppendOutcome::Unavailable | AppendOutcome::Lost => {
                    lost = true;
                    tokio::time::sleep(READ_ON_AFTER.as_duration()).await;
                }
            }
            if lost {
                match self.resolve(record.id).await {
                    Ok(Some(published)) => return Ok(published),
                    Ok(None) => {}
                    Err(Error::Log(_)) => return Ok(PublishOutcome::InDoubt { id: record.id }),
                    Err(err) => return Err(err),
                }
            }
        }
        Ok(if lost {
            PublishOutcome::InDoubt { id: record.id }
        } else {
            not_published("the log's append rate is used up")
        })
    }

    async fn resolve(&mut self, id: RecordId) -> Result<Option<PublishOutcome>> {
        Ok(self.read_until(Some(id)).await?.map(published))
    }
}

fn published(met: Met) -> PublishOutcome {
    let offset = met.offset;
    match met.verdict {
        Verdict::Accepted | Verdict::Unchanged => PublishOutcome::Accepted { offset },
        Verdict::Refused(reason) => PublishOutcome::Refused { offset, reason },
        Verdict::Poisoned => PublishOutcome::Refused {
            offset,
            reason: "it is no record".into(),
        },
    }
}

fn not_published(reason: &str) -> PublishOutcome {
    PublishOutcome::NotPublished {
        reason: reason.into(),
    }
}

fn unix_now() -> UnixMillis {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let millis = since.map_or(0, |span| span.as_millis());
    UnixMillis(u64::try_from(millis).unwrap_or(u64::MAX))
}

/// Returns the version that a text says it was edited from.
///
/// # Examples
///
/// ```
/// use kspan_operator::{parse_base_version, with_base_version};
///
/// let text = with_base_version("cell: small\n", 42);
/// assert_eq!(parse_base_version(&text), Some(42));
/// assert_eq!(parse_base_version(&with_base_version(&text, 43)), Some(43));
/// assert_eq!(parse_base_version("cell: small\n"), None);
/// ```
pub fn parse_base_version(text: &str) -> Option<u64> {
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix(BASE_COMMENT_PREFIX))?;
    line.trim().parse().ok()
}

/// Returns a text whose first line names the version that it is edited from.
pub fn with_base_version(text: &str, base: u64) -> String {
    let rest: Vec<&str> = text
        .lines()
        .filter(|line| !line.starts_with(BASE_COMMENT_PREFIX))
        .collect();
    format!("{BASE_COMMENT_PREFIX} {base}\n{}\n", rest.join("\n"))
}

//! Appends operators' records to the log and determines the outcome of each append.

use kspan_contract::log::AppendOutcome;
use kspan_fold::{Body, Record, RecordId, Verdict};
use kspan_model::{Millis, Name, UnixMillis};

use crate::{
    cell::{CellClient, FoundRecord},
    error::{Error, Result},
};

/// Prefix of the comment that states the version from which a text was edited.
pub const BASE_COMMENT_PREFIX: &str = "# edited from version:";

/// Maximum number of append attempts. An append that is in doubt is repeated only after the log was
/// read to its end without finding the record.
const MAX_APPEND_ATTEMPTS: u32 = 5;

/// Delay between a lost answer and the search for its record in the log.
const SEARCH_DELAY: Millis = Millis(300);

/// Outcome of publishing a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublishOutcome {
    /// The record was accepted.
    Accepted {
        /// Offset of the record, which is also the version of a published document.
        offset: u64,
    },
    /// The record is in the log, but every process refuses it.
    Refused {
        /// Offset of the record.
        offset: u64,
        /// Reason.
        reason: Name,
    },
    /// The record was not appended to the log.
    NotPublished {
        /// Reason.
        reason: Name,
    },
    /// The answer was lost, and the record was not found in the log or the log can't be read. The
    /// record may still appear in the log under its id.
    InDoubt {
        /// Id of the record.
        id: RecordId,
    },
}

impl CellClient {
    /// Appends `body` on behalf of `author` and determines the outcome.
    ///
    /// After a lost answer the log is read to its end before the append is repeated. The record
    /// keeps its id, so that it takes effect at most once.
    ///
    /// # Errors
    ///
    /// Returns an error if the log can't be read before the first append, or after an append that
    /// was answered with an offset.
    ///
    /// # Panics
    ///
    /// Never panics in practice: every record can be serialised as JSON.
    pub async fn publish(&mut self, author: &Name, body: Body) -> Result<PublishOutcome> {
        self.refresh().await?;
        let record = Record {
            id: RecordId::from(rand::random::<u128>()),
            by: author.clone(),
            written: unix_now(),
            body,
        };
        let text = serde_json::to_string(&record).expect("a record can be serialised as JSON");
        let mut lost = false;
        for _ in 0..MAX_APPEND_ATTEMPTS {
            match self.log().append(&text).await {
                AppendOutcome::Appended { offset } => {
                    return Ok(self
                        .find_outcome(record.id)
                        .await?
                        .unwrap_or(PublishOutcome::Accepted { offset }));
                }
                AppendOutcome::TooLarge => {
                    return Ok(not_published("the record exceeds the log's size limit"));
                }
                AppendOutcome::Throttled { after } => tokio::time::sleep(after).await,
                AppendOutcome::Unavailable if !lost => return Ok(not_published("the log is down")),
                AppendOutcome::Unavailable | AppendOutcome::Lost => {
                    lost = true;
                    tokio::time::sleep(SEARCH_DELAY.as_duration()).await;
                }
            }
            if lost {
                match self.find_outcome(record.id).await {
                    Ok(Some(outcome)) => return Ok(outcome),
                    Ok(None) => {}
                    Err(Error::Log(_)) => return Ok(PublishOutcome::InDoubt { id: record.id }),
                    Err(err) => return Err(err),
                }
            }
        }
        Ok(if lost {
            PublishOutcome::InDoubt { id: record.id }
        } else {
            not_published("the log's append rate limit is exhausted")
        })
    }

    async fn find_outcome(&mut self, id: RecordId) -> Result<Option<PublishOutcome>> {
        Ok(self.read_to_end(Some(id)).await?.map(outcome_of))
    }
}

fn outcome_of(found: FoundRecord) -> PublishOutcome {
    let offset = found.offset;
    match found.verdict {
        Verdict::Accepted | Verdict::Unchanged => PublishOutcome::Accepted { offset },
        Verdict::Refused(reason) => PublishOutcome::Refused { offset, reason },
        Verdict::Poisoned => PublishOutcome::Refused {
            offset,
            reason: "the entry can't be parsed as a record".into(),
        },
    }
}

fn not_published(reason: &str) -> PublishOutcome {
    PublishOutcome::NotPublished {
        reason: reason.into(),
    }
}

fn unix_now() -> UnixMillis {
    let elapsed = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let millis = elapsed.map_or(0, |duration| duration.as_millis());
    UnixMillis(u64::try_from(millis).unwrap_or(u64::MAX))
}

/// Returns the version from which a text was edited, according to its comment.
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

/// Returns the text with a first line that states the version from which it is edited.
pub fn with_base_version(text: &str, base: u64) -> String {
    let rest: Vec<&str> = text
        .lines()
        .filter(|line| !line.starts_with(BASE_COMMENT_PREFIX))
        .collect();
    format!("{BASE_COMMENT_PREFIX} {base}\n{}\n", rest.join("\n"))
}

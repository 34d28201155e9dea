//! Status of the cell's processes.

use kspan_model::Member;
use ntex::http::Method;
use serde::Serialize;
use serde_json::Value;

use crate::cell::CellClient;

/// A number from a process's dump.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReportedValue {
    /// The reported number.
    Known(u64),
    /// The request failed, or the dump does not contain the number.
    Unknown,
}

/// Status of one process.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct MemberStatus {
    /// The process.
    pub member: Member,
    /// Whether `/readyz` responds with success.
    pub ready: bool,
    /// Version of the document in force at the process.
    pub document: ReportedValue,
    /// Log offset up to which the process has applied records.
    pub applied: ReportedValue,
    /// Dump of the process; null if the request failed.
    pub dump: Value,
}

impl MemberStatus {
    /// Returns whether the process has `version` or a later one in force.
    pub fn has_document(&self, version: u64) -> bool {
        matches!(self.document, ReportedValue::Known(known) if known >= version)
    }
}

impl CellClient {
    /// Requests the dump and readiness of every member, one after another.
    pub async fn fetch_member_statuses(&self) -> Vec<MemberStatus> {
        let mut statuses = Vec::new();
        for member in &self.state().view.members {
            statuses.push(self.fetch_member_status(member).await);
        }
        statuses
    }

    async fn fetch_member_status(&self, member: &Member) -> MemberStatus {
        let ready = self.request(member.admin, Method::GET, "/readyz").await;
        let dump = self.request(member.admin, Method::GET, "/dump").await;
        let dump = dump.map_or(Value::Null, |response| response.body);
        MemberStatus {
            member: member.clone(),
            ready: ready.is_ok_and(|response| response.status == 200),
            document: reported_value(&dump, "document_version"),
            applied: reported_value(&dump, "applied"),
            dump,
        }
    }
}

fn reported_value(dump: &Value, key: &str) -> ReportedValue {
    let log = dump.get("log").unwrap_or(dump);
    log.get(key)
        .and_then(Value::as_u64)
        .map_or(ReportedValue::Unknown, ReportedValue::Known)
}

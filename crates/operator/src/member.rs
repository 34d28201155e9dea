//! What each process reports of itself.

use kspan_model::Member;
use ntex::http::Method;
use serde::Serialize;
use serde_json::Value;

use crate::cell::CellClient;

/// A number that a process reports, if it could be asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReportedValue {
    /// What it reported.
    Known(u64),
    /// It could not be asked, or reports no such number.
    Unknown,
}

/// What one process reports.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct MemberStatus {
    /// The process.
    pub member: Member,
    /// Whether it answers `/readyz` with success.
    pub ready: bool,
    /// Version of the document in force in it.
    pub document: ReportedValue,
    /// Offset that it has applied.
    pub applied: ReportedValue,
    /// Its whole dump; null where it could not be asked.
    pub dump: Value,
}

impl MemberStatus {
    /// Returns whether the process has `version` or a later one in force.
    pub fn has_document(&self, version: u64) -> bool {
        matches!(self.document, ReportedValue::Known(known) if known >= version)
    }
}

impl CellClient {
    /// Asks every member for its dump and readiness.
    pub async fn fetch_member_statuses(&self) -> Vec<MemberStatus> {
        let mut statuses = Vec::new();
        for member in &self.state().view.members {
            statuses.push(self.member_status(member).await);
        }
        statuses
    }

    async fn member_status(&self, member: &Member) -> MemberStatus {
        let ready = self.request(member.admin, Method::GET, "/readyz").await;
        let dump = self.request(member.admin, Method::GET, "/dump").await;
        let dump = dump.map_or(Value::Null, |answer| answer.body);
        MemberStatus {
            member: member.clone(),
            ready: ready.is_ok_and(|answer| answer.status == 200),
            document: reading(&dump, "document_version"),
            applied: reading(&dump, "applied"),
            dump,
        }
    }
}

fn reading(dump: &Value, key: &str) -> ReportedValue {
    let log = dump.get("log").unwrap_or(dump);
    log.get(key)
        .and_then(Value::as_u64)
        .map_or(ReportedValue::Unknown, ReportedValue::Known)
}

//! Authorization of callers' requests by their API keys.
//!
//! The owner decides by the configuration in force, and only while that is known to be current. A
//! key that was withdrawn is therefore refused also by an owner that was suspended or cut off.

use kspan_jobs::team::Access;
use kspan_model::Name;

use super::Owner;
use crate::{
    message::{ApiKey, CallResponse, JobCall},
    telemetry,
};

/// Result of an authorization: the caller's team if there is one, or the response to the caller.
pub(super) type Result<T> = std::result::Result<T, CallResponse>;

impl Owner {
    /// Checks the key of a request. Requests to an unknown queue pass, because they are answered
    /// alike whatever their key.
    ///
    /// # Errors
    ///
    /// Returns the response to a request that is not allowed, or whose key cannot be checked now.
    pub(super) fn authorize(&self, call: &JobCall) -> Result<Option<Name>> {
        let engine = self.engine.borrow();
        let (host, path) = (&call.host, &call.path);
        let key = call.key.as_ref().map(|ApiKey(key)| key.as_str());
        let Some(access) = engine.access(host, path, key) else {
            return Ok(None);
        };
        if !engine.needs_key(host, path) {
            return Ok(match access {
                Access::Granted(team) => team,
                Access::UnknownKey => None,
            });
        }
        if !self.is_config_current() {
            return Err(self.refuse_for_outdated_config(path));
        }
        let Access::Granted(team) = access else {
            let why = if key.is_some() {
                "unknown key"
            } else {
                "no key"
            };
            self.log_refused_key(path, why);
            return Err(CallResponse::new(401));
        };
        let job = engine.find_queue(host, path).and_then(|(_, job)| job);
        let owner = job.and_then(|job| engine.team_of(job));
        if owner.is_some() && owner != team.as_ref() {
            self.log_refused_key(path, "job of another team");
            return Err(CallResponse::new(403));
        }
        Ok(team)
    }

    fn log_refused_key(&self, path: &str, why: &'static str) {
        telemetry::record_refused_key(why);
        if self.node.log_limit.allows("key", self.now()) {
            let job = path.rsplit('/').next().unwrap_or(path);
            let version = self.config_version();
            let config_age_ms = self.config_age().map(|age| age.0);
            tracing::info!(job, why, version, config_age_ms, "caller's key refused");
        }
    }
}

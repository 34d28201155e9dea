//! Messages to and from routers and other schedulers.

use std::collections::BTreeMap;

use kspan_model::{Millis, Name, NodeId, Resources, Role};
use kspan_wire::message::tasks::{
    Message, ShardSummary, StatusQuery, StatusReply, StatusResult, StatusTarget,
};

use super::{Action, Core, OwnerSummary};

/// Interval at which runner table versions and shard summaries are sent.
const GOSSIP_INTERVAL: Millis = Millis(1_000);

impl Core {
    /// Handles a message from another member.
    pub fn handle_message(&mut self, from: &NodeId, message: Message, now: Millis) {
        match message {
            Message::RunnerTableRequest { shard } => self.send_runner_table(&shard, from),
            Message::Summary(summary) => self.record_summary(from, summary, now),
            Message::StatusQuery(query) => {
                let reply = StatusReply {
                    seq: query.seq,
                    result: self.answer_query(&query.target),
                };
                self.send(from, Message::StatusReply(reply));
            }
            Message::StatusReply(StatusReply { seq, result }) => {
                self.actions.push(Action::DeliverReply { seq, result });
            }
            Message::RunnerTable(_) | Message::RunnerTableVersion(_) => {}
        }
    }

    /// Sends a query to the owner of a shard, which may be this process. Returns whether the owner
    /// is known; its reply is delivered as [`Action::DeliverReply`].
    pub fn query_owner(&mut self, shard: &Name, query: StatusQuery) -> bool {
        if self.shards.contains_key(shard) {
            let result = self.answer_query(&query.target);
            let seq = query.seq;
            self.actions.push(Action::DeliverReply { seq, result });
            return true;
        }
        let Some(entry) = self.owner_summaries.get(shard) else {
            return false;
        };
        let owner = entry.owner.clone();
        self.send(&owner, Message::StatusQuery(query));
        true
    }

    fn answer_query(&self, target: &StatusTarget) -> StatusResult {
        match target {
            StatusTarget::Job(job) => self
                .shards
                .values()
                .find_map(|shard| shard.job_status(*job))
                .map_or(StatusResult::NotFound, StatusResult::Job),
            StatusTarget::Shard(name) => self
                .shards
                .get(name)
                .map_or(StatusResult::NotFound, |shard| {
                    StatusResult::Shard(shard.status())
                }),
        }
    }

    fn record_summary(&mut self, from: &NodeId, summary: ShardSummary, now: Millis) {
        let is_stale = self
            .owner_summaries
            .get(&summary.shard)
            .is_some_and(|known| known.summary.fence > summary.fence);
        if !is_stale {
            let entry = OwnerSummary {
                owner: from.clone(),
                received_at: now,
                summary,
            };
            self.owner_summaries
                .insert(entry.summary.shard.clone(), entry);
        }
    }

    /// Sends each shard's runner table to every router after a change.
    pub(super) fn announce_runner_tables(&mut self) {
        let routers = self.members(Role::Router);
        for (name, shard) in &self.shards {
            let Some(version) = shard.runners_version() else {
                continue;
            };
            let current = (version.fence, version.version);
            if self.announced_versions.get(name) == Some(&current) {
                continue;
            }
            self.announced_versions.insert(name.clone(), current);
            if let Some(table) = shard.runner_table() {
                self.actions
                    .extend(routers.iter().map(|router| Action::Send {
                        to: router.clone(),
                        message: Message::RunnerTable(table.clone()),
                    }));
            }
        }
    }

    /// Once per interval, sends the versions of runner tables to routers and shard summaries to
    /// schedulers.
    pub(super) fn gossip(&mut self, now: Millis) {
        if now < self.next_gossip {
            return;
        }
        self.next_gossip = now + GOSSIP_INTERVAL;
        self.update_usage_elsewhere();
        let versions: Vec<_> = self
            .shards
            .values()
            .filter_map(|shard| shard.runners_version())
            .collect();
        let summaries: Vec<_> = self
            .shards
            .values()
            .filter_map(|shard| shard.summary())
            .collect();
        for router in self.members(Role::Router) {
            for version in &versions {
                self.send(&router, Message::RunnerTableVersion(version.clone()));
            }
        }
        for scheduler in self.members(Role::Scheduler) {
            for summary in &summaries {
                self.send(&scheduler, Message::Summary(summary.clone()));
            }
        }
        let local_node = self.local_node.clone();
        for summary in summaries {
            self.record_summary(&local_node, summary, now);
        }
    }

    /// Updates each shard's record of what teams use in other shards. A silent owner's last summary
    /// still counts, because its tasks keep running.
    fn update_usage_elsewhere(&mut self) {
        for (name, shard) in &mut self.shards {
            let others = self
                .owner_summaries
                .iter()
                .filter(|(other, _)| *other != name);
            let mut usage: BTreeMap<Name, Resources> = BTreeMap::new();
            for team in others.flat_map(|(_, entry)| &entry.summary.teams) {
                let sum = usage.entry(team.team.clone()).or_default();
                *sum = sum.saturating_add(team.held);
            }
            shard.set_usage_elsewhere(usage);
        }
    }

    fn send_runner_table(&mut self, shard: &Name, to: &NodeId) {
        let table = self
            .shards
            .get(shard)
            .and_then(|shard| shard.runner_table());
        if let Some(table) = table {
            self.send(to, Message::RunnerTable(table));
        }
    }

    /// Returns the other members with the given role.
    fn members(&self, role: Role) -> Vec<NodeId> {
        self.view
            .with_role(role)
            .map(|member| member.node.clone())
            .filter(|node| *node != self.local_node)
            .collect()
    }

    fn send(&mut self, to: &NodeId, message: Message) {
        self.actions.push(Action::Send {
            to: to.clone(),
            message,
        });
    }
}

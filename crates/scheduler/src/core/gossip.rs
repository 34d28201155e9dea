//! Commands: what routers and other schedulers are told, and what they ask.

use std::collections::BTreeMap;

use kspan_model::{Millis, Name, NodeId, Resources, Role};
use kspan_wire::message::tasks::{
    Message, ShardSummary, StatusQuery, StatusReply, StatusResult, StatusTarget,
};

use super::{Action, Core, Heard};

/// Period of runner versions and shard summaries.
const GOSSIP_PERIOD: Millis = Millis(1_000);

impl Core {
    /// Takes in a message of another member.
    pub fn message(&mut self, from: &NodeId, message: Message, now: Millis) {
        match message {
            Message::RunnerTableRequest { shard } => self.send_table(&shard, from),
            Message::Summary(summary) => self.hear(from, summary, now),
            Message::StatusQuery(question) => {
                let answer = StatusReply {
                    seq: question.seq,
                    result: self.knows(&question.target),
                };
                self.send(from, Message::StatusReply(answer));
            }
            Message::StatusReply(StatusReply { seq, result: knows }) => {
                self.actions.push(Action::Answered { seq, knows });
            }
            Message::RunnerTable(_) | Message::RunnerTableVersion(_) => {}
        }
    }

    /// Asks the owner of a shard, who may be this process. Returns whether anybody could be
    /// asked; the answer comes as [`Action::Answered`].
    pub fn ask(&mut self, shard: &Name, question: StatusQuery) -> bool {
        if self.shards.contains_key(shard) {
            let knows = self.knows(&question.target);
            let seq = question.seq;
            self.actions.push(Action::Answered { seq, knows });
            return true;
        }
        let Some(heard) = self.heard.get(shard) else {
            return false;
        };
        let owner = heard.from.clone();
        self.send(&owner, Message::StatusQuery(question));
        true
    }

    fn knows(&self, about: &StatusTarget) -> StatusResult {
        match about {
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

    fn hear(&mut self, from: &NodeId, summary: ShardSummary, now: Millis) {
        let is_stale = self
            .heard
            .get(&summary.shard)
            .is_some_and(|known| known.summary.fence > summary.fence);
        if !is_stale {
            let heard = Heard {
                from: from.clone(),
                at: now,
                summary,
            };
            self.heard.insert(heard.summary.shard.clone(), heard);
        }
    }

    /// Sends each shard's runner table to every router when it has changed.
    pub(super) fn tell_runners(&mut self) {
        let routers = self.members(Role::Router);
        for (name, shard) in &self.shards {
            let Some(version) = shard.runners_version() else {
                continue;
            };
            let newest = (version.fence, version.version);
            if self.told.get(name) == Some(&newest) {
                continue;
            }
            self.told.insert(name.clone(), newest);
            if let Some(table) = shard.runner_table() {
                self.actions
                    .extend(routers.iter().map(|router| Action::Send {
                        to: router.clone(),
                        message: Message::RunnerTable(table.clone()),
                    }));
            }
        }
    }

    /// Tells routers the versions of runner tables, and schedulers what is free, once a period.
    pub(super) fn gossip(&mut self, now: Millis) {
        if now < self.next_gossip {
            return;
        }
        self.next_gossip = now + GOSSIP_PERIOD;
        self.share_quotas();
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
        let me = self.me.clone();
        for summary in summaries {
            self.hear(&me, summary, now);
        }
    }

    /// Tells each shard what teams hold in the others. An owner that has fallen silent still
    /// counts: its tasks run on.
    fn share_quotas(&mut self) {
        for (name, shard) in &mut self.shards {
            let others = self.heard.iter().filter(|(other, _)| *other != name);
            let mut held: BTreeMap<Name, Resources> = BTreeMap::new();
            for team in others.flat_map(|(_, heard)| &heard.summary.teams) {
                let sum = held.entry(team.team.clone()).or_default();
                *sum = sum.saturating_add(team.held);
            }
            shard.set_held_elsewhere(held);
        }
    }

    fn send_table(&mut self, shard: &Name, to: &NodeId) {
        let table = self
            .shards
            .get(shard)
            .and_then(|shard| shard.runner_table());
        if let Some(table) = table {
            self.send(to, Message::RunnerTable(table));
        }
    }

    /// Returns the other members with a role.
    fn members(&self, role: Role) -> Vec<NodeId> {
        self.view
            .with_role(role)
            .map(|member| member.node.clone())
            .filter(|node| *node != self.me)
            .collect()
    }

    fn send(&mut self, to: &NodeId, message: Message) {
        self.actions.push(Action::Send {
            to: to.clone(),
            message,
        });
    }
}

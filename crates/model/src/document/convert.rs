//! Conversions from border types to domain types.
//!
//! A conversion reports each quantity that can't be read and goes on, so that all faults of a
//! text are found in one pass. What it returns is used only where no fault was found.

use crate::{
    Millis, Name, Priority, Resources,
    document::{
        Batch, Diagnostic, Document, EntryHosts, Fleet, Gang, Policy, Preset, Region, RequestClass,
        Service, Spread, TaskShape, Team, Weights, WorkerGroup, border, parse_cpu, parse_duration,
        parse_memory,
    },
};

const DEFAULT_PER_RACK: u64 = 8;
const DEFAULT_RETRIES: u32 = 3;
const DEFAULT_RETRY_BUDGET: f64 = 0.1;
const DEFAULT_WEIGHT: f64 = 1.0;
const DEFAULT_DELAY: Millis = Millis(1);

/// Converts a whole document.
pub(super) fn document(text: &border::DocumentText, diagnostics: &mut Vec<Diagnostic>) -> Document {
    let mut cx = Context { diagnostics };
    Document {
        cell: name(&text.cell),
        regions: text.regions.iter().map(region).collect(),
        fleet: cx.fleet(&text.fleet),
        teams: cx.each("teams", &text.teams, Context::team),
        policy: text.policy.as_ref().map_or_else(Policy::default, policy),
        services: cx.each("services", &text.services, Context::service),
        batch: cx.each("batch", &text.batch, Context::batch),
        gangs: cx.each("gangs", &text.gangs, Context::gang),
    }
}

struct Context<'a> {
    diagnostics: &'a mut Vec<Diagnostic>,
}

impl Context<'_> {
    fn each<T, U>(
        &mut self,
        path: &str,
        items: &[T],
        convert: impl Fn(&mut Self, &str, &T) -> U,
    ) -> Vec<U> {
        items
            .iter()
            .enumerate()
            .map(|(index, item)| convert(self, &format!("{path}[{index}]"), item))
            .collect()
    }

    fn read<T: Default, E: std::fmt::Display>(&mut self, path: String, result: Result<T, E>) -> T {
        result.unwrap_or_else(|err| {
            self.diagnostics.push(Diagnostic::new(
                path,
                err.to_string(),
                "write a smaller amount",
            ));
            T::default()
        })
    }

    fn size(
        &mut self,
        path: &str,
        cpu: &border::CpuText,
        memory: &border::MemoryText,
        accelerators: Option<i64>,
    ) -> Resources {
        Resources {
            cpu_milli: self.read(format!("{path}.cpu"), parse_cpu(&cpu.to_string())),
            memory_mib: self.read(format!("{path}.memory"), parse_memory(&memory.0)),
            accelerators: whole(accelerators.unwrap_or(0)),
        }
    }

    fn duration(&mut self, path: String, text: &border::DurationText) -> Millis {
        self.read(path, parse_duration(&text.0))
    }

    fn task(&mut self, path: &str, task: &border::TaskText) -> TaskShape {
        TaskShape {
            size: self.size(path, &task.cpu, &task.memory, task.accelerators),
            checkpoint: task.checkpoint.unwrap_or(false),
        }
    }

    fn fleet(&mut self, text: &border::FleetText) -> Fleet {
        let delays = text.delays.clone().unwrap_or_default();
        let mut delay = |key: &str, value: &Option<border::DurationText>| match value {
            Some(text) => self.duration(format!("fleet.delays.{key}"), text),
            None => DEFAULT_DELAY,
        };
        Fleet {
            entry_hosts: EntryHosts {
                count: narrow(text.entry_hosts.get()),
            },
            delay_data_centre: delay("data_centre", &delays.data_centre),
            delay_region: delay("region", &delays.region),
            delay_caller: delay("caller", &delays.caller),
            workers: self.each("fleet.workers", &text.workers, Context::workers),
        }
    }

    fn workers(&mut self, path: &str, text: &border::WorkersText) -> WorkerGroup {
        WorkerGroup {
            count: narrow(text.count.get()),
            capacity: self.size(path, &text.cpu, &text.memory, text.accelerators),
            per_rack: narrow(text.per_rack.map_or(DEFAULT_PER_RACK, |count| count.get())),
        }
    }

    fn team(&mut self, path: &str, text: &border::TeamText) -> Team {
        let quota = &text.quota;
        let path = format!("{path}.quota");
        Team {
            name: name(&text.name),
            quota: self.size(&path, &quota.cpu, &quota.memory, quota.accelerators),
            weight: text.weight.unwrap_or(DEFAULT_WEIGHT),
            borrow: text.borrow.unwrap_or(true),
        }
    }

    fn service(&mut self, path: &str, text: &border::ServiceText) -> Service {
        Service {
            name: name(&text.name),
            team: name(&text.team),
            runners: narrow(whole(text.runners)),
            task: self.task(&format!("{path}.task"), &text.task),
            regions: names(&text.regions),
            spread: text.spread.map_or_else(Spread::default, spread),
            slots: narrow(text.slots.get()),
            connections: narrow(text.connections.get()),
            retry_budget: text.retry_budget.unwrap_or(DEFAULT_RETRY_BUDGET),
            classes: self.each(&format!("{path}.classes"), &text.classes, Context::class),
        }
    }

    fn class(&mut self, path: &str, text: &border::ClassText) -> RequestClass {
        RequestClass {
            name: name(&text.name),
            idempotent: text.idempotent,
            deadline: self.duration(format!("{path}.deadline"), &text.deadline),
            hedge: text.hedge.unwrap_or(false),
            priority: text.priority.map_or_else(Priority::default, priority),
        }
    }

    fn batch(&mut self, path: &str, text: &border::BatchText) -> Batch {
        Batch {
            name: name(&text.name),
            team: name(&text.team),
            tasks: narrow(text.tasks.get()),
            task: self.task(&format!("{path}.task"), &text.task),
            run_time: self.duration(format!("{path}.run_time"), &text.run_time),
            retries: retries(text.retries),
            priority: text.priority.map_or_else(Priority::default, priority),
            regions: names(&text.regions),
        }
    }

    fn gang(&mut self, path: &str, text: &border::GangText) -> Gang {
        Gang {
            name: name(&text.name),
            team: name(&text.team),
            tasks: narrow(whole(text.tasks)),
            task: self.task(&format!("{path}.task"), &text.task),
            run_time: self.duration(format!("{path}.run_time"), &text.run_time),
            rack_near: text.rack_near.unwrap_or(false),
            retries: retries(text.retries),
            priority: text.priority.map_or_else(Priority::default, priority),
            regions: names(&text.regions),
        }
    }
}

fn name(text: &border::Name) -> Name {
    Name::new(&text.0)
}

fn names(texts: &[border::Name]) -> Vec<Name> {
    texts.iter().map(name).collect()
}

fn region(text: &border::RegionText) -> Region {
    Region {
        name: name(&text.name),
        data_centres: names(&text.data_centres),
    }
}

fn policy(text: &border::PolicyText) -> Policy {
    let preset = match text.preset {
        border::PolicyTextPreset::WaitingFirst => Preset::WaitingFirst,
        border::PolicyTextPreset::PackingFirst => Preset::PackingFirst,
    };
    let base = Weights::preset(preset);
    let over = text.weights.clone().unwrap_or_default();
    let weights = Weights {
        waiting: over.waiting.unwrap_or(base.waiting),
        packing: over.packing.unwrap_or(base.packing),
        spread: over.spread.unwrap_or(base.spread),
        fragmentation: over.fragmentation.unwrap_or(base.fragmentation),
        region: over.region.unwrap_or(base.region),
    };
    Policy { preset, weights }
}

fn priority(text: border::PriorityText) -> Priority {
    match text {
        border::PriorityText::Low => Priority::Low,
        border::PriorityText::Normal => Priority::Normal,
        border::PriorityText::High => Priority::High,
        border::PriorityText::Urgent => Priority::Urgent,
    }
}

fn spread(text: border::SpreadText) -> Spread {
    match text {
        border::SpreadText::None => Spread::None,
        border::SpreadText::Rack => Spread::Rack,
        border::SpreadText::DataCentre => Spread::DataCentre,
    }
}

fn retries(text: Option<i64>) -> u32 {
    text.map_or(DEFAULT_RETRIES, |count| narrow(whole(count)))
}

/// Holds a number at zero or above; the schema's minimum has refused negative ones.
fn whole(number: i64) -> u64 {
    u64::try_from(number).unwrap_or(0)
}

/// Holds a number within 32 bits; the schema's maximum has refused larger ones.
fn narrow(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

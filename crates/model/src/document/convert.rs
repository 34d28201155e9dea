//! Conversions from the types generated from the JSON schema to domain types.
//!
//! A quantity that can't be parsed is reported and replaced by its default, so that one pass finds
//! all errors of a text. The result is used only if no error was found.

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

/// Converts a document, adding a diagnostic for each quantity that can't be parsed.
pub(super) fn document(text: &border::DocumentText, diagnostics: &mut Vec<Diagnostic>) -> Document {
    let mut cx = Context { diagnostics };
    Document {
        cell: name(&text.cell),
        regions: text.regions.iter().map(region).collect(),
        fleet: cx.fleet(&text.fleet),
        teams: cx.convert_items("teams", &text.teams, Context::team),
        policy: text.policy.as_ref().map_or_else(Policy::default, policy),
        services: cx.convert_items("services", &text.services, Context::service),
        batch: cx.convert_items("batch", &text.batch, Context::batch),
        gangs: cx.convert_items("gangs", &text.gangs, Context::gang),
    }
}

struct Context<'a> {
    diagnostics: &'a mut Vec<Diagnostic>,
}

impl Context<'_> {
    fn convert_items<T, U>(
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

    fn value_or_default<T: Default, E: std::fmt::Display>(
        &mut self,
        path: String,
        result: Result<T, E>,
    ) -> T {
        result.unwrap_or_else(|err| {
            self.diagnostics.push(Diagnostic::new(
                path,
                err.to_string(),
                "use a smaller amount",
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
            cpu_milli: self.value_or_default(format!("{path}.cpu"), parse_cpu(&cpu.to_string())),
            memory_mib: self.value_or_default(format!("{path}.memory"), parse_memory(&memory.0)),
            accelerators: to_unsigned(accelerators.unwrap_or(0)),
        }
    }

    fn duration(&mut self, path: String, text: &border::DurationText) -> Millis {
        self.value_or_default(path, parse_duration(&text.0))
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
                count: to_u32(text.entry_hosts.get()),
            },
            delay_data_centre: delay("data_centre", &delays.data_centre),
            delay_region: delay("region", &delays.region),
            delay_caller: delay("caller", &delays.caller),
            workers: self.convert_items("fleet.workers", &text.workers, Context::workers),
        }
    }

    fn workers(&mut self, path: &str, text: &border::WorkersText) -> WorkerGroup {
        WorkerGroup {
            count: to_u32(text.count.get()),
            capacity: self.size(path, &text.cpu, &text.memory, text.accelerators),
            per_rack: to_u32(text.per_rack.map_or(DEFAULT_PER_RACK, |count| count.get())),
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
            runners: to_u32(to_unsigned(text.runners)),
            task: self.task(&format!("{path}.task"), &text.task),
            regions: names(&text.regions),
            spread: text.spread.map_or_else(Spread::default, spread),
            slots: to_u32(text.slots.get()),
            connections: to_u32(text.connections.get()),
            retry_budget: text.retry_budget.unwrap_or(DEFAULT_RETRY_BUDGET),
            classes: self.convert_items(&format!("{path}.classes"), &text.classes, Context::class),
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
            tasks: to_u32(text.tasks.get()),
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
            tasks: to_u32(to_unsigned(text.tasks)),
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
    let defaults = Weights::preset(preset);
    let overrides = text.weights.clone().unwrap_or_default();
    let weights = Weights {
        waiting: overrides.waiting.unwrap_or(defaults.waiting),
        packing: overrides.packing.unwrap_or(defaults.packing),
        spread: overrides.spread.unwrap_or(defaults.spread),
        fragmentation: overrides.fragmentation.unwrap_or(defaults.fragmentation),
        region: overrides.region.unwrap_or(defaults.region),
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
    text.map_or(DEFAULT_RETRIES, |count| to_u32(to_unsigned(count)))
}

/// Converts to an unsigned number. The schema's minimum has already excluded negative numbers.
fn to_unsigned(number: i64) -> u64 {
    u64::try_from(number).unwrap_or(0)
}

/// Converts to 32 bits. The schema's maximum has already excluded larger numbers.
fn to_u32(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

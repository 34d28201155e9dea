//! Distributes a service's runners over shards.
//!
//! The distribution is a pure function of the document, so every process computes the same share of
//! each shard without communication. It ignores free capacity: runners that do not fit wait in
//! their shard.

use kspan_model::{
    JobId, Name,
    document::{Document, Service},
};

/// The runners of a service that one shard holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardAllocation {
    /// The shard, named after its data centre.
    pub shard: Name,
    /// Number of runners in the shard.
    pub runners: u32,
}

/// Distributes a service's runners evenly over the data centres of its regions. The remainder goes
/// to the first ones in order of preference.
///
/// # Examples
///
/// ```
/// use kspan_model::document::{Document, Region, Service};
/// use kspan_scheduler::distribution::distribute_runners;
/// # fn service(runners: u32) -> Service {
/// #     Service {
/// #         name: "ledger".into(), team: "t".into(), runners, task: Default::default(),
/// #         regions: vec![], spread: Default::default(), slots: 8, connections: 64,
/// #         retry_budget: 0.1, classes: vec![],
/// #     }
/// # }
///
/// let region = |name: &str| Region { name: name.into(), data_centres: vec![name.into()] };
/// let document = Document { regions: vec![region("a"), region("b")], ..Document::default() };
/// let parts = distribute_runners(&document, &service(5));
/// assert_eq!(parts.iter().map(|part| part.runners).collect::<Vec<_>>(), [3, 2]);
/// ```
pub fn distribute_runners(document: &Document, service: &Service) -> Vec<ShardAllocation> {
    let shards = shards_in_regions(document, &service.regions);
    let Ok(count) = u32::try_from(shards.len()) else {
        return Vec::new();
    };
    if count == 0 {
        return Vec::new();
    }
    let base = service.runners / count;
    let remainder = service.runners % count;
    (0..)
        .zip(shards)
        .map(|(position, shard): (u32, Name)| ShardAllocation {
            shard,
            runners: base + u32::from(position < remainder),
        })
        .collect()
}

/// Returns the data centres of `regions` in order of preference, or all data centres if `regions`
/// is empty.
pub fn shards_in_regions(document: &Document, regions: &[Name]) -> Vec<Name> {
    if regions.is_empty() {
        return document.data_centres().map(|(_, dc)| dc.clone()).collect();
    }
    regions
        .iter()
        .filter_map(|name| document.regions.iter().find(|region| region.name == *name))
        .flat_map(|region| region.data_centres.iter().cloned())
        .collect()
}

/// Returns the id of the job that runs a service in one shard.
///
/// Each shard has a job of its own, so that task indexes are unique. A change of a runner's size,
/// slots or connections makes a new job, whose runners replace those of the old one.
pub fn service_job_id(service: &Service, shard: &Name) -> JobId {
    let Service {
        name,
        slots,
        connections,
        task,
        ..
    } = service;
    let text = format!(
        "{name}\u{0}{shard}\u{0}{}\u{0}{slots}\u{0}{connections}",
        task.size
    );
    JobId::for_service(&text.into())
}

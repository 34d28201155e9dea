//! Deals a service's runners to shards.
//!
//! The deal is a pure function of the document, so that every process knows each shard's part
//! without a word. It does not look at free capacity: a part that finds no room waits in its
//! shard.

use kspan_model::{
    JobId, Name,
    document::{Document, Service},
};

/// One shard's part of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardAllocation {
    /// The shard: a data centre.
    pub shard: Name,
    /// Runners that the shard holds.
    pub runners: u32,
}

/// Deals a service's runners evenly over the data centres of its regions. What is left over goes
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

/// Returns the data centres of `regions` in order of preference; of all regions where none is
/// named.
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

/// Returns the job of one shard's part of a service.
///
/// Parts of one service are unlike jobs, so that indexes of tasks are unique. A change of what a
/// runner is makes another job, whose runners replace those of the one before.
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

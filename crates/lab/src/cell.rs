//! The layout of a cell on loopback addresses, as a deployment's document specifies it.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use kspan_contract::protocol::hosts::{Host, HostKind, HostState};
use kspan_model::{Name, Site, document::Document};

use crate::standin::worker::WorkerSpec;

/// Workers per /24 block of addresses.
const WORKERS_PER_BLOCK: usize = 250;

/// Second octet of the first data centre's worker addresses; each data centre has its own.
const FIRST_WORKER_OCTET: u8 = 16;

/// A host that runs a router and a scheduler.
#[derive(Clone, Debug)]
pub struct EntryHost {
    /// Name of the host.
    pub name: Name,
    /// Region and data centre of the host.
    pub site: Site,
    /// IP address of the host.
    pub ip: IpAddr,
}

/// Hosts of a cell.
#[derive(Clone, Debug)]
pub struct Cell {
    /// The document that specifies the cell.
    pub document: Document,
    /// Entry hosts.
    pub entries: Vec<EntryHost>,
    /// Workers.
    pub workers: Vec<WorkerSpec>,
}

impl Cell {
    /// Lays out the hosts that `document` specifies, round-robin over its data centres.
    pub fn new(document: Document) -> Self {
        let sites: Vec<Site> = document
            .data_centres()
            .map(|(region, dc)| Site::new(region.clone(), dc.clone()))
            .collect();
        let entries = lay_out_entries(&document, &sites);
        let workers = lay_out_workers(&document, &sites);
        Self {
            document,
            entries,
            workers,
        }
    }

    /// Returns the region names in document order.
    pub fn regions(&self) -> Vec<Name> {
        let regions = self.document.regions.iter();
        regions.map(|region| region.name.clone()).collect()
    }

    /// Returns the platform's list of all hosts, with the workers' addresses from `address_of`.
    pub fn host_list(&self, address_of: impl Fn(&Name) -> SocketAddr) -> Vec<Host> {
        let entries = self.entries.iter().map(|entry| Host {
            name: entry.name.to_string(),
            kind: HostKind::Entry,
            state: HostState::Live,
            region: entry.site.region.to_string(),
            data_centre: entry.site.data_centre.to_string(),
            rack: String::new(),
            address: SocketAddr::new(entry.ip, 0),
        });
        let workers = self.workers.iter().map(|worker| Host {
            name: worker.name.to_string(),
            kind: HostKind::Worker,
            state: HostState::Live,
            region: worker.site.region.to_string(),
            data_centre: worker.site.data_centre.to_string(),
            rack: worker.rack.to_string(),
            address: address_of(&worker.name),
        });
        entries.chain(workers).collect()
    }
}

fn lay_out_entries(document: &Document, sites: &[Site]) -> Vec<EntryHost> {
    let regions: Vec<&Name> = document.regions.iter().map(|region| &region.name).collect();
    (0..document.fleet.entry_hosts.count as usize)
        .zip(sites.iter().cycle())
        .map(|(index, site)| {
            let region = regions.iter().position(|name| **name == site.region);
            EntryHost {
                name: Name::from(format!("entry-{}", index + 1)),
                site: site.clone(),
                ip: ip([127, 0, octet(region.unwrap_or(0) + 1), octet(index + 1)]),
            }
        })
        .collect()
}

fn lay_out_workers(document: &Document, sites: &[Site]) -> Vec<WorkerSpec> {
    let mut workers = Vec::new();
    for (group_index, group) in document.fleet.workers.iter().enumerate() {
        for index in 0..group.count as usize {
            let site_index = workers.len() % sites.len();
            let site = &sites[site_index];
            let index_in_site = index / sites.len();
            let rack = index_in_site / group.per_rack.max(1) as usize;
            let index_in_data_centre = workers.len() / sites.len();
            workers.push(WorkerSpec {
                name: Name::from(format!("worker-{}", workers.len() + 1)),
                site: site.clone(),
                rack: Name::from(format!("{}-{group_index}-{rack}", site.data_centre)),
                ip: ip([
                    127,
                    FIRST_WORKER_OCTET + octet(site_index),
                    octet(index_in_data_centre / WORKERS_PER_BLOCK),
                    octet(index_in_data_centre % WORKERS_PER_BLOCK + 1),
                ]),
                capacity: group.capacity,
            });
        }
    }
    workers
}

fn ip(octets: [u8; 4]) -> IpAddr {
    IpAddr::V4(Ipv4Addr::from(octets))
}

fn octet(number: usize) -> u8 {
    u8::try_from(number).expect("an index of a cell on loopback addresses fits into an octet")
}

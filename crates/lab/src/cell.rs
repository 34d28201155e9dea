//! The plan of a cell on loopback addresses, sized by a deployment's document.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use kspan_contract::protocol::hosts::{Host, HostKind, HostState};
use kspan_model::{Name, Site, document::Document};

use crate::standin::worker::Spec;

/// Workers in one block of addresses.
const WORKERS_PER_BLOCK: usize = 250;

/// First number of the workers' networks, one for each data centre.
const WORKER_NET: u8 = 16;

/// One of the system's own hosts.
#[derive(Clone, Debug)]
pub struct EntryHost {
    /// Its name.
    pub name: Name,
    /// Where it stands.
    pub site: Site,
    /// Its address.
    pub ip: IpAddr,
}

/// Hosts of a cell.
#[derive(Clone, Debug)]
pub struct Cell {
    /// The document that it was sized by.
    pub document: Document,
    /// Entry hosts.
    pub entries: Vec<EntryHost>,
    /// Workers.
    pub workers: Vec<Spec>,
}

impl Cell {
    /// Plans the hosts that `document` expects, dealt over its data centres in turn.
    pub fn new(document: Document) -> Self {
        let sites: Vec<Site> = document
            .data_centres()
            .map(|(region, dc)| Site::new(region.clone(), dc.clone()))
            .collect();
        let entries = plan_entries(&document, &sites);
        let workers = plan_workers(&document, &sites);
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

    /// Returns the platform's list of all hosts; workers get their addresses from `address_of`.
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

fn plan_entries(document: &Document, sites: &[Site]) -> Vec<EntryHost> {
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

fn plan_workers(document: &Document, sites: &[Site]) -> Vec<Spec> {
    let mut workers = Vec::new();
    for (group_index, group) in document.fleet.workers.iter().enumerate() {
        for index in 0..group.count as usize {
            let place = workers.len() % sites.len();
            let site = &sites[place];
            let within = index / sites.len();
            let rack = within / group.per_rack.max(1) as usize;
            let number = workers.len() / sites.len();
            workers.push(Spec {
                name: Name::from(format!("worker-{}", workers.len() + 1)),
                site: site.clone(),
                rack: Name::from(format!("{}-{group_index}-{rack}", site.data_centre)),
                ip: ip([
                    127,
                    WORKER_NET + octet(place),
                    octet(number / WORKERS_PER_BLOCK),
                    octet(number % WORKERS_PER_BLOCK + 1),
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
    u8::try_from(number).expect("a cell on loopback has fewer than 255 of each")
}

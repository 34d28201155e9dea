//! Loopback addresses that no other test process uses.
//!
//! A test that starts a program must name its ports before the program binds them. On an address
//! shared with other tests, another process may take such a port in the meantime.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    sync::atomic::{AtomicU8, Ordering},
};

/// Addresses handed out by this process.
static ADDRESSES: AtomicU8 = AtomicU8::new(0);

/// Returns a loopback address that is used once, by this process alone.
///
/// # Panics
///
/// Panics if the process has used all of its addresses.
pub(crate) fn own_address() -> IpAddr {
    let number = ADDRESSES.fetch_add(1, Ordering::Relaxed);
    assert!(number < 254, "more than 254 addresses in one process");
    let [_, _, high, low] = std::process::id().to_be_bytes();
    // Addresses that begin with 127.0 stay free for listeners on a port of the system's choice.
    IpAddr::V4(Ipv4Addr::new(127, high | 0x80, low, number + 1))
}

/// Returns ports of an address that nothing listens on, all of them different.
///
/// # Panics
///
/// Panics if the address cannot be bound.
pub(crate) fn free_ports<const COUNT: usize>(address: IpAddr) -> [SocketAddr; COUNT] {
    let listeners: [TcpListener; COUNT] = std::array::from_fn(|_| {
        TcpListener::bind((address, 0)).expect("a loopback address can be bound")
    });
    listeners.map(|listener| {
        let address = listener.local_addr();
        address.expect("a bound socket has an address")
    })
}

use std::{
    cell::{Cell, RefCell},
    net::Ipv4Addr,
};

use kspan_model::Name;

use super::*;

/// Time after which a request to an unreachable process fails.
const UNREACHABLE_TIMEOUT: Duration = Duration::from_millis(300);

fn member(number: usize) -> Member {
    Member {
        node: Name::new(&format!("host-{number}")),
        address: Ipv4Addr::LOCALHOST,
        port: 0,
        life: 1,
        data_centre: Name::new("a"),
        power_milli: 500,
    }
}

/// Requests made to successors.
#[derive(Default)]
struct Requests {
    sent: RefCell<Vec<Name>>,
    in_flight: Cell<usize>,
    max_in_flight: Cell<usize>,
    /// Whether a process that accepted has claimed the cell.
    is_claimed: Cell<bool>,
}

impl Requests {
    /// Sends requests to `count` successors, of which only the one with the number `accepting` is
    /// reachable.
    async fn send(self: &Rc<Self>, count: usize, accepting: Option<usize>) {
        let successors: Vec<Member> = (0..count).map(member).collect();
        let accepting = accepting.map(|number| member(number).node);
        let is_owner = || !self.is_claimed.get();
        request_takeovers(successors, is_owner, |member| {
            let requests = Rc::clone(self);
            requests.sent.borrow_mut().push(member.node.clone());
            requests.in_flight.set(requests.in_flight.get() + 1);
            let in_flight = requests.in_flight.get().max(requests.max_in_flight.get());
            requests.max_in_flight.set(in_flight);
            let accepts = accepting == Some(member.node);
            async move {
                if accepts {
                    requests.is_claimed.set(true);
                } else {
                    tokio::time::sleep(UNREACHABLE_TIMEOUT).await;
                }
                requests.in_flight.set(requests.in_flight.get() - 1);
                accepts
            }
        })
        .await;
    }
}

/// Guards against a shutdown that waits for each unreachable successor before it requests the next.
#[ntex::test]
async fn unreachable_successors_are_requested_a_few_at_a_time() {
    let requests = Rc::new(Requests::default());
    requests.send(8, None).await;
    let expected: Vec<Name> = (0..8).map(|number| member(number).node).collect();
    assert_eq!(*requests.sent.borrow(), expected);
    assert_eq!(requests.max_in_flight.get(), MAX_TAKEOVER_REQUESTS);
}

/// Guards against a weak successor that takes over although the strong one before it accepts.
#[ntex::test]
async fn no_other_successor_is_requested_once_the_first_accepts() {
    let requests = Rc::new(Requests::default());
    requests.send(8, Some(0)).await;
    assert_eq!(*requests.sent.borrow(), [member(0).node]);
}

/// Guards against a reachable successor that is never requested because of the ones before it.
#[ntex::test]
async fn reachable_successor_behind_unreachable_ones_takes_over() {
    let requests = Rc::new(Requests::default());
    requests.send(8, Some(5)).await;
    assert!(requests.is_claimed.get());
    assert_eq!(requests.sent.borrow().last(), Some(&member(5).node));
}

use super::*;
use crate::{
    clock::Clock,
    owner::tests::{owner, start_member},
};

fn members(names: &[&str], local: &Member) -> Vec<Member> {
    let member = |name: &&str| Member {
        node: kspan_model::Name::new(name),
        ..local.clone()
    };
    names.iter().map(member).collect()
}

/// Guards against a member that confirms an owner although the next one doesn't ask it: the store may have a list without it.
#[ntex::test]
async fn only_members_of_each_list_that_the_store_may_have_are_witnesses() {
    let owner = owner("127.0.0.1:1").await;
    let local = &owner.node.local;
    let mut witnesses = Witnesses::default();
    // Lists that were sent after `b` and `c` were stored, and the members that are left.
    let table: [(&[&[&str]], &[&str]); 4] = [
        (&[], &["b", "c"]),
        (&[&["b", "c", "d"]], &["b", "c"]),
        (&[&["b", "d"], &["b", "c", "d"]], &["b"]),
        (&[&["d"]], &[]),
    ];
    for (sent, left) in table {
        witnesses.record_stored(members(&["b", "c"], local));
        for list in sent {
            witnesses.record_sent(&members(list, local));
        }
        assert_eq!(witnesses.members, members(left, local), "{sent:?}");
        assert!(!witnesses.support(&Clock::new().reading()), "{sent:?}");
    }
}

/// Guards against a cell of one host that stops while the store is down.
#[ntex::test]
async fn owner_without_other_members_needs_no_witness() {
    let owner = owner("127.0.0.1:1").await;
    let now = owner.node.clock.reading();
    let mut witnesses = Witnesses::default();
    assert!(!witnesses.support(&now), "no list is stored");
    witnesses.record_stored(Vec::new());
    witnesses.record_sent(&[]);
    assert!(witnesses.support(&now));
    witnesses.record_sent(&members(&["b"], &owner.node.local));
    assert!(!witnesses.support(&now), "a list may name another member");
}

/// Guards against an owner that goes on without the store and without members, for which a new owner doesn't wait.
#[ntex::test]
async fn owner_without_the_store_needs_a_member_that_confirms_it() {
    let table = [
        (Some(PeerReply::Accepted), true),
        (Some(PeerReply::NotOwner), false),
        (None, false),
    ];
    for (reply, may_send) in table {
        let owner = owner("127.0.0.1:1").await;
        let member = start_member("b-1", reply.clone()).await;
        owner.witnesses.borrow_mut().record_stored(vec![member]);
        let confirmed = owner.confirmed.get();
        assert!(owner.has_authority());
        owner.confirmed.set(confirmed.before(Millis(4_000)));
        owner.ask_some_witnesses().await;
        assert_eq!(owner.has_authority(), may_send, "{reply:?}");
        owner.confirmed.set(confirmed.before(Millis(9_000)));
        assert!(!owner.has_authority(), "{reply:?}");
    }
}

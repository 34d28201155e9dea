use super::is_isolated;
use crate::{
    message::PeerReply,
    owner::tests::{owner, start_member},
};

/// Guards against two runs of a task: a process that does not know the new owner may still give orders
/// as a previous one.
#[ntex::test]
async fn only_members_that_know_the_owner_are_past_owners() {
    let owner = owner("127.0.0.1:1").await;
    let fence = owner.fence;
    let table = [
        (Some(fence), false),
        (Some(fence + 1), false),
        (Some(fence - 1), true),
        (None, true),
    ];
    for (known, is_unaware) in table {
        let silent_ms = 0;
        let reply = known.map(|fence| PeerReply::OwnerStatus { fence, silent_ms });
        let member = start_member("b-1", reply).await;
        let unaware = owner.unaware_members(vec![member]).await;
        assert_eq!(!unaware.is_empty(), is_unaware, "{known:?}");
    }
}

/// Guards against two runs of a task: members that don't know the new owner may confirm a previous one to each other, and one
/// without other members needs no confirmation.
#[test]
fn only_a_single_unaware_member_of_several_is_isolated() {
    let table = [
        (0, 3, false),
        (1, 3, true),
        (1, 2, true),
        (1, 1, false),
        (2, 3, false),
    ];
    for (unaware, listed, expected) in table {
        assert_eq!(
            is_isolated(unaware, listed),
            expected,
            "{unaware} of {listed}"
        );
    }
}

use super::*;
use crate::owner::tests::node;

/// Guards against a new owner that waits too shortly for one of an earlier version, and against records that one version writes
/// and another can't read.
#[ntex::test]
async fn claims_of_earlier_versions_say_nothing_of_isolation() {
    let node = node("127.0.0.1:1").await;
    let record = ClaimRecord {
        owner: node.local.clone(),
        members: vec![node.local.clone()],
    };
    let table = [(record.encode(), true), (peers::encode(&record), false)];
    for (bytes, expected) in table {
        let decoded = StoredClaim::decode(4, &bytes).expect("a record");
        assert_eq!(decoded.record.members, record.members);
        assert_eq!(decoded.ends_when_isolated, expected);
        let by_earlier_version: Option<ClaimRecord> = peers::decode(&bytes);
        assert!(by_earlier_version.is_some_and(|read| read.owner == record.owner));
    }
}

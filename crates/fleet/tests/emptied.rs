//! Tracking of retired stores whose completion is reported to operators.

use std::collections::BTreeSet;

use molespan_fleet::store::ReportedRetirements;
use molespan_types::NodeId;

fn nodes(numbers: &[u32]) -> BTreeSet<NodeId> {
    numbers.iter().copied().map(NodeId).collect()
}

#[test]
fn a_retired_store_is_reported_once_it_is_no_longer_a_member() {
    let mut retirements = ReportedRetirements::default();
    assert_eq!(
        retirements.due(&nodes(&[1, 2]), &nodes(&[1, 3])),
        nodes(&[2])
    );
    retirements.mark_reported(NodeId(2));
    assert_eq!(
        retirements.due(&nodes(&[1, 2]), &nodes(&[1, 3])),
        nodes(&[])
    );
    assert_eq!(retirements.due(&nodes(&[1, 2]), &nodes(&[3])), nodes(&[1]));
}

/// Guards against a second retirement of the same address under the same leader never
/// being reported, so that the operator waited forever.
#[test]
fn a_store_retired_again_at_the_same_address_is_reported_again() {
    let mut retirements = ReportedRetirements::default();
    retirements.mark_reported(NodeId(2));
    assert_eq!(retirements.due(&nodes(&[]), &nodes(&[2, 3])), nodes(&[]));
    assert_eq!(retirements.due(&nodes(&[2]), &nodes(&[2, 3])), nodes(&[]));
    assert_eq!(retirements.due(&nodes(&[2]), &nodes(&[3])), nodes(&[2]));
}

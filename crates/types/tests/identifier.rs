//! Tests of the text and binary forms of identifiers.

use molespan_types::{GroupId, JobId, TenantId};
use proptest::prelude::*;

proptest! {
    #[test]
    fn job_id_text_form_round_trips(value: u64) {
        let job = JobId(value);
        prop_assert_eq!(JobId::parse(&job.to_string()), Some(job));
    }

    #[test]
    fn job_group_is_never_the_control_group(value: u64, groups in 1u32..64) {
        let group = JobId(value).group(groups);
        prop_assert!(group != GroupId::CONTROL && group.0 <= groups);
    }

    #[test]
    fn identifiers_round_trip_through_cbor(value: u64) {
        let bytes = minicbor::to_vec(JobId(value)).unwrap();
        prop_assert_eq!(minicbor::decode::<JobId>(&bytes).unwrap(), JobId(value));
    }
}

#[test]
fn same_key_of_two_tenants_names_two_jobs() {
    let archive = JobId::from_key(&TenantId::from("archive"), "opening");
    let lab = JobId::from_key(&TenantId::from("lab"), "opening");
    assert_ne!(archive, lab);
}

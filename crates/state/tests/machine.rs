//! The machine of a group as the replica driver uses it.

mod support;

use molespan_state::control::{ControlAnswer, ControlQuery, ControlReply};
use molespan_state::job::{JobAnswer, JobCommand, JobQuery, JobReply};
use molespan_state::{Machine, MemoryPayloadLog, StateError, decode, encode};
use molespan_types::GroupId;
use support::{request, submission};

const JOBS: GroupId = GroupId(1);

#[test]
fn bytes_that_are_no_command_change_nothing() {
    let mut payloads = MemoryPayloadLog::default();
    for bytes in [&[][..], &[0xff, 0xff], &[0x82, 0x18, 0x63, 0x80]] {
        let mut control = Machine::for_group(GroupId::CONTROL);
        let reply = control.apply_bytes(bytes, &mut payloads).unwrap();
        assert_eq!(
            decode::<ControlReply>(&reply).unwrap(),
            ControlReply::Malformed
        );
        assert_eq!(control, Machine::for_group(GroupId::CONTROL));
        let answer = control.query_bytes(bytes, &payloads);
        assert_eq!(
            decode::<ControlAnswer>(&answer).unwrap(),
            ControlAnswer::Malformed
        );

        let mut jobs = Machine::for_group(JOBS);
        let reply = jobs.apply_bytes(bytes, &mut payloads).unwrap();
        assert_eq!(decode::<JobReply>(&reply).unwrap(), JobReply::Malformed);
        assert_eq!(jobs, Machine::for_group(JOBS));
        let answer = jobs.query_bytes(bytes, &payloads);
        let answer = decode::<JobAnswer>(&answer).unwrap();
        assert!(matches!(answer, JobAnswer::Failed { .. }), "{answer:?}");
    }
}

#[test]
fn snapshot_of_another_format_or_machine_is_refused() {
    let jobs = Machine::for_group(JOBS);
    let bytes = jobs.snapshot();
    assert_eq!(Machine::restore(JOBS, &bytes).unwrap(), jobs);
    for length in 0..bytes.len() {
        assert!(Machine::restore(JOBS, &bytes[..length]).is_err());
    }
    let newer = encode(&(99_u32, 0_u32));
    let error = Machine::restore(JOBS, &newer).unwrap_err();
    assert!(
        matches!(error, StateError::Format { found: 99, .. }),
        "{error}"
    );
}

#[test]
fn driver_sees_leases_of_job_groups_only() {
    let mut payloads = MemoryPayloadLog::default();
    let mut jobs = Machine::for_group(JOBS);
    let begin = submission("album", 0);
    let commands: [JobCommand; 3] = [
        begin.clone().into(),
        JobCommand::Accept { job: begin.job },
        request(1, 1, 1).into(),
    ];
    for command in commands {
        jobs.apply_bytes(&encode(&command), &mut payloads).unwrap();
    }
    assert_eq!(jobs.leases().count(), 0, "a job without items is completed");
    let query = encode(&JobQuery::Status { job: begin.job });
    let answer = decode::<JobAnswer>(&jobs.query_bytes(&query, &payloads)).unwrap();
    assert!(matches!(answer, JobAnswer::Status(Some(_))), "{answer:?}");

    let control = Machine::for_group(GroupId::CONTROL);
    assert_eq!(control.leases().count(), 0);
    let answer = control.query_bytes(&encode(&ControlQuery::Nodes), &payloads);
    let answer = decode::<ControlAnswer>(&answer).unwrap();
    assert_eq!(answer, ControlAnswer::Nodes(Vec::new()));
}

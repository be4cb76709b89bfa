//! Size and cost of the configuration and of changing it.

use molespan_state::control::{
    Change, Configuration, ConfirmIntent, ConfirmReply, ControlCommand, ControlMachine,
    ControlReply, IntentNumber,
};
use molespan_state::{decode, encode};
use molespan_types::{ConfigVersion, GroupId};

use super::{REPEATS, micros};
use crate::scale::clock::{resident_bytes, time_per_call};
use crate::scale::fleet::{configuration, tenant_limits, tenant_name};
use crate::scale::hollow::{Cluster, Proposal};
use crate::scale::{Recorder, ScaleError};

/// Tenants at the size that the design is meant for.
const TENANTS: u32 = 1200;

/// The whole configuration by the number of tenants: bytes, and the processor
/// time to write it at a replica and to read it at a node.
pub(super) fn size(recorder: &mut Recorder) -> Result<(), ScaleError> {
    for tenants in [300, 600, 1200, 2400] {
        let whole = configuration(tenants);
        let bytes = encode(&whole);
        for _ in 0..REPEATS {
            let write = time_per_call(|| {
                std::hint::black_box(encode(&whole));
            })?;
            let read = time_per_call(|| {
                let read: Result<Configuration, _> = decode(&bytes);
                let _read = std::hint::black_box(read);
            })?;
            let measures = [
                ("bytes", bytes.len() as f64),
                ("encode_us", micros(write)),
                ("decode_us", micros(read)),
            ];
            recorder.note("tenants", f64::from(tenants), &measures);
        }
    }
    Ok(())
}

/// Confirmed changes through three replicas on real disks.
pub(super) fn confirm(recorder: &mut Recorder) -> Result<(), ScaleError> {
    let mut cluster = Cluster::start(1)?;
    let mut machine = Numbers::default();
    machine.confirm(&mut cluster, vec![initial_changes()])?;
    let warm_up = (0..20).map(limits_change).collect();
    machine.confirm(&mut cluster, warm_up)?;
    for changes in [50, 100, 200] {
        for _ in 0..REPEATS {
            let batch: Vec<Vec<Change>> = (0..changes).map(limits_change).collect();
            let (_, used) = cluster.measure(|cluster| machine.confirm(cluster, batch))?;
            let measures = [
                ("leader_us", micros(used.leader)),
                ("replicas_us", micros(used.all)),
                ("disk_bytes_per_replica", used.disk_bytes),
                ("syncs_per_replica", used.syncs),
                ("replication_bytes", used.frame_bytes),
                ("elapsed_us", micros(used.elapsed)),
            ];
            recorder.note("changes", f64::from(changes), &measures);
        }
    }
    cluster.stop()?;
    Ok(())
}

/// Numbers intents and versions of a client that confirms one after the other.
#[derive(Default)]
struct Numbers {
    version: u64,
}

impl Numbers {
    fn confirm(
        &mut self,
        cluster: &mut Cluster,
        intents: Vec<Vec<Change>>,
    ) -> Result<(), ScaleError> {
        for changes in intents {
            let command = command(self.version, changes);
            let proposal = Proposal {
                group: GroupId::CONTROL,
                command: encode(&command),
            };
            let answers = cluster.run(vec![proposal], 1)?;
            for answer in answers {
                match decode(&answer) {
                    Ok(ControlReply::Confirm(ConfirmReply::Confirmed { version })) => {
                        self.version = version.0;
                    }
                    other => return Err(ScaleError::unexpected(other)),
                }
            }
        }
        Ok(())
    }
}

/// The confirmation that leads on from `version`.
pub(super) fn command(version: u64, changes: Vec<Change>) -> ControlCommand {
    ControlCommand::Confirm(ConfirmIntent {
        number: IntentNumber(version + 1),
        operator: "operator".to_owned(),
        base_version: ConfigVersion(version),
        changes,
    })
}

/// What creates the configuration of the fleet.
pub(super) fn initial_changes() -> Vec<Change> {
    let whole = configuration(TENANTS);
    let models = whole.models.into_iter();
    let models = models.map(|(name, model)| Change::PutModel { name, model });
    let services = whole.services.into_iter();
    let services = services.map(|(name, service)| Change::PutService { name, service });
    let tenants = whole.tenants.into_iter();
    let tenants = tenants.map(|(name, limits)| Change::PutTenant { name, limits });
    models.chain(services).chain(tenants).collect()
}

/// A change of one tenant's limits.
pub(super) fn limits_change(number: u32) -> Vec<Change> {
    vec![Change::PutTenant {
        name: tenant_name(number % TENANTS),
        limits: tenant_limits(number.wrapping_mul(7) + 1),
    }]
}

/// State of the control group by the confirmations that it remembers.
pub(super) fn confirmation_memory(recorder: &mut Recorder) -> Result<(), ScaleError> {
    const STEP: u64 = 30_000;
    let mut machine = ControlMachine::new();
    machine.apply(&command(0, initial_changes()));
    let mut version = 1;
    for _ in 0..4 {
        for _ in 0..STEP {
            let changes = limits_change(version as u32);
            machine.apply(&command(version, changes));
            version += 1;
        }
        let measures = [
            ("snapshot_bytes", machine.snapshot().len() as f64),
            ("resident_bytes", resident_bytes()? as f64),
        ];
        recorder.note("confirmations", version as f64, &measures);
    }
    Ok(())
}

//! Begins and ends the faults of the schedule in the simulated world.

use std::collections::BTreeSet;
use std::time::Duration;

use molespan_engine_api::MachineState;
use molespan_types::{BackendId, NodeId};

use crate::address::Address;
use crate::event::Event;
use crate::fault::{Fault, FaultKind};
use crate::history::LeavingRecord;
use crate::world::World;

/// Delay before a postponed disk fault is attempted again.
const POSTPONE_DELAY: Duration = Duration::from_millis(100);

/// Time by which the other replicas have detected a disk rollback: two hello
/// intervals.
const ROLLBACK_DETECTED_WITHIN: Duration = Duration::from_secs(6);

/// Whether a fault prevents replicas from communicating or removes their state.
fn affects_replicas(kind: &FaultKind) -> bool {
    match kind {
        FaultKind::Kill(addresses) => addresses
            .iter()
            .any(|address| matches!(address, Address::Replica(_))),
        FaultKind::Freeze(address) => matches!(address, Address::Replica(_)),
        FaultKind::Cut(_)
        | FaultKind::LoseDisk(_)
        | FaultKind::RollBackDisk(_)
        | FaultKind::FailSync(_) => true,
        _ => false,
    }
}

impl World {
    pub(crate) fn begin_fault(&mut self, position: usize) {
        let Some(fault) = self.scenario.faults[position].clone() else {
            return;
        };
        if self.must_postpone(&fault) {
            let again = self.context.now + POSTPONE_DELAY;
            if again < self.scenario.faults_end() {
                let event = Event::FaultBegins(position);
                self.context.queue.push(again, event);
            }
            return;
        }
        let now = self.context.now;
        self.context.history.note(now, format!("{}", fault.kind));
        let ends = (now + fault.duration()).min(self.scenario.faults_end());
        let ends = ends.max(now);
        self.context.queue.push(ends, Event::FaultEnds(position));
        self.apply(position, &fault);
    }

    /// Whether a fault must be postponed. Before a disk is lost, every replica must vote
    /// with its current disk, since state lost with a majority of disks cannot be
    /// recovered. A disk rollback is detected only by processes that received messages
    /// about the lost state; until they had time to report it, faults must not affect any
    /// replica.
    fn must_postpone(&self, fault: &Fault) -> bool {
        if self.context.now < self.rollback_detected_by && affects_replicas(&fault.kind) {
            return true;
        }
        matches!(fault.kind, FaultKind::LoseDisk(_)) && !self.every_replica_votes()
    }

    /// Whether every replica runs and votes with its current incarnation.
    pub(crate) fn every_replica_votes(&self) -> bool {
        let statuses: Vec<_> = self.replicas.values().map(|one| one.status()).collect();
        let running: Vec<_> = statuses.iter().flatten().collect();
        if running.len() < statuses.len() {
            return false;
        }
        let lives: BTreeSet<(NodeId, u32)> = running
            .iter()
            .map(|status| (status.node, status.incarnation))
            .collect();
        running.iter().all(|status| {
            let whole = status.groups.iter().all(|group| {
                let voters: BTreeSet<(NodeId, u32)> = group.voters.iter().copied().collect();
                voters == lives
            });
            status.takes_part && whole
        })
    }

    fn apply(&mut self, position: usize, fault: &Fault) {
        let context = &mut self.context;
        match &fault.kind {
            FaultKind::Disturb(disturbance) => context.network.disturb(position, *disturbance),
            FaultKind::Cut(cuts) => context.network.cut(position, cuts.clone()),
            FaultKind::Kill(addresses) => {
                for address in addresses.clone() {
                    self.kill(address);
                }
            }
            FaultKind::Freeze(address) => {
                self.frozen.entry(*address).or_default().0 += 1;
            }
            FaultKind::LoseDisk(replica) => {
                self.kill(Address::Replica(*replica));
                if let Some(replica) = self.replicas.get_mut(replica) {
                    replica.disk.erase();
                }
            }
            FaultKind::RollBackDisk(replica) => {
                if let Some(replica) = self.replicas.get(replica) {
                    let backup = replica.disk.backup();
                    self.backups.insert(position, (context.now, backup));
                }
            }
            FaultKind::FillDisk(replica) => {
                if let Some(replica) = self.replicas.get_mut(replica) {
                    replica.disk.set_full(true);
                    replica.disk_full = true;
                }
            }
            FaultKind::FailSync(replica) => {
                if let Some(replica) = self.replicas.get_mut(replica) {
                    replica.disk.fail_syncs(1);
                    replica.stop_expected = true;
                }
            }
            FaultKind::Answers {
                engine,
                fault,
                percent,
            } => {
                if let Some(engine) = self.engines.get_mut(engine) {
                    engine.start_fault(context, position, *fault, *percent);
                }
            }
            FaultKind::Leave(engine) => self.leave(*engine),
            FaultKind::OldLists => self.platform.start_stale_lists(position),
            FaultKind::PlannedStop(gateway) => {
                let address = Address::Gateway(*gateway);
                *self.down.entry(address).or_default() += 1;
                if self.frozen.contains_key(&address) {
                    self.stop_after_thaw.insert(address);
                } else {
                    self.stop(address);
                }
            }
        }
    }

    pub(crate) fn end_fault(&mut self, position: usize) {
        let Some(fault) = self.scenario.faults[position].clone() else {
            return;
        };
        let now = self.context.now;
        self.context
            .history
            .note(now, format!("end of: {}", fault.kind));
        match &fault.kind {
            FaultKind::Disturb(_) | FaultKind::Cut(_) => self.context.network.heal(position),
            FaultKind::Kill(addresses) => {
                for address in addresses.clone() {
                    self.bring_up(address);
                }
            }
            FaultKind::Freeze(address) => self.thaw(*address),
            FaultKind::LoseDisk(replica) => self.bring_up(Address::Replica(*replica)),
            FaultKind::RollBackDisk(replica) => self.roll_back(position, *replica),
            FaultKind::FillDisk(replica) => {
                if let Some(replica) = self.replicas.get_mut(replica) {
                    replica.disk.set_full(false);
                    replica.disk_full = false;
                }
            }
            FaultKind::FailSync(replica) => {
                if let Some(replica) = self.replicas.get_mut(replica) {
                    replica.disk.fail_syncs(0);
                    replica.stop_expected = false;
                }
            }
            FaultKind::Answers { engine, .. } => {
                if let Some(engine) = self.engines.get_mut(engine) {
                    engine.stop_fault(&mut self.context, position);
                }
            }
            FaultKind::Leave(engine) => {
                let address = Address::Engine(*engine);
                self.kill(address);
                self.bring_up(address);
            }
            FaultKind::OldLists => self.platform.stop_stale_lists(position),
            FaultKind::PlannedStop(gateway) => self.bring_up(Address::Gateway(*gateway)),
        }
    }

    /// Requests a graceful shutdown of a gateway.
    pub(crate) fn stop(&mut self, address: Address) {
        if let Address::Gateway(number) = address
            && let Some(gateway) = self.gateways.get_mut(&number)
        {
            gateway.stop(&mut self.context);
        }
        self.wake(address);
    }

    /// Kills a process and keeps it down.
    fn kill(&mut self, address: Address) {
        *self.down.entry(address).or_default() += 1;
        self.discard_held(address);
        let context = &mut self.context;
        match address {
            Address::Replica(number) => {
                if let Some(replica) = self.replicas.get_mut(&number) {
                    replica.kill(context);
                }
            }
            Address::Gateway(number) => {
                if let Some(gateway) = self.gateways.get_mut(&number) {
                    gateway.kill(context);
                }
            }
            Address::Engine(number) => {
                if let Some(engine) = self.engines.get_mut(&number) {
                    engine.kill(context);
                }
            }
            Address::Platform | Address::Client(_) | Address::Operator(_) => {}
        }
    }

    /// Removes one cause that keeps a process down, and starts the process unless another
    /// cause remains.
    fn bring_up(&mut self, address: Address) {
        let causes = self.down.entry(address).or_default();
        *causes = causes.saturating_sub(1);
        self.start_process(address);
    }

    fn roll_back(&mut self, position: usize, number: u32) {
        let Some((taken, backup)) = self.backups.remove(&position) else {
            return;
        };
        // A rolled back disk counts as a lost one and the same rule applies. The rollback
        // can be detected only by processes that received messages about the lost state.
        let running_since_backup = self.replica_starts.values().all(|start| *start < taken);
        let unreachable = self.context.network.has_cuts() || !self.frozen.is_empty();
        if !running_since_backup || unreachable || !self.every_replica_votes() {
            return;
        }
        let address = Address::Replica(number);
        self.kill(address);
        if let Some(replica) = self.replicas.get_mut(&number) {
            replica.disk.roll_back(&backup);
        }
        self.rollback_detected_by = self.context.now + ROLLBACK_DETECTED_WITHIN;
        self.bring_up(address);
    }

    fn leave(&mut self, number: u32) {
        let now = self.context.now;
        let Some(engine) = self.engines.get_mut(&number) else {
            return;
        };
        if !engine.is_alive() {
            return;
        }
        engine.leave();
        let life = engine.incarnation();
        self.context.history.leaving.push(LeavingRecord {
            at: now,
            backend: BackendId(number),
            incarnation: life,
        });
        self.platform.set(now, number, life, MachineState::Leaving);
    }
}

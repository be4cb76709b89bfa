//! What is compared.

use molespan_routing::pick::PickPolicy;

/// Policy knob at its ends and between.
const KNOBS: [u8; 4] = [0, 25, 50, 100];

/// One way to run the fleet.
#[derive(Clone, Debug)]
pub struct Arm {
    pub name: String,
    /// Whether there is online load.
    pub online: bool,
    /// Whether there is batch load.
    pub batch: bool,
    pub pick: PickPolicy,
    /// Policy knob.
    pub knob: u8,
    /// Whether batch owners hear of online work.
    pub preempts: bool,
    /// Whether engines honour priorities.
    pub engine_priority: bool,
}

impl Arm {
    fn ours(knob: u8) -> Self {
        Self {
            name: format!("ours {knob}"),
            online: true,
            batch: true,
            pick: PickPolicy::Affinity,
            knob,
            preempts: true,
            engine_priority: true,
        }
    }

    /// Whether `name` chooses this arm; the arms without online or without
    /// batch are always needed.
    pub fn is_named(&self, name: &str) -> bool {
        !self.online || !self.batch || self.name.starts_with(name)
    }
}

/// Every arm; the first is online alone.
pub fn arms() -> Vec<Arm> {
    let mut arms = vec![Arm {
        name: "online alone".to_owned(),
        batch: false,
        ..Arm::ours(50)
    }];
    arms.extend(KNOBS.map(|knob| Arm {
        name: format!("batch alone {knob}"),
        online: false,
        ..Arm::ours(knob)
    }));
    arms.extend(KNOBS.map(Arm::ours));
    arms.push(Arm {
        name: "round robin".to_owned(),
        pick: PickPolicy::RoundRobin,
        ..Arm::ours(50)
    });
    arms.push(Arm {
        name: "engine priority only".to_owned(),
        preempts: false,
        ..Arm::ours(0)
    });
    arms.push(Arm {
        name: "no preemption".to_owned(),
        preempts: false,
        engine_priority: false,
        ..Arm::ours(0)
    });
    arms
}

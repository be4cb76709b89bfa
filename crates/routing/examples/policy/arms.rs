//! Arms of the experiment: the configurations that are compared.

use molespan_routing::pick::PickPolicy;

/// Compared values of the tail protection.
const TAIL_PROTECTIONS: [u8; 4] = [0, 25, 50, 100];

/// One configuration of the fleet and its load.
#[derive(Clone, Debug)]
pub struct Arm {
    pub name: String,
    /// Whether there is online load.
    pub online: bool,
    /// Whether there is batch load.
    pub batch: bool,
    pub pick: PickPolicy,
    /// Tail protection.
    pub tail_protection: u8,
    /// Whether batch owners are informed of online work.
    pub preempts: bool,
    /// Whether engines honour priorities.
    pub engine_priority: bool,
}

impl Arm {
    fn ours(tail_protection: u8) -> Self {
        Self {
            name: format!("ours {tail_protection}"),
            online: true,
            batch: true,
            pick: PickPolicy::Affinity,
            tail_protection,
            preempts: true,
            engine_priority: true,
        }
    }

    /// Whether `name` selects this arm; arms without online or without batch load
    /// are always selected, since the report needs them as baselines.
    pub fn is_named(&self, name: &str) -> bool {
        !self.online || !self.batch || self.name.starts_with(name)
    }
}

/// Returns all arms; the first one has only online load.
pub fn arms() -> Vec<Arm> {
    let mut arms = vec![Arm {
        name: "online alone".to_owned(),
        batch: false,
        ..Arm::ours(50)
    }];
    arms.extend(TAIL_PROTECTIONS.map(|tail_protection| Arm {
        name: format!("batch alone {tail_protection}"),
        online: false,
        ..Arm::ours(tail_protection)
    }));
    arms.extend(TAIL_PROTECTIONS.map(Arm::ours));
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

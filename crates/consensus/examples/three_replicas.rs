//! Three replicas of a list of words in one thread, with disks in memory.
//!
//! `cargo run -p molespan-consensus --example three_replicas`
//!
//! It shows one turn of a driver, and a change of leader: the first leader is
//! stopped, another one takes over, and the first catches up when it is back.

use std::collections::BTreeMap;
use std::error::Error;

use molespan_consensus::{
    Config, EntryKind, Membership, Message, Persisted, Replica, ReplicaId, Role,
};

/// A message on its way.
struct Envelope {
    from: ReplicaId,
    to: ReplicaId,
    message: Message,
}

/// A replica, its disk and its state machine.
struct Node {
    replica: Replica,
    disk: Persisted,
    words: Vec<String>,
}

impl Node {
    /// Starts from what is on disk. The machine begins empty: every committed
    /// entry is handed out once more.
    fn start(id: ReplicaId, disk: Persisted) -> Result<Self, Box<dyn Error>> {
        let replica = Replica::new(Config::new(id), disk.clone())?;
        let words = Vec::new();
        Ok(Self {
            replica,
            disk,
            words,
        })
    }

    /// Does the work that the replica hands out, and returns what to send.
    fn turn(&mut self) -> Vec<Envelope> {
        let from = self.replica.id();
        let mut outgoing = Vec::new();
        while let Some(ready) = self.replica.ready() {
            // These may go before the disk has anything.
            outgoing.extend(ready.messages);
            if let Some(hard_state) = ready.hard_state {
                self.disk.hard_state = hard_state;
            }
            if let Some(first) = ready.entries.first() {
                // New entries replace those at their index and behind.
                let index = first.index;
                self.disk.entries.retain(|stored| stored.index < index);
                self.disk.entries.extend(ready.entries);
            }
            // A real driver syncs its disk here.
            self.replica.persisted();
            outgoing.extend(ready.messages_after_sync);
            for entry in ready.committed {
                if let EntryKind::Command(command) = entry.kind {
                    self.words
                        .push(String::from_utf8_lossy(&command).into_owned());
                }
            }
        }
        let envelopes = outgoing.into_iter().map(|outgoing| Envelope {
            from,
            to: outgoing.to,
            message: outgoing.message,
        });
        envelopes.collect()
    }
}

/// The nodes that run, and the messages between them.
struct Cluster {
    nodes: BTreeMap<ReplicaId, Node>,
    network: Vec<Envelope>,
}

impl Cluster {
    /// One tick of every node, and all messages that follow from it. Those to
    /// nodes that do not run are lost.
    fn tick(&mut self) {
        for node in self.nodes.values_mut() {
            node.replica.tick();
            self.network.extend(node.turn());
        }
        while !self.network.is_empty() {
            for envelope in std::mem::take(&mut self.network) {
                if let Some(node) = self.nodes.get_mut(&envelope.to) {
                    node.replica.step(envelope.from, envelope.message);
                    self.network.extend(node.turn());
                }
            }
        }
    }

    /// Ticks until some node leads.
    fn elect(&mut self) -> ReplicaId {
        loop {
            let mut nodes = self.nodes.values();
            if let Some(leader) = nodes.find(|node| node.replica.role() == Role::Leader) {
                return leader.replica.id();
            }
            self.tick();
        }
    }

    /// Proposes a word on the leader and waits until the leader has applied it.
    fn add(&mut self, word: &str) -> Result<(), Box<dyn Error>> {
        let leader = self.elect();
        let node = self.nodes.get_mut(&leader).ok_or("no leader")?;
        node.replica.propose(word.as_bytes().to_vec())?;
        while !self.nodes[&leader].words.iter().any(|known| known == word) {
            self.tick();
        }
        println!(
            "leader {leader}, term {}: {word}",
            self.nodes[&leader].replica.term()
        );
        Ok(())
    }
}

fn main() -> Result<(), Box<dyn Error>> {
    let ids = [1, 2, 3].map(ReplicaId);
    let disk = Persisted::bootstrap(Membership::of_voters(ids));
    let mut cluster = Cluster {
        nodes: BTreeMap::new(),
        network: Vec::new(),
    };
    for id in ids {
        cluster.nodes.insert(id, Node::start(id, disk.clone())?);
    }
    cluster.add("one")?;
    cluster.add("two")?;

    let first = cluster.elect();
    let stopped = cluster.nodes.remove(&first).ok_or("no leader")?;
    println!("leader {first} stops");
    cluster.add("three")?;

    println!("replica {first} starts again from its disk");
    let node = Node::start(first, stopped.disk)?;
    cluster.nodes.insert(first, node);
    while cluster.nodes[&first].words.len() < 3 {
        cluster.tick();
    }
    for (id, node) in &cluster.nodes {
        println!("replica {id}: {}", node.words.join(" "));
    }
    Ok(())
}

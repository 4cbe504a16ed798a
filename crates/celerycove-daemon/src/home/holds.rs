//! Renews and releases the engine memory of the programs that this process is home to.

use std::{collections::BTreeMap, time::Duration};

use celerycove_program::{Shard, state::Status};
use celerycove_types::id;
use celerycove_wire::method;

use super::Task;

/// How often holds are renewed; a third of their lease at the sidecar.
pub(crate) const RENEW: Duration = Duration::from_secs(10);

impl Task {
    /// Renews the holds of programs that pause but are expected to go on.
    pub(crate) fn renew(&self) {
        let keep = self
            .process
            .settings
            .home
            .as_ref()
            .map_or(Duration::ZERO, |home| home.keep_memory.0);
        let mut renew: BTreeMap<id::Backend, Vec<id::Program>> = BTreeMap::new();
        for shard in self.shards.values().filter(|shard| shard.is_primary()) {
            collect(shard, keep, &mut renew);
        }
        for (backend, programs) in renew {
            self.tell(backend, programs, Vec::new());
        }
    }

    /// Releases the holds of a program that has ended.
    pub(crate) fn release(&self, program: &id::Program, backends: &[id::Backend]) {
        for backend in backends {
            self.tell(backend.clone(), Vec::new(), vec![program.clone()]);
        }
    }

    fn tell(&self, backend: id::Backend, renew: Vec<id::Program>, release: Vec<id::Program>) {
        let sidecar = self.share.view().directory.beside(&backend).cloned();
        let Some(sidecar) = sidecar else {
            return;
        };
        let peers = self.peers.clone();
        let holds = method::Holds {
            backend,
            renew,
            release,
        };
        tokio::spawn(async move {
            // A lost renewal or release is made good by the lease's end.
            if let Err(error) = peers.ask::<_, ()>(&sidecar, method::HOLDS, &holds).await {
                log::debug!(target: "home", to:% = sidecar, error:% = error; "holds were not told");
            }
        });
    }
}

fn collect(shard: &Shard, keep: Duration, renew: &mut BTreeMap<id::Backend, Vec<id::Program>>) {
    let state = shard.state();
    for (id, program) in &state.programs {
        if program.status == Status::Ended || program.touched + keep < state.at {
            continue;
        }
        for chain in program.chains.values() {
            if let Some(last) = chain.calls.last() {
                let programs = renew.entry(last.answer.backend.clone()).or_default();
                programs.push(id.clone());
            }
        }
    }
}

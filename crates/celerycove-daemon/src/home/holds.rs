//! Renews and releases the holds on engine memory of the programs whose home this process is.
//!
//! A hold is a lease at the sidecar: while it lasts, the engine keeps the memory that it caches for
//! a program between two calls.

use std::{collections::BTreeMap, time::Duration};

use celerycove_program::{Shard, state::Status};
use celerycove_types::id;
use celerycove_wire::method;

use super::Task;

/// The interval at which holds are renewed; a third of their lease at the sidecar.
pub(crate) const RENEWAL_INTERVAL: Duration = Duration::from_secs(10);

impl Task {
    /// Renews the holds of programs that are idle but are expected to make further calls.
    pub(crate) fn renew_holds(&self) {
        let keep_memory = self
            .process
            .settings
            .home
            .as_ref()
            .map_or(Duration::ZERO, |home| home.keep_memory.0);
        let mut renewals: BTreeMap<id::Backend, Vec<id::Program>> = BTreeMap::new();
        for shard in self.shards.values().filter(|shard| shard.is_primary()) {
            collect_renewals(shard, keep_memory, &mut renewals);
        }
        for (backend, programs) in renewals {
            self.send_holds(backend, programs, Vec::new());
        }
    }

    /// Releases the holds of a program that has ended.
    pub(crate) fn release_holds(&self, program: &id::Program, backends: &[id::Backend]) {
        for backend in backends {
            self.send_holds(backend.clone(), Vec::new(), vec![program.clone()]);
        }
    }

    fn send_holds(&self, backend: id::Backend, renew: Vec<id::Program>, release: Vec<id::Program>) {
        let sidecar = self.state.view().directory.sidecar_of(&backend).cloned();
        let Some(sidecar) = sidecar else {
            return;
        };
        let peers = self.peers.clone();
        let holds = method::MemoryLeases {
            backend,
            renew,
            release,
        };
        tokio::spawn(async move {
            // The next renewal makes up for a lost one; after a lost release, the lease expires.
            if let Err(error) = peers
                .call::<_, ()>(&sidecar, method::MEMORY_LEASES, &holds)
                .await
            {
                log::debug!(target: "home", to:% = sidecar, error:% = error;
                    "could not renew or release holds");
            }
        });
    }
}

fn collect_renewals(
    shard: &Shard,
    keep_memory: Duration,
    renewals: &mut BTreeMap<id::Backend, Vec<id::Program>>,
) {
    let state = shard.state();
    for (id, program) in &state.programs {
        if program.status == Status::Ended || program.touched + keep_memory < state.at {
            continue;
        }
        for chain in program.chains.values() {
            if let Some(last) = chain.calls.last() {
                let programs = renewals.entry(last.answer.backend.clone()).or_default();
                programs.push(id.clone());
            }
        }
    }
}

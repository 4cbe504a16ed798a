//! Fault injection: tests cut links to other processes in the connection layer.

use std::{collections::BTreeSet, sync::Arc};

use arc_swap::ArcSwap;
use celerycove_types::id;

/// The links of this process that are cut: it neither sends to nor accepts from these processes.
#[derive(Debug, Default)]
pub struct Links {
    cut: ArcSwap<CutLinks>,
}

#[derive(Debug, Default, Clone)]
struct CutLinks {
    all: bool,
    processes: BTreeSet<id::Process>,
}

impl Links {
    /// Whether the link to a process is cut.
    #[must_use]
    pub fn is_cut(&self, process: &str) -> bool {
        let cut = self.cut.load();
        cut.all || cut.processes.contains(process)
    }

    /// Cuts the link to one process, or to all.
    pub fn cut(&self, process: Option<&id::Process>) {
        self.cut.rcu(|cut| {
            let mut cut = CutLinks::clone(cut);
            match process {
                Some(process) => {
                    cut.processes.insert(process.clone());
                }
                None => cut.all = true,
            }
            Arc::new(cut)
        });
    }

    /// Restores all links.
    pub fn heal(&self) {
        self.cut.store(Arc::default());
    }
}

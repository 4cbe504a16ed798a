//! The versions of backend servers that a request may run on.

use std::{collections::BTreeSet, sync::Arc};

/// The versions of backend servers that a request may run on.
#[derive(Debug, Clone, Copy, Default)]
pub enum Versions<'a> {
    /// All versions.
    #[default]
    Any,
    /// This version only.
    Only(&'a str),
    /// All versions but these.
    Except(&'a BTreeSet<Arc<str>>),
}

impl Versions<'_> {
    /// Returns whether a request may run on a version.
    pub(super) fn allow(self, version: &str) -> bool {
        match self {
            Self::Any => true,
            Self::Only(only) => version == only,
            Self::Except(excluded) => !excluded.contains(version),
        }
    }
}

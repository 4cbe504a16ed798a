//! Orders to engines, as `EngineControl` defines them.

use serde::{Deserialize, Serialize};

/// What an engine is told to do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "kebab-case")]
pub enum Order {
    /// Load a model version.
    Load {
        /// The model.
        model: String,
        /// The version.
        version: String,
    },
    /// Load an adapter.
    Adapter {
        /// The model that it adapts.
        model: String,
        /// The adapter.
        adapter: String,
    },
    /// Take another role, such as prefill or decode.
    Role {
        /// The role.
        role: String,
    },
}

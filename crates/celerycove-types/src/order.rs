//! Commands to engines, in the form that the `EngineControl` interface defines.

use serde::{Deserialize, Serialize};

/// A command to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "kebab-case")]
pub enum Order {
    /// Loads a model version.
    Load {
        /// The model's name.
        model: String,
        /// The model's version.
        version: String,
    },
    /// Loads an adapter.
    Adapter {
        /// The adapter's base model.
        model: String,
        /// The adapter's name.
        adapter: String,
    },
    /// Switches to another role, such as prefill or decode.
    Role {
        /// The new role.
        role: String,
    },
}

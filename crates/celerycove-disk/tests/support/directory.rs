//! A temporary directory for tests.

use std::path::{Path, PathBuf};

/// A temporary directory that is removed on drop.
pub struct TempDir(PathBuf);

impl TempDir {
    pub fn new(name: &str) -> Self {
        let directory =
            std::env::temp_dir().join(format!("celerycove-disk-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&directory).expect("a directory");
        Self(directory)
    }

    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        // A leftover temporary directory is harmless.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

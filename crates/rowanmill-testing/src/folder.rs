//! Temporary folders for tests.

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};

/// A temporary folder, deleted with its contents when dropped.
pub struct TestFolder(PathBuf);

impl TestFolder {
    /// Creates a folder whose name consists of `prefix`, the process id and a counter, so that no other running test
    /// uses it.
    pub fn new(prefix: &str) -> Self {
        static NEXT_NUMBER: AtomicUsize = AtomicUsize::new(0);
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        let name = format!("{prefix}-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("the temporary folder is writable");
        Self(path)
    }

    /// The folder's path.
    pub fn path(&self) -> &Path {
        &self.0
    }

    /// Writes a file and returns its path.
    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        std::fs::write(&path, text).expect("the temporary folder is writable");
        path
    }
}

impl Drop for TestFolder {
    fn drop(&mut self) {
        // A folder that is not deleted does no harm, whereas a panic here would hide that of the test.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

//! Runs the program, and returns its output as text.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::atomic::{AtomicUsize, Ordering};

/// Creates a folder for the files of one test.
pub fn folder() -> PathBuf {
    static FOLDERS: AtomicUsize = AtomicUsize::new(0);
    let number = FOLDERS.fetch_add(1, Ordering::Relaxed);
    let name = format!("rowanmill-compatibility-{}-{number}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

pub fn write(folder: &Path, name: &str, text: &str) {
    std::fs::write(folder.join(name), text).unwrap();
}

/// The path of the current build.
pub const PROGRAM: &str = env!("CARGO_BIN_EXE_rowanmill");

/// Runs a build of the program in `folder` until it exits.
pub fn run_build(program: &str, folder: &Path, arguments: &[&str]) -> Output {
    let mut command = Command::new(program);
    let output = command.current_dir(folder).args(arguments).output();
    output.unwrap()
}

/// Runs the program in `folder`. Returns the command, the exit code, standard output and standard error as text.
pub fn run(folder: &Path, arguments: &[&str]) -> String {
    let output = run_build(PROGRAM, folder, arguments);
    let code = output.status.code().unwrap();
    let text = |bytes: &[u8]| String::from_utf8(bytes.to_vec()).unwrap();
    format!(
        "$ rowanmill {}\nexit code {code}\nstandard output:\n{}standard error:\n{}\n",
        arguments.join(" "),
        text(&output.stdout),
        text(&output.stderr)
    )
}

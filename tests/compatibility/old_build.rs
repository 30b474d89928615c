//! Compares `check` of an older build of the program with that of the current build on the same files.

use crate::check::{COMMANDS, write_files};
use crate::run::{PROGRAM, folder, run_build};
use rowanmill_testing::cluster::old_program;
use std::path::Path;

/// The options of `check` that take a file.
const FILE_OPTIONS: [&str; 4] = ["--config", "--policy", "--cells", "--limits"];

/// Runs a build of the program. Returns the exit code, the standard output, and whether it printed to standard error.
fn outcome(program: &str, folder: &Path, arguments: &[&str]) -> (Option<i32>, String, bool) {
    let output = run_build(program, folder, arguments);
    let text = String::from_utf8(output.stdout).unwrap();
    (output.status.code(), text, !output.stderr.is_empty())
}

/// Checks that both builds have the same outcome for these arguments.
fn assert_same_outcome(folder: &Path, arguments: &[&str]) {
    let [old, current] =
        [old_program().as_str(), PROGRAM].map(|program| outcome(program, folder, arguments));
    assert_eq!(old, current, "the builds differ for {arguments:?}");
}

/// Both builds check each file of [`write_files`] and each file in `deploy/` as each kind of file. They also run all
/// `check` commands in [`COMMANDS`].
#[test]
#[ignore = "needs the path of an older build in ROWANMILL_OLD_PROGRAM"]
fn both_builds_have_the_same_outcome_for_the_same_files() {
    let folder = folder();
    write_files(&folder);
    let deploy = Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/deploy"));
    for folder in [&folder, deploy] {
        for file in std::fs::read_dir(folder).unwrap() {
            let file = file.unwrap().file_name().into_string().unwrap();
            for option in FILE_OPTIONS {
                assert_same_outcome(folder, &["check", option, &file]);
            }
        }
    }
    for arguments in COMMANDS.iter().filter(|command| command[0] == "check") {
        assert_same_outcome(&folder, arguments);
    }
}

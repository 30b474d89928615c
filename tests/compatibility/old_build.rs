//! The checks of an older build of the program beside those of the present one, on the same files.

use crate::check::{COMMANDS, write_files};
use crate::run::{PROGRAM, folder, output};
use rowanmill_testing::cluster::old_program;
use std::path::Path;

/// The options of `check` that take a file.
const OPTIONS: [&str; 4] = ["--config", "--policy", "--cells", "--limits"];

/// The exit code, the standard output, and whether there was an error text.
fn outcome(program: &str, folder: &Path, arguments: &[&str]) -> (Option<i32>, String, bool) {
    let output = output(program, folder, arguments);
    let text = String::from_utf8(output.stdout).unwrap();
    (output.status.code(), text, !output.stderr.is_empty())
}

fn assert_same(folder: &Path, arguments: &[&str]) {
    let [old, present] =
        [old_program().as_str(), PROGRAM].map(|program| outcome(program, folder, arguments));
    assert_eq!(old, present, "{arguments:?}");
}

/// Each file of `deploy/` and of the other tests is checked as each kind of file, and together with those with
/// which the other tests check it.
#[test]
#[ignore = "needs the path of an older build in ROWANMILL_OLD_PROGRAM"]
fn both_builds_check_files_alike() {
    let folder = folder();
    write_files(&folder);
    let deploy = Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/deploy"));
    for folder in [&folder, deploy] {
        for file in std::fs::read_dir(folder).unwrap() {
            let file = file.unwrap().file_name().into_string().unwrap();
            for option in OPTIONS {
                assert_same(folder, &["check", option, &file]);
            }
        }
    }
    for arguments in COMMANDS.iter().filter(|command| command[0] == "check") {
        assert_same(&folder, arguments);
    }
}

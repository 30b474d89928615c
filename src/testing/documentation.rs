//! Checks that the files and items that the pages for newcomers name exist.

use std::path::Path;

/// Pages whose paths are checked.
const PAGES: [&str; 2] = ["docs/architecture.md", "docs/glossary.md"];
/// A text in backticks is recognized as a path if it begins with one of these folders, or if it is `src`.
const ROOTS: [&str; 5] = ["src/", "crates/", "tests/", "deploy/", "docs/"];

/// Keywords that an item's name follows in its definition.
const ITEM_KEYWORDS: [&str; 7] = ["fn", "struct", "enum", "const", "trait", "type", "mod"];

/// The paths in backticks on a page, each with the item that it names, if any.
fn named_paths(page: &str) -> Vec<(&str, Option<&str>)> {
    let quoted = page.split('`').skip(1).step_by(2);
    let paths = quoted.filter(|text| {
        let is_path = ROOTS.iter().any(|root| text.starts_with(root)) || *text == "src";
        is_path && !text.contains(char::is_whitespace)
    });
    paths
        .map(|text| match text.split_once("::") {
            Some((path, item)) => (path, Some(item)),
            None => (text, None),
        })
        .collect()
}

/// Whether an item's name follows one of the keywords anywhere in the source, including its comments and strings.
fn defines(source: &str, item: &str) -> bool {
    let words: Vec<&str> = source
        .split(|c: char| !c.is_alphanumeric() && c != '_')
        .collect();
    words
        .windows(2)
        .any(|pair| ITEM_KEYWORDS.contains(&pair[0]) && pair[1] == item)
}

#[test]
fn paths_and_items_on_the_pages_for_newcomers_exist() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut checked = 0;
    let mut missing = Vec::new();
    for page in PAGES {
        let text = std::fs::read_to_string(root.join(page)).expect(page);
        for (path, item) in named_paths(&text) {
            checked += 1;
            let exists = match item {
                None => root.join(path).exists(),
                Some(item) => std::fs::read_to_string(root.join(path))
                    .is_ok_and(|source| defines(&source, item)),
            };
            if !exists {
                let item = item.map_or(String::new(), |item| format!("::{item}"));
                missing.push(format!("{page}: {path}{item}"));
            }
        }
    }
    assert!(
        missing.is_empty(),
        "these paths or items do not exist: {missing:#?}"
    );
    assert!(checked > 50, "only {checked} paths were recognized");
}

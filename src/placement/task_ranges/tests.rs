use super::*;

#[test]
fn indices_are_the_same_as_those_that_were_added() {
    let mut ranges = TaskRanges::default();
    for tasks in [2..5, 5..6, 9..9, 9..12] {
        ranges.push(tasks);
    }
    let expected = [2, 3, 4, 5, 9, 10, 11];
    assert_eq!(ranges.iter().collect::<Vec<u32>>(), expected);
    assert_eq!(ranges.len(), expected.len());
    let by_position = (0..=expected.len()).map_while(|position| ranges.get(position));
    assert_eq!(by_position.collect::<Vec<u32>>(), expected);
    assert_eq!(ranges, expected.into_iter().collect());
    assert_eq!(TaskRanges::default().get(0), None);
    assert!(TaskRanges::default().is_empty());
}

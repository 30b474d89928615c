use super::*;

#[test]
fn one_unit_too_many_is_seen_and_what_left_counts_no_more() {
    let mut quota = Quota::default();
    quota.limit("t", 3000);
    quota.submit("job-1", "t", 1500);
    quota.submit("job-2", "t", 1);
    quota.submit("job-3", "other", 9000);
    assert_eq!(quota.start("job-1/0"), Ok(()));
    assert_eq!(quota.start("job-1/1"), Ok(()), "a limit may be reached");
    assert_eq!(quota.start("job-3/0"), Ok(()), "no limit is known of it");
    let over = quota.start("job-2/0").unwrap_err();
    assert_eq!((over.used, over.limit), (3001, 3000));
    quota.leave("job-2/0");
    quota.leave("job-1/0");
    assert_eq!(quota.start("job-2/1"), Ok(()));
    assert_eq!(quota.most("t"), 3001);
}

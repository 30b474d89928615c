use super::*;

#[test]
fn usage_above_the_limit_is_reported_and_ended_tasks_do_not_count() {
    let mut quota = QuotaMonitor::default();
    quota.set_limit("t", 3000);
    quota.record_job("job-1", "t", 1500);
    quota.record_job("job-2", "t", 1);
    quota.record_job("job-3", "other", 9000);
    assert_eq!(quota.record_start("job-1/0"), Ok(()));
    assert_eq!(
        quota.record_start("job-1/1"),
        Ok(()),
        "usage may equal the limit"
    );
    assert_eq!(
        quota.record_start("job-3/0"),
        Ok(()),
        "the team has no limit"
    );
    let over = quota.record_start("job-2/0").unwrap_err();
    assert_eq!((over.used, over.limit), (3001, 3000));
    quota.record_end("job-2/0");
    quota.record_end("job-1/0");
    assert_eq!(quota.record_start("job-2/1"), Ok(()));
    assert_eq!(quota.peak_usage("t"), 3001);
}

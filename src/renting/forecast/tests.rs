use super::*;

/// Guards against a forecast that is never published: the state service rejects a record that exceeds its value
/// limit, also when it is written again. With as many long machine names as are published at once and without gangs,
/// the record fits each limit.
#[test]
fn the_largest_forecast_fits_its_record() {
    let number = 123_456.789_012_345_6;
    let longest = "vm-with-a-longer-name-000001";
    let forecast = |names: usize| DemandForecast {
        late_now: number,
        counted_now: number,
        late_next: number,
        counted_next: number,
        running: number,
        waiting: u32::MAX,
        startup_queue: u32::MAX,
        booting: u32::MAX,
        wanted_machines: number,
        wanted_spot_machines: number,
        wanted_substitutes: BTreeMap::from([("another-kind-16".to_owned(), number)]),
        arrived: u32::MAX,
        finished: u32::MAX,
        idle: Vec::new(),
        idle_names: vec![longest.to_owned(); names],
    };
    let mut trace = String::new();
    for (value_bytes, machine_types) in [(2048_usize, 2_usize), (2048, 3), (8192, 2), (32768, 3)] {
        // The formula of `max_published_idle` for controllers that publish no gangs.
        let names = (value_bytes / machine_types).saturating_sub(FORECAST_BYTES)
            / (longest.len() + NAME_OVERHEAD_BYTES);
        let names = names.max(1);
        let entry = |n: usize| (format!("a-kind-{n:08}"), forecast(names));
        let record = ForecastSummaryRecord {
            at_ms: u64::MAX >> 11,
            puts_per_s: number,
            write_backlog: number,
            has_lower_quota: true,
            by_machine_type: (0..machine_types).map(entry).collect(),
            blocked_gangs: BTreeMap::new(),
        };
        let bytes = serde_json::to_vec(&record).unwrap().len();
        assert!(
            bytes <= value_bytes,
            "the record takes {bytes} bytes, at most {value_bytes} are allowed"
        );
        trace.push_str(&format!(
            "{value_bytes} bytes, {machine_types} machine types: {names} names each, {bytes} bytes used\n"
        ));
    }
    insta::assert_snapshot!(trace, @r#"
    2048 bytes, 2 machine types: 17 names each, 1981 bytes used
    2048 bytes, 3 machine types: 6 names each, 1893 bytes used
    8192 bytes, 2 machine types: 116 names each, 8119 bytes used
    32768 bytes, 3 machine types: 336 names each, 32583 bytes used
    "#);
}

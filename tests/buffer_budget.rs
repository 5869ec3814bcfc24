//! Tests of the division of the memory for callers.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr};

use arbtest::arbtest;
use monsoonfield::buffer_budget::{
    BufferBudget, HolderId, Shortage, IDLE_MS, PROGRESS_BYTES, STALL_MS,
};
use monsoonfield::gateway::Settings;

const TOTAL_BYTES: usize = 80_000;

fn address(number: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 0, 0, number))
}

/// Opens a connection of a team, from an address of its own, that holds a number of bytes.
fn open(budget: &mut BufferBudget, number: u8, team: Option<&str>, bytes: usize) -> HolderId {
    let id = budget.open(address(number), 0);
    budget.set_team(id, team.map(Into::into));
    budget.resize_input(id, bytes, 0).expect("room for it");
    id
}

/// Guards against a crowd that takes all memory, or one address or team that leaves nothing to others.
#[test]
fn each_limit_refuses_growth_with_its_reason() {
    let share_bytes = BufferBudget::new(TOTAL_BYTES).share_bytes();
    let cases = [
        // Address and team of the second connection, what both may hold together, and what is used up beyond.
        (2, Some("heels"), TOTAL_BYTES, Shortage::Process),
        (1, Some("heels"), share_bytes, Shortage::Address),
        (2, Some("soles"), share_bytes, Shortage::Team),
    ];
    for (number, team, limit_bytes, shortage) in cases {
        let mut budget = BufferBudget::new(TOTAL_BYTES);
        open(&mut budget, 1, Some("soles"), TOTAL_BYTES / 2);
        let second = open(&mut budget, number, team, 1);

        let fits = budget.resize_input(second, limit_bytes - TOTAL_BYTES / 2, 0);
        let exceeds = budget.resize_input(second, limit_bytes - TOTAL_BYTES / 2 + 1, 0);

        assert_eq!(fits, Ok(vec![]), "{shortage:?}");
        assert_eq!(exceeds, Err((shortage, vec![])));
    }
}

/// Guards against requests without a valid key that displace those of teams.
#[test]
fn requests_without_a_team_share_half_of_the_budget() {
    let mut budget = BufferBudget::new(TOTAL_BYTES);
    open(&mut budget, 1, None, TOTAL_BYTES / 2 - 1);

    let second = open(&mut budget, 2, None, 1);
    let result = budget.resize_input(second, 2, 0);

    assert_eq!(result, Err((Shortage::Team, vec![])));
    budget.set_team(second, Some("soles".into()));
    assert_eq!(budget.resize_input(second, 2, 0), Ok(vec![]));
}

/// Guards against bodies that stop short of their end and keep their places, and against the eviction of requests that
/// make progress or are being served.
#[test]
fn stalled_requests_make_room_the_oldest_first() {
    let mut budget = BufferBudget::new(TOTAL_BYTES);
    let quarter = TOTAL_BYTES / 4;
    let oldest = open(&mut budget, 1, Some("a"), quarter);
    let dripping = open(&mut budget, 2, Some("b"), quarter);
    let active = open(&mut budget, 3, Some("c"), quarter);
    let served = open(&mut budget, 4, Some("d"), quarter);
    budget.begin_serving(served);
    budget.record_received(dripping, PROGRESS_BYTES - 1, STALL_MS - 1);
    budget.record_received(active, PROGRESS_BYTES, STALL_MS - 1);
    let newest = budget.open(address(5), STALL_MS);

    assert_eq!(budget.shortage_of(newest, 2 * quarter, STALL_MS), None);
    assert_eq!(
        budget.shortage_of(newest, 2 * quarter + 1, STALL_MS),
        Some(Shortage::Process)
    );
    assert_eq!(
        budget.resize_input(newest, 1, STALL_MS - 1),
        Err((Shortage::Process, vec![]))
    );
    assert_eq!(budget.resize_input(newest, 1, STALL_MS), Ok(vec![oldest]));
    assert_eq!(
        budget.resize_input(newest, 2 * quarter, STALL_MS),
        Ok(vec![dripping])
    );
}

/// Guards against connections that are held open and lock out new ones, and against the loss of kept connections while
/// a stalled one could go instead.
#[test]
fn connections_without_progress_make_place_for_new_ones() {
    let mut budget = BufferBudget::new(TOTAL_BYTES);
    let idle = budget.open(address(1), 0);
    budget.end_request(idle, 0);
    let receiving = budget.open(address(2), IDLE_MS - STALL_MS);
    let served = budget.open(address(3), 0);
    budget.begin_serving(served);

    assert_eq!(budget.evict_connection(IDLE_MS - 1), None);
    assert_eq!(budget.evict_connection(IDLE_MS), Some(receiving));
    assert_eq!(budget.evict_connection(IDLE_MS), Some(idle));
    assert_eq!(budget.evict_connection(IDLE_MS), None);
}

/// Guards against sums that drift from what the connections hold, or that exceed the budget by checked growth.
#[test]
fn sums_match_the_connections_after_any_events() {
    arbtest(|events| {
        let mut budget = BufferBudget::new(1_000);
        let mut held: BTreeMap<HolderId, (usize, usize)> = BTreeMap::new();
        let mut now_ms = 0;
        for _ in 0..events.int_in_range(0..=60)? {
            now_ms += events.int_in_range(0..=STALL_MS)?;
            let number = events.int_in_range(0..=3)?;
            let bytes = events.int_in_range(0..=600)?;
            let ids: Vec<HolderId> = held.keys().copied().collect();
            if ids.is_empty() || events.ratio(1, 4)? {
                held.insert(budget.open(address(number), now_ms), (0, 0));
                continue;
            }
            let id = *events.choose(&ids)?;
            let sums = held.get_mut(&id).expect("an open connection");
            let result = match events.int_in_range(0..=6)? {
                0 => {
                    budget.close(id);
                    held.remove(&id);
                    continue;
                }
                1 => {
                    budget.end_request(id, now_ms);
                    *sums = (0, 0);
                    continue;
                }
                2 => {
                    budget.set_team(id, Some(number.to_string().into()));
                    continue;
                }
                3 => {
                    budget.record_received(id, 2 * bytes, now_ms);
                    continue;
                }
                4 => {
                    budget.begin_serving(id);
                    continue;
                }
                5 => {
                    let result = budget.resize_input(id, bytes, now_ms);
                    sums.0 = if result.is_ok() { bytes } else { sums.0 };
                    result
                }
                _ => {
                    let result = budget.resize_output(id, bytes, now_ms);
                    sums.1 = if result.is_ok() { bytes } else { sums.1 };
                    result
                }
            };
            let (Ok(evicted) | Err((_, evicted))) = result;
            held.retain(|id, _| !evicted.contains(id));
            let expected: usize = held.values().map(|(input, output)| input + output).sum();
            assert_eq!(budget.held_bytes(), expected);
            assert!(expected <= budget.total_bytes());
        }
        for id in held.into_keys() {
            budget.close(id);
        }
        assert_eq!(budget.held_bytes(), 0);
        Ok(())
    });
}

/// Guards against a budget that a gateway cannot hold beside itself, and against a default that differs from the page.
#[test]
fn the_part_of_the_memory_is_checked() {
    let settings = |resources: &str| {
        Settings::from_yaml(&format!(
            "vm: edge-1\ndata_centre: kv-a\n\
             listen: {{callers: '127.0.0.1:1', readiness: '127.0.0.1:2', metrics: '127.0.0.1:3', peers: '127.0.0.1:4'}}\n\
             store: {{address: '127.0.0.1:5', partitions: 4, writes_per_s: 800, reads_per_s: 2000}}\n\
             resources: {{memory_mb: 100, descriptors: 1024, processor_cores: 0.25, link_mbps: 10.0{resources}}}\n\
             fleet: {{retry_ratio: 0.2, retry_slack: 5, retry_window_s: 10.0, stop_grace_s: 8.0}}\n"
        ))
    };
    let bytes = |resources: &str| settings(resources).map(|valid| valid.resources.buffer_bytes());

    assert_eq!(bytes("").expect("valid"), 50 << 20);
    assert_eq!(bytes(", buffer_percent: 80").expect("valid"), 80 << 20);
    for percent in [9, 81] {
        let error = settings(&format!(", buffer_percent: {percent}")).expect_err("not allowed");
        let messages = error.messages("gateway.yaml");
        assert!(
            messages[0].contains("resources.buffer_percent"),
            "{messages:?}"
        );
    }
}

//! Tests of the division of the buffer memory.

use monsoonfield::backpressure::{
    BufferShares, ReadPermit, MAX_RESPONSE_BYTES, MIN_RESPONSE_BYTES,
};
use monsoonfield::contract::Priority;

const TOTAL_BYTES: usize = 48 << 20;

/// Opens `count` responses of a class and reads as much as is permitted; returns the number of bytes held.
fn fill(shares: &mut BufferShares, class: Priority, count: usize) -> usize {
    for _ in 0..count {
        shares.add_response();
    }
    let mut held = 0;
    for _ in 0..count {
        let mut own = 0;
        while let ReadPermit::Read(bytes) = shares.read_permit(class, own) {
            shares.hold(class, bytes);
            own += bytes;
        }
        held += own;
    }
    held
}

/// Guards against a process that exceeds its memory limit when many readers stop at once.
#[test]
fn ten_thousand_readers_stay_within_the_total() {
    let mut shares = BufferShares::new(TOTAL_BYTES);

    let held = fill(&mut shares, Priority::Normal, 10_000);

    assert!(
        held <= TOTAL_BYTES,
        "{held} of {TOTAL_BYTES} bytes are held"
    );
    assert_eq!(held, shares.total_held_bytes());
}

/// Guards against one response that takes all memory.
#[test]
fn one_response_stays_within_its_limit() {
    let mut shares = BufferShares::new(TOTAL_BYTES);

    let held = fill(&mut shares, Priority::High, 1);

    assert_eq!(held, MAX_RESPONSE_BYTES);
}

/// Guards against slow readers of a low class that block the responses of a high class.
#[test]
fn a_low_class_leaves_memory_for_a_high_class() {
    let mut shares = BufferShares::new(TOTAL_BYTES);
    let low = fill(&mut shares, Priority::Low, 20_000);

    let high = fill(&mut shares, Priority::High, 1_000);

    assert!(low < TOTAL_BYTES);
    assert!(
        high >= 1_000 * MIN_RESPONSE_BYTES,
        "the high class holds only {high} bytes"
    );
    assert!(shares.total_held_bytes() <= TOTAL_BYTES);
}

/// Guards against memory that stays accounted after its response has ended.
#[test]
fn a_closed_response_releases_what_it_held() {
    let mut shares = BufferShares::new(TOTAL_BYTES);
    shares.add_response();
    shares.hold(Priority::Low, 5_000);

    shares.remove_response(Priority::Low, 5_000);

    assert_eq!(shares.total_held_bytes(), 0);
    assert_eq!(shares.open_responses(), 0);
}

/// Guards against any sequence of operations that exceeds the total.
#[test]
fn no_order_of_operations_exceeds_the_total() {
    arbtest::arbtest(|u| {
        let total = u.int_in_range(10_000..=1_000_000)?;
        let mut shares = BufferShares::new(total);
        let mut open: Vec<(Priority, usize)> = Vec::new();
        for _ in 0..u.int_in_range(1..=200)? {
            match u.int_in_range(0..=3)? {
                0 => {
                    shares.add_response();
                    open.push((*u.choose(&Priority::ALL)?, 0));
                }
                1 if !open.is_empty() => {
                    let index = u.choose_index(open.len())?;
                    let (class, own) = &mut open[index];
                    if let ReadPermit::Read(bytes) = shares.read_permit(*class, *own) {
                        shares.hold(*class, bytes);
                        *own += bytes;
                    }
                }
                2 if !open.is_empty() => {
                    let index = u.choose_index(open.len())?;
                    let (class, own) = &mut open[index];
                    let taken = u.int_in_range(0..=*own)?;
                    shares.release(*class, taken);
                    *own -= taken;
                }
                3 if !open.is_empty() => {
                    let (class, own) = open.swap_remove(u.choose_index(open.len())?);
                    shares.remove_response(class, own);
                }
                _ => {}
            }
            let held: usize = open.iter().map(|(_, own)| own).sum();
            assert_eq!(held, shares.total_held_bytes());
            assert!(held <= total, "{held} of {total} bytes are held");
        }
        Ok(())
    });
}

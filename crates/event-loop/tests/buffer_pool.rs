//! Which buffers the pool grants, and the memory that they take.

use harrierdock_event_loop::{Buffer, BufferPool, ResourceClass, SHORT_BUFFER_BYTES};
use harrierdock_http::BUFFER_BYTES;

const MEMORY_LIMITS_MB: [usize; 4] = [16, 32, 64, 192];
const CONNECTION_LIMITS: [usize; 3] = [232, 488, 1_000];
const MEGABYTE: usize = 1 << 20;
const CLASSES: [ResourceClass; 2] = [ResourceClass::Downstream, ResourceClass::Upstream];

/// Acquires buffers for messages of this length until none is available.
fn acquire_all(pool: &mut BufferPool, message_bytes: usize, class: ResourceClass) -> Vec<Buffer> {
    std::iter::from_fn(|| pool.acquire(message_bytes, class)).collect()
}

fn capacity(buffers: &[Buffer]) -> usize {
    buffers.iter().map(Buffer::capacity).sum()
}

#[test]
fn every_connection_has_two_short_buffers_when_no_longer_one_is_left() {
    for memory in MEMORY_LIMITS_MB {
        for limit in CONNECTION_LIMITS {
            let mut pool = BufferPool::new(memory, limit);
            let long = acquire_all(&mut pool, BUFFER_BYTES, ResourceClass::Upstream);
            let short: Vec<Buffer> = (0..2 * pool.max_connections())
                .map(|_| pool.acquire(1, ResourceClass::Downstream).unwrap())
                .collect();
            let bytes = capacity(&long) + capacity(&short);
            assert!(!long.is_empty(), "{memory} MB, {limit} connections");
            assert!(
                bytes <= memory * MEGABYTE * 60 / 100,
                "{memory} MB, {limit} connections: {bytes} bytes"
            );
        }
    }
}

#[test]
fn the_usual_limits_leave_short_buffers_for_all_descriptors() {
    for memory in [32, 64, 128, 192] {
        for limit in CONNECTION_LIMITS {
            assert_eq!(BufferPool::new(memory, limit).max_connections(), limit);
        }
    }
    // Less memory allows fewer connections.
    assert!(BufferPool::new(8, 1_000).max_connections() < 1_000);
}

#[test]
fn requests_leave_longer_buffers_to_attempts_and_responses() {
    let mut pool = BufferPool::new(32, 1_000);
    let requests = acquire_all(&mut pool, BUFFER_BYTES, ResourceClass::Downstream);
    let others = acquire_all(&mut pool, BUFFER_BYTES, ResourceClass::Upstream);
    assert!(
        others.len() * 3 >= requests.len(),
        "{} for requests, {} for others",
        requests.len(),
        others.len()
    );
}

#[test]
fn a_message_that_outgrows_its_buffer_keeps_its_bytes() {
    for class in CLASSES {
        let mut pool = BufferPool::new(32, 100);
        let mut buffer = Buffer::new();
        let bytes: Vec<u8> = (0..BUFFER_BYTES).map(|index| index as u8).collect();
        for piece in bytes.chunks(1_000) {
            assert!(pool.reserve(&mut buffer, piece.len(), class));
            buffer.extend_from_slice(piece);
        }
        assert_eq!(buffer, bytes);
        assert_eq!(pool.in_use(), 1);
        assert!(!pool.reserve(&mut buffer, 1, class), "no buffer is longer");
        pool.release(&mut buffer);
        assert_eq!((pool.in_use(), pool.violations), (0, 0));
    }
}

#[test]
fn a_buffer_that_cannot_grow_is_left_as_it_is() {
    let mut pool = BufferPool::new(16, 100);
    let mut long = acquire_all(&mut pool, BUFFER_BYTES, ResourceClass::Downstream);
    long.extend(acquire_all(
        &mut pool,
        SHORT_BUFFER_BYTES + 1,
        ResourceClass::Downstream,
    ));
    let mut buffer = pool.acquire(1, ResourceClass::Downstream).unwrap();
    buffer.extend_from_slice(&[b'x'; SHORT_BUFFER_BYTES]);
    assert!(!pool.reserve(&mut buffer, 1, ResourceClass::Downstream));
    assert_eq!(buffer, [b'x'; SHORT_BUFFER_BYTES]);
    pool.release(&mut long[0]);
    assert!(pool.reserve(&mut buffer, 1, ResourceClass::Downstream));
}

#[test]
fn memory_outside_the_pool_counts_against_longer_buffers_only() {
    let mut pool = BufferPool::new(16, 100);
    pool.charge(16 * MEGABYTE);
    let none = Buffer::new();
    assert!(!pool.can_reserve(&none, BUFFER_BYTES, ResourceClass::Upstream));
    assert!(pool.can_reserve(&none, SHORT_BUFFER_BYTES, ResourceClass::Downstream));
    pool.uncharge(16 * MEGABYTE);
    assert!(pool.can_reserve(&none, BUFFER_BYTES, ResourceClass::Upstream));
}

#[test]
fn a_buffer_is_exchanged_for_a_longer_one_when_the_memory_of_both_is_not_left() {
    let mut pool = BufferPool::new(16, 100);
    let mut all = acquire_all(&mut pool, BUFFER_BYTES, ResourceClass::Upstream);
    pool.release(&mut all[0]);
    let mut buffer = pool
        .acquire(SHORT_BUFFER_BYTES + 1, ResourceClass::Upstream)
        .unwrap();
    assert!(pool.reserve(&mut buffer, BUFFER_BYTES, ResourceClass::Upstream));
    assert_eq!(buffer.capacity(), BUFFER_BYTES);
}

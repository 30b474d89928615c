//! Memory that this process has allocated, and whether it is short. What is then refused is decided
//! elsewhere.

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

/// The system's allocator, which counts the bytes that it has handed out.
pub struct CountingAllocator;

static ALLOCATED: AtomicUsize = AtomicUsize::new(0);

// SAFETY: every call is passed on to the system's allocator as it is; only sizes are counted.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATED.fetch_add(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller's promises are the system allocator's.
        unsafe { System.alloc(layout) }
    }

    unsafe fn alloc_zeroed(&self, layout: Layout) -> *mut u8 {
        ALLOCATED.fetch_add(layout.size(), Ordering::Relaxed);
        // SAFETY: as above. Zeroed pages that are not written yet stay free of charge.
        unsafe { System.alloc_zeroed(layout) }
    }

    unsafe fn dealloc(&self, block: *mut u8, layout: Layout) {
        ALLOCATED.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: as above.
        unsafe { System.dealloc(block, layout) }
    }

    unsafe fn realloc(&self, block: *mut u8, layout: Layout, size: usize) -> *mut u8 {
        ALLOCATED.fetch_add(size, Ordering::Relaxed);
        ALLOCATED.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: as above.
        unsafe { System.realloc(block, layout, size) }
    }
}

/// Bytes that are allocated now.
pub fn allocated() -> usize {
    ALLOCATED.load(Ordering::Relaxed)
}

const BYTES_PER_MB: f64 = 1e6;
/// Part of its machine's memory from which on memory is short. The rest is for the code, the stacks, the
/// kernel's buffers of sockets and what the allocator cannot use again.
const ENTER_PART: f64 = 0.7;
/// Part below which it is no longer short. In between nothing changes, so that each job that ends does not
/// let in another only to refuse the next.
const LEAVE_PART: f64 = 0.6;

/// Whether memory is short, with hysteresis.
#[derive(Debug)]
pub struct MemoryPressure {
    enter_bytes: usize,
    leave_bytes: usize,
    is_short: AtomicBool,
}

impl MemoryPressure {
    /// For a machine with `memory_mb` megabytes (10^6 bytes).
    pub fn new(memory_mb: f64) -> Self {
        let part = |part: f64| (memory_mb * BYTES_PER_MB * part) as usize;
        Self {
            enter_bytes: part(ENTER_PART),
            leave_bytes: part(LEAVE_PART),
            is_short: AtomicBool::new(false),
        }
    }

    /// Records how many bytes are allocated, and returns whether memory is short with that.
    pub fn update(&self, allocated: usize) -> bool {
        let was_short = self.is_short.load(Ordering::Relaxed);
        let limit = if was_short {
            self.leave_bytes
        } else {
            self.enter_bytes
        };
        let is_short = allocated >= limit;
        self.is_short.store(is_short, Ordering::Relaxed);
        is_short
    }
}

#[cfg(test)]
mod tests;

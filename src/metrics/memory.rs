//! Counts the memory that this process has allocated, and tells whether memory is short. Callers decide what
//! they refuse then.

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

/// Wraps the system's allocator and counts the bytes that are allocated.
pub struct CountingAllocator;

static ALLOCATED: AtomicUsize = AtomicUsize::new(0);

// SAFETY: every call is forwarded unchanged to the system's allocator; only sizes are counted.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATED.fetch_add(layout.size(), Ordering::Relaxed);
        // SAFETY: the system's allocator requires the same of the caller as this function.
        unsafe { System.alloc(layout) }
    }

    unsafe fn alloc_zeroed(&self, layout: Layout) -> *mut u8 {
        ALLOCATED.fetch_add(layout.size(), Ordering::Relaxed);
        // SAFETY: as above. Forwarded because the system's allocator need not write the zeros: pages that
        // it gets from the kernel are zeroed, and occupy no memory until they are written.
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
/// Fraction of the process's memory limit from which on memory is short. The rest is for the code, the stacks, the
/// kernel's socket buffers and memory that the allocator cannot reuse.
const ENTER_FRACTION: f64 = 0.7;
/// Fraction below which memory is no longer short. Without the gap, each job that ends would admit one more,
/// and the next would be refused again.
const LEAVE_FRACTION: f64 = 0.6;

/// Whether memory is short, with hysteresis.
#[derive(Debug)]
pub struct MemoryPressure {
    enter_bytes: usize,
    leave_bytes: usize,
    is_short: AtomicBool,
}

impl MemoryPressure {
    /// The thresholds for a process that may use `memory_mb` megabytes (10^6 bytes) of memory.
    pub fn new(memory_mb: f64) -> Self {
        let bytes = |fraction: f64| (memory_mb * BYTES_PER_MB * fraction) as usize;
        Self {
            enter_bytes: bytes(ENTER_FRACTION),
            leave_bytes: bytes(LEAVE_FRACTION),
            is_short: AtomicBool::new(false),
        }
    }

    /// Updates the state for this number of allocated bytes, and returns whether memory is short.
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

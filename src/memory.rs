//! Settings of the allocator that keep the resident memory of a process near what it uses.

/// Size from which on an allocation gets pages of its own, which return to the kernel as soon as it is released.
///
/// By default glibc raises this size up to 32 MiB when such an allocation is released. Bodies would then come from the
/// heap, where one small allocation behind them keeps all of their memory resident.
#[cfg(all(target_os = "linux", target_env = "gnu"))]
const MMAP_THRESHOLD_BYTES: i32 = 128 << 10;

/// Fixes the thresholds of the allocator; called once at the start of a process.
pub(crate) fn configure_allocator() {
    #[cfg(all(target_os = "linux", target_env = "gnu"))]
    // SAFETY: mallopt takes two numbers and changes only settings of the allocator.
    let is_set = unsafe { libc::mallopt(libc::M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES) } == 1;
    #[cfg(all(target_os = "linux", target_env = "gnu"))]
    if !is_set {
        log::warn!(step = "start"; "the allocator keeps its threshold for separate pages");
    }
}

/// Returns unused pages of the heap to the kernel.
pub(crate) fn release_unused() {
    #[cfg(all(target_os = "linux", target_env = "gnu"))]
    // SAFETY: malloc_trim only returns pages that the allocator does not use.
    unsafe {
        libc::malloc_trim(0);
    }
}

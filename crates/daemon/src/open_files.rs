//! Limit on the open files of the process, which sockets count toward.

use nix::sys::resource::{self, Resource};

/// Files that a process may open before it has read its settings.
const START_FILES: usize = 256;

/// Raises the limit to what a start needs.
pub(crate) fn raise_for_start() {
    raise_limit(START_FILES);
}

/// Raises the limit to `wanted`, or as far as the kernel allows. Returns how many files the
/// process may open, at most `wanted`.
pub(crate) fn raise_limit(wanted: usize) -> usize {
    match try_raise(u64::try_from(wanted).unwrap_or(u64::MAX)) {
        Ok(limit) => usize::try_from(limit).unwrap_or(wanted).min(wanted),
        Err(error) => {
            log::warn!(error:% = error; "limit of open files is not known");
            wanted
        }
    }
}

fn try_raise(wanted: u64) -> nix::Result<u64> {
    let (soft, hard) = resource::getrlimit(Resource::RLIMIT_NOFILE)?;
    if soft >= wanted {
        return Ok(soft);
    }
    let raised = wanted.min(hard);
    let result = resource::setrlimit(Resource::RLIMIT_NOFILE, raised, hard);
    let limit = result.map_or(soft, |()| raised);
    log::info!(soft, hard, wanted, limit; "limit of open files");
    Ok(limit)
}

//! The tasks that fetch new revisions of the document and apply them.

use std::sync::Arc;
use std::time::Duration;

use almondbank_control::Result;
use almondbank_wire::rank;

use crate::node::Node;

const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Time that a starting instance waits for a higher revision from its peers while
/// the table is down.
const PEER_WAIT: Duration = Duration::from_secs(2);

/// Polls the head row and applies new revisions until the node stops. Marks the
/// node ready once its document is current.
pub(crate) async fn run(node: Arc<Node>) {
    let mut document_since = None;
    loop {
        match refresh(&node).await {
            Ok(()) => {
                node.ready
                    .send_if_modified(|ready| !std::mem::replace(ready, true));
            }
            Err(error) => {
                log::debug!("failed to read the document: {error}");
                if node.catalog.current().revision > 0 {
                    let since = *document_since.get_or_insert_with(|| node.clock.now());
                    if node.clock.now() >= since + PEER_WAIT {
                        node.ready
                            .send_if_modified(|ready| !std::mem::replace(ready, true));
                    }
                }
            }
        }
        tokio::select! {
            () = node.stopped.cancelled() => return,
            () = node.clock.sleep(POLL_INTERVAL) => {}
        }
    }
}

/// Reads the head row and, if its revision is newer, applies that document.
pub(crate) async fn refresh(node: &Node) -> Result<()> {
    let Some(head) = node.repository.head(node.environment()).await? else {
        return Ok(());
    };
    if head.row.revision <= node.catalog.current().revision {
        return Ok(());
    }
    let text = node.repository.text(&head.row.object).await?;
    if node.catalog.offer(head.row.revision, &text)? {
        log::info!("applied revision {} read from the table", head.row.revision);
    }
    Ok(())
}

/// Sets the admission floors of each new edition and wakes the leader.
pub(crate) async fn apply_editions(node: Arc<Node>) {
    let mut editions = node.catalog.subscribe();
    loop {
        let edition = Arc::clone(&editions.borrow_and_update());
        let floors = rank::ALL.map(|rank| edition.document.target(rank).floor_percent);
        node.admission.set_floors(floors);
        node.leader_wake.notify_one();
        tokio::select! {
            () = node.stopped.cancelled() => return,
            changed = editions.changed() => if changed.is_err() { return },
        }
    }
}

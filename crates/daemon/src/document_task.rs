//! The task that follows the accepted document.

use std::sync::Arc;
use std::time::Duration;

use almondbank_control::Result;
use almondbank_wire::rank;

use crate::node::Node;

const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Time that a starting instance gives its peers to tell a higher revision
/// while the table is down.
const PEER_WAIT: Duration = Duration::from_secs(2);

/// Polls the head row and puts new revisions in force, until the node stops.
pub(crate) async fn run(node: Arc<Node>) {
    let mut told_at = None;
    loop {
        match refresh(&node).await {
            Ok(()) => {
                node.ready
                    .send_if_modified(|ready| !std::mem::replace(ready, true));
            }
            Err(error) => {
                log::debug!("document not read: {error}");
                if node.catalog.current().revision > 0 {
                    let since = *told_at.get_or_insert_with(|| node.clock.now());
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

/// Reads the head row once and takes the document that it names.
pub(crate) async fn refresh(node: &Node) -> Result<()> {
    let Some(head) = node.registry.head(node.environment()).await? else {
        return Ok(());
    };
    if head.row.revision <= node.catalog.current().revision {
        return Ok(());
    }
    let text = node.registry.text(&head.row.object).await?;
    if node.catalog.offer(head.row.revision, &text)? {
        log::info!("revision {} in force, from the table", head.row.revision);
    }
    Ok(())
}

/// Applies what a new edition changes at once.
pub(crate) async fn follow(node: Arc<Node>) {
    let mut editions = node.catalog.subscribe();
    loop {
        let edition = Arc::clone(&editions.borrow_and_update());
        let floors = rank::ALL.map(|rank| edition.document.target(rank).floor_percent);
        node.admission.set_floors(floors);
        node.work.notify_one();
        tokio::select! {
            () = node.stopped.cancelled() => return,
            changed = editions.changed() => if changed.is_err() { return },
        }
    }
}

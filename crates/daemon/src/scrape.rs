//! `GET /metrics`: the metrics, for Prometheus.

use std::sync::Arc;

use salvo::http::{HeaderValue, Request, Response, header};
use salvo::{Depot, FlowCtrl, Handler, async_trait};

use crate::node::Node;

/// Handler of metrics requests.
pub(crate) struct Scrape {
    pub(crate) node: Arc<Node>,
}

#[async_trait]
impl Handler for Scrape {
    async fn handle(
        &self,
        _request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let kind = HeaderValue::from_static("text/plain; version=0.0.4");
        response.headers_mut().insert(header::CONTENT_TYPE, kind);
        let _ = response.write_body(self.node.metrics.encode());
    }
}

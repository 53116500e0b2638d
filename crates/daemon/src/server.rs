//! The HTTP server for callers and operators.

use std::sync::Arc;
use std::time::Duration;

use almondbank_wire::problem::{Code, Problem};
use salvo::catcher::Catcher;
use salvo::conn::tcp::TcpAcceptor;
use salvo::fuse::FuseConfig;
use salvo::http::{Request, Response, StatusCode};
use salvo::{Depot, FlowCtrl, Handler, Router, Server, Service as Salvo, async_trait};

use crate::chat::Chat;
use crate::entries::Entries;
use crate::models::Models;
use crate::node::Node;
use crate::operator::{Action, Operator};
use crate::response;
use crate::scrape::Scrape;
use crate::service::Service;

const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);
const MAX_HEADERS: usize = 64;
const MAX_HEADER_BYTES: usize = 32 << 10;

/// Builds the server on a bound listener, with its timeouts and size limits.
pub(crate) fn new(node: &Arc<Node>, acceptor: TcpAcceptor) -> Server<TcpAcceptor> {
    let limits = FuseConfig::default()
        .with_http1_header_timeout(HEADER_TIMEOUT)
        .with_request_body_timeout(BODY_TIMEOUT)
        .with_write_stall_timeout(WRITE_TIMEOUT);
    let mut server = Server::new(acceptor)
        .fuse_config(limits)
        .max_connections(node.settings.max_connections);
    server
        .http1_mut()
        .max_headers(MAX_HEADERS)
        .max_buf_size(MAX_HEADER_BYTES);
    server
}

/// Routes of all requests, with problems for those that match none.
pub(crate) fn service(node: &Arc<Node>) -> Salvo {
    let fallback = Fallback {
        node: Arc::clone(node),
    };
    Salvo::new(router(node)).catcher(Catcher::new(fallback))
}

fn router(node: &Arc<Node>) -> Router {
    let callers = Router::with_path("v1")
        .push(Router::with_path("entries").get(Entries {
            node: Arc::clone(node),
        }))
        .push(Router::with_path("models").get(Models {
            node: Arc::clone(node),
        }))
        .push(Router::with_path("chat/completions").post(Chat {
            node: Arc::clone(node),
        }))
        .push(
            Router::with_path("services/{service}/{call}").post(Service {
                node: Arc::clone(node),
            }),
        );
    let metrics = Router::with_path("metrics").get(Scrape {
        node: Arc::clone(node),
    });
    Router::new()
        .push(callers)
        .push(operators(node))
        .push(metrics)
}

fn operators(node: &Arc<Node>) -> Router {
    let operator = |action| Operator {
        node: Arc::clone(node),
        action,
    };
    let environment = Router::with_path("{environment}")
        .push(
            Router::with_path("document")
                .get(operator(Action::Get))
                .post(operator(Action::Apply)),
        )
        .push(Router::with_path("promote").post(operator(Action::Promote)))
        .push(Router::with_path("history").get(operator(Action::History)))
        .push(Router::with_path("drain").post(operator(Action::Drain)));
    Router::with_path("operator/v1")
        .push(Router::with_path("status").get(operator(Action::Status)))
        .push(Router::with_path("where").get(operator(Action::Where)))
        .push(Router::with_path("leave").post(operator(Action::Leave)))
        .push(Router::with_path("environments").push(environment))
}

/// Writes a problem as the body of errors that the server itself raises.
struct Fallback {
    node: Arc<Node>,
}

#[async_trait]
impl Handler for Fallback {
    async fn handle(
        &self,
        _request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        ctrl: &mut FlowCtrl,
    ) {
        if response.is_stamped() && !response.body.is_none() && !response.body.is_error() {
            return;
        }
        let status = response.status_code.unwrap_or(StatusCode::NOT_FOUND);
        let code = match status {
            StatusCode::NOT_FOUND | StatusCode::METHOD_NOT_ALLOWED => Code::NotFound,
            _ => Code::BadRequest,
        };
        response::problem(
            &self.node,
            response,
            &Problem::not_run(code, format!("no such path or method ({status})")),
        );
        ctrl.skip_rest();
    }
}

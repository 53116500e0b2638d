//! `GET /v1/models`: the models and adapters that the caller may use, in the
//! format of the `OpenAI` API.

use std::sync::Arc;

use almondbank_control::catalog::Edition;
use almondbank_wire::problem::Problem;
use salvo::http::{Request, Response};
use salvo::{Depot, FlowCtrl, Handler, async_trait};
use serde::Serialize;

use crate::node::Node;
use crate::{extract, response};

/// Handler of requests for the list of models.
pub(crate) struct Models {
    pub(crate) node: Arc<Node>,
}

#[derive(Debug, Serialize)]
struct List {
    object: &'static str,
    data: Vec<Model>,
}

#[derive(Debug, Serialize)]
struct Model {
    id: String,
    object: &'static str,
    owned_by: &'static str,
}

#[async_trait]
impl Handler for Models {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        match extract::edition(&self.node).and_then(|edition| list(&edition, request)) {
            Ok(list) => response::json(response, &list),
            Err(problem) => response::problem(&self.node, response, &problem),
        }
    }
}

fn list(edition: &Edition, request: &Request) -> Result<List, Problem> {
    let caller = extract::caller(edition, request)?;
    let data = caller
        .grants
        .keys()
        .filter(|target| edition.document.resolve(target).is_some())
        .map(|target| Model {
            id: target.clone(),
            object: "model",
            owned_by: "almondbank",
        })
        .collect();
    Ok(List {
        object: "list",
        data,
    })
}

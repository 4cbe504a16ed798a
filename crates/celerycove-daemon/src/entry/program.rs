//! The programs API: opens, shows and ends programs, and lists the models.

use std::{collections::BTreeSet, time::Duration};

use celerycove_program::{Request as HomeRequest, Response as HomeResponse};
use celerycove_sync::announce::Kind;
use celerycove_types::{id, label};
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use rand::RngExt;
use serde::Deserialize;
use serde_json::json;

use super::{Entry, refuse::Refusal};
use crate::http::{Body, response};

/// The body of a request to open a program. Error messages to callers contain the names of this
/// type and of its fields.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct Open {
    #[serde(default)]
    budget: Budget,
    deadline_ms: Option<u64>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct Budget {
    tokens: Option<id::Tokens>,
}

impl Entry {
    pub(super) async fn open_program(
        &self,
        request_id: &id::Request,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Refusal> {
        let caller = self.authenticate(request.headers())?;
        let bytes = self.read_body(request.into_body()).await?;
        let open: Open = if bytes.is_empty() {
            Open::default()
        } else {
            serde_json::from_slice(&bytes).map_err(|error| Refusal::invalid_field("body", error))?
        };
        self.admit(&caller).await?;
        let random: u128 = self.with_rng(RngExt::random);
        let program: id::Program = format!("p-{random:032x}").into();
        let open_request = HomeRequest::Open {
            program: program.clone(),
            organisation: caller.organisation.clone(),
            budget: open.budget.tokens,
            deadline: open.deadline_ms.map(Duration::from_millis),
        };
        self.send_to_home(&program, open_request).await?;
        log::info!(target: "place", request:% = request_id, program:% = program,
            organisation:% = caller.organisation; "program opened");
        let body = json!({"id": program}).to_string();
        Ok(response(StatusCode::CREATED, "application/json", body))
    }

    pub(super) async fn show_or_end_program(
        &self,
        request: &Request<Incoming>,
    ) -> Result<Response<Body>, Refusal> {
        let caller = self.authenticate(request.headers())?;
        let id = request.uri().path().trim_start_matches("/v1/programs/");
        if !label::is_valid(id) {
            return Err(Refusal::invalid_field("program", "not a program's id"));
        }
        let program: id::Program = id.into();
        if request.method() == Method::DELETE {
            let end = HomeRequest::End {
                program: program.clone(),
                organisation: caller.organisation,
            };
            self.send_to_home(&program, end).await?;
            let body = json!({"id": program, "ended": true}).to_string();
            return Ok(response(StatusCode::OK, "application/json", body));
        }
        let show = HomeRequest::Show {
            program: program.clone(),
            organisation: Some(caller.organisation),
        };
        let HomeResponse::Account(account) = self.send_to_home(&program, show).await? else {
            return Err(Refusal::unavailable(
                "home_unavailable",
                "the program's home gave no account",
            ));
        };
        let body = json!({
            "id": account.program,
            "budget": {"tokens": account.budget},
            "spent": {"tokens": account.spent},
            "reserved": {"tokens": account.reserved},
            "calls": account.calls,
            "ended": account.ended,
        });
        Ok(response(
            StatusCode::OK,
            "application/json",
            body.to_string(),
        ))
    }

    /// Lists the models that the engines announce.
    pub(super) fn list_models(
        &self,
        request: &Request<Incoming>,
    ) -> Result<Response<Body>, Refusal> {
        self.authenticate(request.headers())?;
        let view = self.state.view();
        let models: BTreeSet<&str> = view
            .directory
            .live()
            .filter_map(|announcement| announcement.backend.as_ref())
            .filter(|backend| backend.kind == Kind::Engine)
            .flat_map(|backend| backend.models.iter().map(|model| model.name.as_str()))
            .collect();
        let data: Vec<_> = models
            .into_iter()
            .map(|name| json!({"id": name, "object": "model", "owned_by": "celerycove"}))
            .collect();
        let body = json!({"object": "list", "data": data}).to_string();
        Ok(response(StatusCode::OK, "application/json", body))
    }
}

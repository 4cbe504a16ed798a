//! Handler of the operator listener.

use std::sync::Arc;

use celerycove_config::{Proposal, secret};
use celerycove_control::{Answer, Command, placement::Assignment};
use celerycove_program::{Request as ShardRequest, Response as ShardResponse, request::Account};
use celerycove_sync::directory::Entry;
use celerycove_types::id;
use celerycove_wire::{header, method, operator};
use hyper::{Request, Response, StatusCode, body::Incoming};
use jsonrpsee::{RpcModule, server::RegisterMethodError, types::ErrorObjectOwned};

use crate::{
    control::Control,
    http::{Body, Handler, response},
    internal::{Rpc, rpc_error},
    peer::Peers,
    process::Process,
    state::SharedState,
};

/// Serves the RPC calls of operators on a control instance.
pub struct Operators {
    /// Pairs of operator name and credential digest.
    credentials: Vec<(String, String)>,
    rpc: Rpc,
}

/// Name of the operator who sent a request.
#[derive(Debug, Clone)]
struct Operator(String);

struct Context {
    process: Arc<Process>,
    state: Arc<SharedState>,
    control: Arc<Control>,
    peers: Arc<Peers>,
}

impl Operators {
    /// Creates the handler.
    ///
    /// # Errors
    ///
    /// Returns an error if a method is registered twice.
    pub fn new(
        credentials: Vec<(String, String)>,
        process: Arc<Process>,
        state: Arc<SharedState>,
        control: Arc<Control>,
        peers: Arc<Peers>,
    ) -> Result<Arc<Self>, RegisterMethodError> {
        let context = Context {
            process,
            state,
            control,
            peers,
        };
        let rpc = Rpc::new(methods(context)?);
        Ok(Arc::new(Self { credentials, rpc }))
    }

    /// Returns the operator whose credential the request presents.
    fn authenticate(&self, request: &Request<Incoming>) -> Option<Operator> {
        let presented = request
            .headers()
            .get(header::OPERATOR_CREDENTIAL)?
            .to_str()
            .ok()?;
        let digest = secret::digest(presented);
        // Compare every credential, so that response times don't reveal which one matches.
        self.credentials
            .iter()
            .fold(None, |found, (name, expected)| {
                let matches = secret::constant_time_eq(&digest, expected);
                if matches { Some(name) } else { found }
            })
            .map(|name| Operator(name.clone()))
    }
}

impl Handler for Operators {
    async fn handle(self: Arc<Self>, mut request: Request<Incoming>) -> Response<Body> {
        let Some(operator) = self.authenticate(&request) else {
            return response(
                StatusCode::FORBIDDEN,
                "text/plain",
                "an operator's credential is required",
            );
        };
        request.extensions_mut().insert(operator);
        self.rpc.answer(request).await
    }
}

fn not_leader(leader: Option<&id::Process>) -> ErrorObjectOwned {
    let name = leader.map_or_else(|| "unknown".to_owned(), ToString::to_string);
    rpc_error(
        operator::NOT_LEADER,
        format!("this instance does not lead; the leader is {name}"),
    )
}

impl Context {
    /// Converts the answer to a failed proposal into an RPC error.
    fn check_answer(answer: Answer) -> Result<Answer, ErrorObjectOwned> {
        match answer {
            Answer::NotLeader(leader) => Err(not_leader(leader.as_ref())),
            Answer::Unknown => Err(rpc_error(
                operator::OUTCOME_UNKNOWN,
                "the instance stopped leading; resend with the same request id",
            )),
            Answer::Refused(reason) => Err(rpc_error(operator::REJECTED, reason)),
            answer => Ok(answer),
        }
    }

    /// Fails unless this instance leads and its state is fresh, so that operators never see stale
    /// state.
    fn require_leader(&self) -> Result<(), ErrorObjectOwned> {
        let summary = self.control.summary();
        let fresh = self.state.is_fresh(self.process.now());
        if summary.leads && fresh {
            return Ok(());
        }
        Err(not_leader(
            summary.leader.as_ref().filter(|_| !summary.leads),
        ))
    }

    fn status(&self) -> operator::Status {
        let summary = self.control.summary();
        let view = self.state.view();
        let (process, data_centre) = (&self.process.name, &self.process.data_centre);
        operator::Status {
            leader: self.process.name.clone(),
            term: summary.term,
            members: summary.members.iter().cloned().collect(),
            version: view.config.version,
            spread: self
                .state
                .with_follower(|follower| follower.spread(process, data_centre)),
            processes: view
                .directory
                .all()
                .map(|(announcement, gone)| Entry {
                    sequence: 0,
                    announcement: announcement.clone(),
                    gone,
                })
                .collect(),
            shards: count_shards(&view.placement.shards),
        }
    }

    async fn programs(&self) -> Result<Vec<Account>, ErrorObjectOwned> {
        let view = self.state.view().clone();
        let mut accounts = Vec::new();
        for (shard, assignment) in (0..).zip(&view.placement.shards) {
            let Some(primary) = &assignment.primary else {
                continue;
            };
            let request = method::Request {
                shard,
                request: ShardRequest::List,
            };
            let response = self
                .peers
                .call::<_, ShardResponse>(&primary.process, method::REQUEST, &request)
                .await
                .map_err(|error| {
                    rpc_error(operator::REJECTED, format!("shard {shard}: {error}"))
                })?;
            if let ShardResponse::Accounts(more) = response {
                accounts.extend(more);
            }
        }
        Ok(accounts)
    }

    async fn send_order(
        &self,
        order: operator::Order,
    ) -> Result<id::FencingToken, ErrorObjectOwned> {
        let process = self
            .state
            .view()
            .directory
            .sidecar_of(&order.backend)
            .cloned();
        let sidecar = process
            .ok_or_else(|| rpc_error(operator::REJECTED, "the backend server is unknown"))?;
        let answer = Self::check_answer(self.control.propose(Command::Fence).await)?;
        let Answer::Fenced(fence) = answer else {
            return Err(rpc_error(operator::REJECTED, "no fencing number was given"));
        };
        let order = method::Order {
            backend: order.backend,
            fence,
            order: order.order,
        };
        self.peers
            .call::<_, ()>(&sidecar, method::ORDER, &order)
            .await
            .map_err(|error| rpc_error(operator::REJECTED, error_chain(&error)))?;
        Ok(fence)
    }

    async fn change_member(&self, change: operator::MemberChange) -> Result<(), ErrorObjectOwned> {
        let answer = if change.add {
            self.control.add_member(&change.process).await
        } else {
            let mut members = self.control.summary().members.clone();
            members.remove(&change.process);
            self.control.propose(Command::Members(members)).await
        };
        Self::check_answer(answer)?;
        Ok(())
    }
}

fn error_chain(error: &dyn std::error::Error) -> String {
    match error.source() {
        Some(source) => format!("{error}: {}", error_chain(source)),
        None => error.to_string(),
    }
}

fn count_shards(shards: &[Assignment]) -> operator::ShardCounts {
    let mut counts = operator::ShardCounts {
        total: shards.len(),
        ..operator::ShardCounts::default()
    };
    for shard in shards {
        counts.served += usize::from(shard.primary.is_some());
        counts.learning += usize::from(!shard.learners.is_empty());
        *counts.replicas.entry(shard.in_sync().count()).or_default() += 1;
    }
    counts
}

fn methods(context: Context) -> Result<RpcModule<Context>, RegisterMethodError> {
    let mut module = RpcModule::new(context);
    module.register_async_method(
        operator::PROPOSE,
        |parameters, context, extensions| async move {
            let mut proposal: Proposal = parameters.one()?;
            let operator = extensions.get::<Operator>();
            proposal.operator = operator.map_or_else(String::new, |operator| operator.0.clone());
            let answer = context.control.propose(Command::Configure(proposal)).await;
            match Context::check_answer(answer)? {
                Answer::Configured(outcome) => Ok(outcome),
                _ => Err(rpc_error(operator::REJECTED, "the proposal had no outcome")),
            }
        },
    )?;
    module.register_method(operator::CONFIG, |_, context, _| {
        context.require_leader()?;
        let age = context.state.age(context.process.now()).unwrap_or_default();
        let config = context.state.view().config.as_ref().clone();
        Ok::<_, ErrorObjectOwned>(operator::CurrentConfig { config, age })
    })?;
    module.register_method(operator::STATUS, |_, context, _| {
        context.require_leader()?;
        Ok::<_, ErrorObjectOwned>(context.status())
    })?;
    module.register_async_method(operator::PROGRAMS, |_, context, _| async move {
        context.require_leader()?;
        context.programs().await
    })?;
    module.register_async_method(operator::ORDER, |parameters, context, _| async move {
        let order: operator::Order = parameters.one()?;
        context.send_order(order).await
    })?;
    module.register_async_method(operator::MEMBER, |parameters, context, _| async move {
        let change: operator::MemberChange = parameters.one()?;
        context.change_member(change).await
    })?;
    Ok(module)
}

//! The listener for the deployment's own processes.

use std::sync::{Arc, OnceLock};

use celerycove_config::secret;
use celerycove_sync::Pull;
use celerycove_wire::{header, method};
use http_body_util::BodyExt;
use hyper::{Request, Response, StatusCode, body::Incoming};
use jsonrpsee::{
    RpcModule,
    server::{Methods, RegisterMethodError, Server as RpcServer, StopHandle, stop_channel},
    types::ErrorObjectOwned,
};

use crate::{
    control::Control,
    follow::Follow,
    home::Homes,
    http::{Body, Handler, answer},
    peer::LARGEST_MESSAGE,
    process::Process,
    sidecar::{PATH, Sidecars},
};

/// What this process offers to others.
pub struct Internal {
    process: Arc<Process>,
    sidecars: Arc<Sidecars>,
    rpc: OnceLock<Rpc>,
}

/// JSON-RPC methods behind an HTTP surface.
pub struct Rpc {
    methods: Methods,
    stop: StopHandle,
}

impl Rpc {
    /// Serves the methods of a module.
    #[must_use]
    pub fn new(methods: impl Into<Methods>) -> Self {
        // The listener around it ends the connections; nothing is ever stopped here.
        let (stop, handle) = stop_channel();
        std::mem::forget(handle);
        Self {
            methods: methods.into(),
            stop,
        }
    }

    /// Answers one HTTP request.
    pub async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        use hyper::service::Service as _;
        let config = jsonrpsee::server::ServerConfig::builder()
            .max_request_body_size(LARGEST_MESSAGE)
            .max_response_body_size(LARGEST_MESSAGE)
            .build();
        let builder = RpcServer::builder().set_config(config).to_service_builder();
        let service = builder.build(self.methods.clone(), self.stop.clone());
        let service = hyper_util::service::TowerToHyperService::new(service);
        match service.call(request).await {
            Ok(response) => response.map(|body| body.map_err(Into::into).boxed_unsync()),
            Err(error) => {
                log::warn!(target: "run", error:% = error; "a call between processes failed");
                answer(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", "failed")
            }
        }
    }
}

impl Internal {
    /// Creates the surface; it answers once [`Internal::offer`] was called.
    #[must_use]
    pub fn new(process: Arc<Process>, sidecars: Arc<Sidecars>) -> Arc<Self> {
        Arc::new(Self {
            process,
            sidecars,
            rpc: OnceLock::new(),
        })
    }

    /// Begins to answer.
    ///
    /// # Errors
    ///
    /// Returns an error if a method stands twice.
    pub fn offer(
        &self,
        control: Option<Arc<Control>>,
        homes: Option<Arc<Homes>>,
        follow: Arc<Follow>,
    ) -> Result<(), RegisterMethodError> {
        let context = Context {
            process: self.process.clone(),
            control,
            homes,
            follow,
            sidecars: self.sidecars.clone(),
        };
        let rpc = Rpc::new(methods(context)?);
        // A process offers its methods once.
        let _ = self.rpc.set(rpc);
        Ok(())
    }

    /// Admits only the deployment's own processes, and none that a test has cut off.
    fn admits(&self, request: &Request<Incoming>) -> bool {
        let text = |name| request.headers().get(name)?.to_str().ok();
        let known = text(header::CLUSTER)
            .is_some_and(|presented| secret::equal(presented, &self.process.secret));
        let cut = text(header::FROM).is_none_or(|from| self.process.links.is_cut(from));
        known && !cut
    }
}

impl Handler for Internal {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        if !self.admits(&request) {
            return answer(StatusCode::FORBIDDEN, "text/plain", "forbidden");
        }
        if let Some(rest) = request.uri().path().strip_prefix(PATH) {
            let backend = rest.split('/').next().unwrap_or_default();
            return if let Some(sidecar) = self.sidecars.get(backend) {
                sidecar.clone().forward(request).await
            } else {
                let mut response = answer(StatusCode::NOT_FOUND, "text/plain", "no_backend");
                let value = hyper::header::HeaderValue::from_static("not-run");
                response.headers_mut().insert(header::RUN, value);
                response
            };
        }
        match self.rpc.get() {
            Some(rpc) => rpc.answer(request).await,
            None => answer(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "starting"),
        }
    }
}

struct Context {
    process: Arc<Process>,
    control: Option<Arc<Control>>,
    homes: Option<Arc<Homes>>,
    follow: Arc<Follow>,
    sidecars: Arc<Sidecars>,
}

/// An error with a code of the system's own.
#[must_use]
pub fn rpc_error(code: i32, message: impl Into<String>) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(code, message, None::<()>)
}

fn lacks(role: &str) -> ErrorObjectOwned {
    rpc_error(-32_000, format!("this process has no {role} role"))
}

fn methods(context: Context) -> Result<RpcModule<Context>, RegisterMethodError> {
    let mut module = RpcModule::new(context);
    module.register_method(method::CONTROL, |parameters, context, _| {
        let method::Control { from, messages } = parameters.one()?;
        let control = context.control.as_ref().ok_or_else(|| lacks("control"))?;
        control.deliver(from, messages);
        Ok::<(), ErrorObjectOwned>(())
    })?;
    module.register_method(method::PULL, |parameters, context, _| {
        let pull: Pull = parameters.one()?;
        Ok::<_, ErrorObjectOwned>(context.follow.serve(&pull))
    })?;
    module.register_async_method(method::SHARD, |parameters, context, _| async move {
        let method::Shard { from, messages } = parameters.one()?;
        let homes = context.homes.as_ref().ok_or_else(|| lacks("home"))?;
        homes.deliver(from, messages).await;
        Ok::<(), ErrorObjectOwned>(())
    })?;
    module.register_async_method(method::REQUEST, |parameters, context, _| async move {
        let method::Request { shard, request } = parameters.one()?;
        let homes = context.homes.as_ref().ok_or_else(|| lacks("home"))?;
        Ok::<_, ErrorObjectOwned>(homes.request(shard, request).await)
    })?;
    module.register_method(method::CONFIRM, |parameters, context, _| {
        let method::Confirm {
            dispatcher,
            requests,
        } = parameters.one()?;
        let process = &context.process;
        let abandoned = if dispatcher == process.dispatcher() {
            process.requests.abandoned(requests)
        } else {
            requests
        };
        Ok::<_, ErrorObjectOwned>(abandoned)
    })?;
    module.register_async_method(method::ASK, |parameters, context, _| async move {
        let ask: method::Ask = parameters.one()?;
        let homes = context.homes.as_ref().ok_or_else(|| lacks("home"))?;
        Ok::<_, ErrorObjectOwned>(homes.ask(ask).await)
    })?;
    module.register_async_method(method::INHERIT, |parameters, context, _| async move {
        let inherit: method::Inherit = parameters.one()?;
        let homes = context.homes.as_ref().ok_or_else(|| lacks("home"))?;
        homes.inherit(inherit).await;
        Ok::<(), ErrorObjectOwned>(())
    })?;
    module.register_method(method::HOLDS, |parameters, context, _| {
        let holds: method::Holds = parameters.one()?;
        context.sidecars.holds(holds);
        Ok::<(), ErrorObjectOwned>(())
    })?;
    module.register_async_method(method::ORDER, |parameters, context, _| async move {
        let order: method::Order = parameters.one()?;
        let sidecar = context.sidecars.get(&order.backend).cloned();
        let sidecar = sidecar.ok_or_else(|| lacks("sidecar"))?;
        sidecar
            .order(order)
            .await
            .map_err(|error| rpc_error(celerycove_wire::operator::REFUSED, error.to_string()))
    })?;
    Ok(module)
}

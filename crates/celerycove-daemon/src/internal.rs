//! Handler of the internal listener, which only processes of the deployment may use.

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
    home::Replicas,
    http::{Body, Handler, response},
    peer::MAX_MESSAGE_BYTES,
    process::Process,
    puller::Puller,
    sidecar::{FORWARD_PATH, Sidecars},
};

/// Serves RPC calls and forwarded requests of other processes.
pub struct Internal {
    process: Arc<Process>,
    sidecars: Arc<Sidecars>,
    rpc: OnceLock<Rpc>,
}

/// JSON-RPC methods, served over HTTP.
pub struct Rpc {
    methods: Methods,
    stop: StopHandle,
}

impl Rpc {
    /// Creates a service for the given methods.
    #[must_use]
    pub fn new(methods: impl Into<Methods>) -> Self {
        // The HTTP listener ends the connections. Leaking the server handle keeps the RPC service
        // from being stopped.
        let (stop, handle) = stop_channel();
        std::mem::forget(handle);
        Self {
            methods: methods.into(),
            stop,
        }
    }

    /// Handles one HTTP request.
    pub async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        use hyper::service::Service as _;
        let config = jsonrpsee::server::ServerConfig::builder()
            .max_request_body_size(MAX_MESSAGE_BYTES)
            .max_response_body_size(MAX_MESSAGE_BYTES)
            .build();
        let builder = RpcServer::builder().set_config(config).to_service_builder();
        let service = builder.build(self.methods.clone(), self.stop.clone());
        let service = hyper_util::service::TowerToHyperService::new(service);
        match service.call(request).await {
            Ok(response) => response.map(|body| body.map_err(Into::into).boxed_unsync()),
            Err(error) => {
                log::warn!(target: "run", error:% = error; "RPC call of another process failed");
                response(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", "failed")
            }
        }
    }
}

impl Internal {
    /// Creates the handler. RPC calls are answered with status 503 until
    /// [`Internal::register_methods`] has been called.
    #[must_use]
    pub fn new(process: Arc<Process>, sidecars: Arc<Sidecars>) -> Arc<Self> {
        Arc::new(Self {
            process,
            sidecars,
            rpc: OnceLock::new(),
        })
    }

    /// Registers the RPC methods and begins to answer calls.
    ///
    /// # Errors
    ///
    /// Returns an error if a method is registered twice.
    pub fn register_methods(
        &self,
        control: Option<Arc<Control>>,
        replicas: Option<Arc<Replicas>>,
        puller: Arc<Puller>,
    ) -> Result<(), RegisterMethodError> {
        let context = Context {
            process: self.process.clone(),
            control,
            replicas,
            puller,
            sidecars: self.sidecars.clone(),
        };
        let rpc = Rpc::new(methods(context)?);
        // The methods are registered only once.
        let _ = self.rpc.set(rpc);
        Ok(())
    }

    /// Whether a request presents the cluster secret and names a sender whose link no test has cut.
    fn is_allowed(&self, request: &Request<Incoming>) -> bool {
        let header_text = |name| request.headers().get(name)?.to_str().ok();
        let secret_matches = header_text(header::CLUSTER_SECRET)
            .is_some_and(|presented| secret::constant_time_eq(presented, &self.process.secret));
        let is_cut = header_text(header::SENDER).is_none_or(|from| self.process.links.is_cut(from));
        secret_matches && !is_cut
    }
}

impl Handler for Internal {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        if !self.is_allowed(&request) {
            return response(StatusCode::FORBIDDEN, "text/plain", "forbidden");
        }
        if let Some(rest) = request.uri().path().strip_prefix(FORWARD_PATH) {
            let backend = rest.split('/').next().unwrap_or_default();
            return if let Some(sidecar) = self.sidecars.get(backend) {
                sidecar.clone().forward(request).await
            } else {
                let mut response = response(StatusCode::NOT_FOUND, "text/plain", "no_backend");
                let value = hyper::header::HeaderValue::from_static("not-run");
                response.headers_mut().insert(header::RUN, value);
                response
            };
        }
        match self.rpc.get() {
            Some(rpc) => rpc.answer(request).await,
            None => response(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "starting"),
        }
    }
}

struct Context {
    process: Arc<Process>,
    control: Option<Arc<Control>>,
    replicas: Option<Arc<Replicas>>,
    puller: Arc<Puller>,
    sidecars: Arc<Sidecars>,
}

/// Creates an RPC error with an application-defined code.
#[must_use]
pub fn rpc_error(code: i32, message: impl Into<String>) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(code, message, None::<()>)
}

fn missing_role(role: &str) -> ErrorObjectOwned {
    rpc_error(-32_000, format!("this process has no {role} role"))
}

fn methods(context: Context) -> Result<RpcModule<Context>, RegisterMethodError> {
    let mut module = RpcModule::new(context);
    module.register_method(method::CONTROL, |parameters, context, _| {
        let method::Control { from, messages } = parameters.one()?;
        let control = context
            .control
            .as_ref()
            .ok_or_else(|| missing_role("control"))?;
        control.deliver(from, messages);
        Ok::<(), ErrorObjectOwned>(())
    })?;
    module.register_method(method::PULL, |parameters, context, _| {
        let pull: Pull = parameters.one()?;
        Ok::<_, ErrorObjectOwned>(context.puller.answer_pull(&pull))
    })?;
    module.register_async_method(method::SHARD, |parameters, context, _| async move {
        let method::Shard { from, messages } = parameters.one()?;
        let replicas = context
            .replicas
            .as_ref()
            .ok_or_else(|| missing_role("home"))?;
        replicas.deliver_messages(from, messages).await;
        Ok::<(), ErrorObjectOwned>(())
    })?;
    module.register_async_method(method::REQUEST, |parameters, context, _| async move {
        let method::Request { shard, request } = parameters.one()?;
        let replicas = context
            .replicas
            .as_ref()
            .ok_or_else(|| missing_role("home"))?;
        Ok::<_, ErrorObjectOwned>(replicas.request(shard, request).await)
    })?;
    module.register_method(method::CONFIRM_RUNNING, |parameters, context, _| {
        let method::Confirm {
            dispatcher,
            requests,
        } = parameters.one()?;
        let process = &context.process;
        let not_running = if dispatcher == process.dispatcher() {
            process.requests.not_running(requests)
        } else {
            requests
        };
        Ok::<_, ErrorObjectOwned>(not_running)
    })?;
    module.register_async_method(method::BORROW_TOKENS, |parameters, context, _| async move {
        let request: method::TokenRequest = parameters.one()?;
        let replicas = context
            .replicas
            .as_ref()
            .ok_or_else(|| missing_role("home"))?;
        Ok::<_, ErrorObjectOwned>(replicas.borrow_tokens(request).await)
    })?;
    module.register_async_method(
        method::TRANSFER_BUCKETS,
        |parameters, context, _| async move {
            let transfer: method::BucketTransfer = parameters.one()?;
            let replicas = context
                .replicas
                .as_ref()
                .ok_or_else(|| missing_role("home"))?;
            replicas.take_over_buckets(transfer).await;
            Ok::<(), ErrorObjectOwned>(())
        },
    )?;
    module.register_method(method::MEMORY_LEASES, |parameters, context, _| {
        let holds: method::MemoryLeases = parameters.one()?;
        context.sidecars.update_holds(holds);
        Ok::<(), ErrorObjectOwned>(())
    })?;
    module.register_async_method(method::ORDER, |parameters, context, _| async move {
        let order: method::Order = parameters.one()?;
        let sidecar = context.sidecars.get(&order.backend).cloned();
        let sidecar = sidecar.ok_or_else(|| missing_role("sidecar"))?;
        sidecar
            .send_order(order)
            .await
            .map_err(|error| rpc_error(celerycove_wire::operator::REJECTED, error.to_string()))
    })?;
    Ok(module)
}

use std::{future::Future, sync::Arc};

use jsonrpsee::{
    RpcModule,
    server::RegisterMethodError,
    types::{ErrorObjectOwned, Params},
};
use metrics::counter;
use serde::{Serialize, de::DeserializeOwned};
use tokio::sync::OwnedSemaphorePermit;

use super::{ControlService, watch_call::WatchReply};
use crate::control::api::{CallName, CallRefusal, REFUSAL_CODE, StatusRequest, WatchRequest};

/// Registers the JSON-RPC methods of a control replica.
pub(super) fn register_methods(
    service: Arc<ControlService>,
) -> Result<RpcModule<Arc<ControlService>>, RegisterMethodError> {
    let mut module = RpcModule::new(service);
    register(
        &mut module,
        CallName::Announce,
        |service, request| async move { service.announce(request).await },
    )?;
    register(
        &mut module,
        CallName::Withdraw,
        |service, request| async move { service.withdraw(request).await },
    )?;
    register(
        &mut module,
        CallName::Heartbeat,
        |service, request| async move { service.heartbeat(request).await },
    )?;
    register(
        &mut module,
        CallName::Apply,
        |service, request| async move { service.apply(request).await },
    )?;
    register(
        &mut module,
        CallName::Status,
        |service, StatusRequest {}| async move { service.status().await },
    )?;
    register(
        &mut module,
        CallName::Dump,
        |service, StatusRequest {}| async move { Ok(service.dump().await) },
    )?;
    register(&mut module, CallName::Watch, watch)?;
    Ok(module)
}

async fn watch(
    service: Arc<ControlService>,
    request: WatchRequest,
) -> Result<WatchReply, CallRefusal> {
    service.watch(request).await
}

fn register<Q, R, F>(
    module: &mut RpcModule<Arc<ControlService>>,
    name: CallName,
    handler: fn(Arc<ControlService>, Q) -> F,
) -> Result<(), RegisterMethodError>
where
    Q: DeserializeOwned + Send + 'static,
    R: Serialize + Clone + Send + 'static,
    F: Future<Output = Result<R, CallRefusal>> + Send + 'static,
{
    module.register_async_method(name.method(), move |params, service, _| async move {
        let request = decode(&params)?;
        let reply = match admit(&service, name) {
            Ok(permit) => {
                let reply = handler(Arc::clone(&service), request).await;
                drop(permit);
                reply
            }
            Err(refusal) => Err(refusal),
        };
        count_call(name, reply.as_ref().err());
        reply.map_err(|refusal| refusal_error(&refusal))
    })?;
    Ok(())
}

fn admit(service: &ControlService, name: CallName) -> Result<OwnedSemaphorePermit, CallRefusal> {
    match name {
        CallName::Watch => service.limiter.admit_watcher(),
        _ => service.limiter.admit_call(),
    }
}

fn decode<Q: DeserializeOwned>(params: &Params<'static>) -> Result<Q, ErrorObjectOwned> {
    params.one()
}

fn count_call(name: CallName, refusal: Option<&CallRefusal>) {
    let outcome = refusal.map_or("answered", CallRefusal::label);
    counter!("cyclamen_control_calls_total", "call" => name.method(), "outcome" => outcome)
        .increment(1);
}

fn refusal_error(refusal: &CallRefusal) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(REFUSAL_CODE, refusal.to_string(), Some(refusal))
}

//! A plain HTTP/3 client of services, for `cyclamen call`, the demo and tests.

mod call_request;
mod call_response;
mod caller_error;
mod response_stream;
mod service_caller;

pub use call_request::CallRequest;
pub use call_response::CallResponse;
pub use caller_error::CallerError;
pub use response_stream::ResponseStream;
pub use service_caller::ServiceCaller;

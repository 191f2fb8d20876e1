//! A plain HTTP/3 client of services, for `cyclamen call`, the demo and tests.

mod answer_stream;
mod call_answer;
mod call_request;
mod caller_error;
mod service_caller;

pub use answer_stream::AnswerStream;
pub use call_answer::CallAnswer;
pub use call_request::CallRequest;
pub use caller_error::CallerError;
pub use service_caller::ServiceCaller;

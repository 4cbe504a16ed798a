//! Error responses that the entry itself generates.

use std::time::Duration;

use hyper::{
    Response, StatusCode,
    header::{HeaderValue, RETRY_AFTER},
};

use crate::http::{self, Body};

/// Why a request gets no response from a backend server.
///
/// All but [`Refusal::Failed`] and [`Refusal::TimedOut`] guarantee that the request has not run and
/// never will. The variants are written to the log and to the body of the response under their
/// names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// No confirmed configuration is known yet.
    NotReady,
    /// A field is missing or malformed.
    Malformed(&'static str),
    /// No route matches.
    NoRoute,
    /// The API key is missing or unknown.
    Key,
    /// The request's head exceeds the size limit.
    HeadTooLong,
    /// The request's body exceeds the size limit.
    TooLong,
    /// The request's body was not received completely or in time.
    BodyBroken,
    /// This instance stops before the request's deadline.
    Stopping,
    /// Other requests take the memory that the request needs.
    NoMemory,
    /// The organisation exceeds its rate limit; a token is expected after the given time.
    OverRate(Duration),
    /// The program's remaining token budget is smaller than the turn may need.
    OverBudget,
    /// The turn to continue from is unknown.
    NoTurn,
    /// The stores are out of reach; they are expected back after the given time.
    NoStore(Duration),
    /// The request has crashed the backend servers that ran it; it is held back for the given time.
    Quarantined(Duration),
    /// The service is overloaded and the program has not begun; it may begin after the given time.
    Overloaded(Duration),
    /// No backend server can take the request now.
    NoServer,
    /// All backend servers that were tried declined the request or were out of reach.
    Declined,
    /// The deadline expired before the request was sent to a backend server.
    TooLate,
    /// A backend server may have run the request but gave no complete response.
    Failed,
    /// The deadline expired while a backend server may have run the request.
    TimedOut,
}

/// `Retry-After` for refusals without a better estimate: about the time in which a failed leader is
/// replaced.
const RETRY_AFTER_UNAVAILABLE: Duration = Duration::from_millis(400);
/// `Retry-After` if the backend servers or this instance's memory are at capacity, or if another
/// instance can take the request: about the duration of one request.
const RETRY_AFTER_FULL: Duration = Duration::from_millis(150);

impl Refusal {
    /// Returns the HTTP status of the refusal.
    #[must_use]
    pub fn status(self) -> StatusCode {
        match self {
            Self::Malformed(_) => StatusCode::BAD_REQUEST,
            Self::Key => StatusCode::UNAUTHORIZED,
            Self::OverBudget => StatusCode::PAYMENT_REQUIRED,
            Self::NoRoute | Self::NoTurn => StatusCode::NOT_FOUND,
            Self::BodyBroken => StatusCode::REQUEST_TIMEOUT,
            Self::HeadTooLong => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::OverRate(_) => StatusCode::TOO_MANY_REQUESTS,
            Self::Failed => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
            Self::NotReady
            | Self::Stopping
            | Self::NoMemory
            | Self::NoStore(_)
            | Self::Quarantined(_)
            | Self::Overloaded(_)
            | Self::NoServer
            | Self::Declined
            | Self::TooLate => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Returns whether the refusal guarantees that the request has not run and never will.
    #[must_use]
    pub fn is_not_run(self) -> bool {
        !matches!(self, Self::Failed | Self::TimedOut)
    }

    /// Returns the delay after which the caller may retry, if a retry makes sense.
    fn retry_after(self) -> Option<Duration> {
        match self {
            Self::OverRate(delay)
            | Self::NoStore(delay)
            | Self::Quarantined(delay)
            | Self::Overloaded(delay) => Some(delay.max(RETRY_AFTER_FULL)),
            Self::NotReady | Self::NoServer => Some(RETRY_AFTER_UNAVAILABLE),
            Self::Stopping | Self::NoMemory | Self::Declined => Some(RETRY_AFTER_FULL),
            _ => None,
        }
    }

    /// Builds the HTTP response.
    pub(super) fn response(self) -> Response<Body> {
        let mut response = http::text_response(self.status(), format!("{self:?}"));
        let delay = self.retry_after().map(|delay| delay.as_secs_f64());
        let delay = delay.and_then(|delay| HeaderValue::from_str(&format!("{delay:.3}")).ok());
        if let Some(delay) = delay {
            response.headers_mut().insert(RETRY_AFTER, delay);
        }
        response
    }
}

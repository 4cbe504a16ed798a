//! Answers that the entry gives itself.

use std::time::Duration;

use hyper::{
    Response, StatusCode,
    header::{HeaderValue, RETRY_AFTER},
};

use crate::http::{self, Body};

/// Why a request gets no answer of a backend server. All but [`Refusal::Failed`] and
/// [`Refusal::TimedOut`] promise that the request has not run and never will.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// No configuration is known for sure yet.
    NotReady,
    /// A field can't be understood.
    Malformed(&'static str),
    /// No route matches.
    NoRoute,
    /// The key is unknown.
    Key,
    /// The head is too long.
    HeadTooLong,
    /// The body is too long.
    TooLong,
    /// The body broke off before it was whole.
    BodyBroken,
    /// The organisation is over its rate.
    OverRate(Duration),
    /// The program's budget does not hold the turn.
    OverBudget,
    /// The turn to continue from is unknown.
    NoTurn,
    /// The stores can't tell.
    NoStore,
    /// No backend server can take it now.
    NoServer,
    /// All backend servers that were asked declined.
    Declined,
    /// The time ran out before it was sent.
    TooLate,
    /// A backend server may have run it and gave no whole answer.
    Failed,
    /// The time ran out while a backend server may have run it.
    TimedOut,
}

/// When a caller may come back where nothing tells better: about the time in which a lost leader
/// is replaced.
const SOON: Duration = Duration::from_millis(400);
/// When a caller may come back to backend servers that are full: about one request's time.
const FULL: Duration = Duration::from_millis(150);

impl Refusal {
    /// The status that says so.
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
            Self::NotReady | Self::NoStore | Self::NoServer | Self::Declined | Self::TooLate => {
                StatusCode::SERVICE_UNAVAILABLE
            }
        }
    }

    /// Whether it says that the request has not run and never will.
    #[must_use]
    pub fn is_not_run(self) -> bool {
        !matches!(self, Self::Failed | Self::TimedOut)
    }

    /// When the caller may come back.
    fn retry_after(self) -> Option<Duration> {
        match self {
            Self::OverRate(wait) => Some(wait.max(FULL)),
            Self::NotReady | Self::NoStore | Self::NoServer => Some(SOON),
            Self::Declined => Some(FULL),
            _ => None,
        }
    }

    /// The whole answer.
    pub(super) fn response(self) -> Response<Body> {
        let mut response = http::text(self.status(), format!("{self:?}"));
        let after = self.retry_after().map(|after| after.as_secs_f64());
        let after = after.and_then(|after| HeaderValue::from_str(&format!("{after:.3}")).ok());
        if let Some(after) = after {
            response.headers_mut().insert(RETRY_AFTER, after);
        }
        response
    }
}

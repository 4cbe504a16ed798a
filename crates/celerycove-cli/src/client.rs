//! JSON-RPC client of the control instances.

use std::{net::SocketAddr, path::Path, time::Duration};

use celerycove_config::{Change, Outcome, Proposal};
use celerycove_wire::{header, operator};
use jsonrpsee::core::{ClientError, client::ClientT, params::ArrayParams};
use jsonrpsee_http_client::{HeaderMap, HeaderValue, HttpClient, HttpClientBuilder};
use serde::{Serialize, de::DeserializeOwned};

use crate::{exit::Failure, options::Options};

/// Passes over all instances before giving up; they cover a leader election.
const MAX_ROUNDS: u32 = 10;
/// Delay between two passes over the instances.
const ROUND_DELAY: Duration = Duration::from_millis(300);
/// Timeout of a request to one instance.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Client that finds the leader among the control instances.
pub struct Client {
    clients: Vec<(SocketAddr, HttpClient)>,
    /// Options from the command line.
    pub options: Options,
}

/// Error of a request to one instance.
enum RequestError {
    /// The instance was unreachable or is not the leader, so the request was not executed.
    NotExecuted(String),
    /// The request may or may not have been executed.
    OutcomeUnknown(String),
    /// The leader refused the request.
    Refused(String),
}

fn classify(error: ClientError) -> RequestError {
    match error {
        ClientError::Call(call) if call.code() == operator::NOT_LEADER => {
            RequestError::NotExecuted(call.message().to_owned())
        }
        ClientError::Call(call) if call.code() == operator::OUTCOME_UNKNOWN => {
            RequestError::OutcomeUnknown(call.message().to_owned())
        }
        ClientError::Call(call) => RequestError::Refused(call.message().to_owned()),
        ClientError::RequestTimeout => RequestError::OutcomeUnknown("request timed out".to_owned()),
        ClientError::Transport(error) => {
            let text = error.to_string();
            // Without a connection, the request was never sent.
            let not_connected = text.contains("Connection refused") || text.contains("connect");
            if not_connected {
                RequestError::NotExecuted(text)
            } else if text.contains("403") {
                RequestError::Refused("the credential does not belong to any operator".to_owned())
            } else {
                RequestError::OutcomeUnknown(text)
            }
        }
        other => RequestError::OutcomeUnknown(other.to_string()),
    }
}

fn read_credential(path: &Path) -> Result<String, Failure> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| Failure::Failed(format!("could not read {}: {error}", path.display())))?;
    let line = text.lines().next().unwrap_or_default().trim();
    // Accepts a bare credential or a `name:credential` line of the operators file.
    Ok(line.rsplit(':').next().unwrap_or_default().to_owned())
}

impl Client {
    /// Creates a client for each control instance; connects only when a request is sent.
    ///
    /// # Errors
    ///
    /// Returns a failure if the credential file can't be read, or its content is not a valid header
    /// value.
    pub fn new(options: Options) -> Result<Self, Failure> {
        let credential = read_credential(&options.credential_file)?;
        let value = HeaderValue::from_str(&credential).map_err(|error| {
            Failure::Failed(format!(
                "the credential is not a valid header value: {error}"
            ))
        })?;
        let clients = options
            .servers
            .iter()
            .map(|server| {
                let mut headers = HeaderMap::new();
                headers.insert(header::OPERATOR_CREDENTIAL, value.clone());
                HttpClientBuilder::default()
                    .set_headers(headers)
                    .request_timeout(REQUEST_TIMEOUT)
                    .max_response_size(256 << 20)
                    .build(format!("http://{server}"))
                    .map(|client| (*server, client))
                    .map_err(|error| Failure::Failed(error.to_string()))
            })
            .collect::<Result<Vec<_>, _>>()?;
        Ok(Self { clients, options })
    }

    /// Sends a request to each instance in turn until the leader answers. A request that may have
    /// been executed is retried only if it is `idempotent`.
    ///
    /// # Errors
    ///
    /// Returns a failure if no leader answers, the leader refuses the request, or a request that
    /// is not idempotent may have been executed.
    pub async fn request<P: Serialize, R: DeserializeOwned>(
        &self,
        method: &str,
        parameter: Option<&P>,
        idempotent: bool,
    ) -> Result<R, Failure> {
        let mut last_error = String::from("no control instance given");
        for round in 0..MAX_ROUNDS {
            if round > 0 {
                tokio::time::sleep(ROUND_DELAY).await;
            }
            for (server, client) in &self.clients {
                let mut parameters = ArrayParams::new();
                if let Some(parameter) = parameter {
                    parameters
                        .insert(parameter)
                        .map_err(|error| Failure::Failed(error.to_string()))?;
                }
                match client.request(method, parameters).await.map_err(classify) {
                    Ok(answer) => return Ok(answer),
                    Err(RequestError::Refused(reason)) => return Err(Failure::Failed(reason)),
                    Err(RequestError::OutcomeUnknown(reason)) if !idempotent => {
                        return Err(Failure::Failed(format!(
                            "{server}: the outcome is unknown: {reason}"
                        )));
                    }
                    Err(
                        RequestError::NotExecuted(reason) | RequestError::OutcomeUnknown(reason),
                    ) => {
                        last_error = format!("{server}: {reason}");
                    }
                }
            }
        }
        Err(Failure::Failed(last_error))
    }

    /// Proposes changes and returns the version that contains them. The request id makes retries
    /// safe: a change that has already been made is not made twice.
    ///
    /// # Errors
    ///
    /// Returns a failure if the changes conflict or are invalid, or if their outcome is unknown.
    pub async fn propose(&self, changes: Vec<Change>) -> Result<u64, Failure> {
        let request = self
            .options
            .request_id
            .clone()
            .unwrap_or_else(random_request_id);
        let proposal = Proposal {
            request: request.as_str().into(),
            operator: String::new(),
            if_version: self.options.if_version,
            changes,
        };
        let result = self.request(operator::PROPOSE, Some(&proposal), true).await;
        match result {
            Ok(Outcome::Accepted { version }) => Ok(version),
            Ok(Outcome::Conflict {
                version,
                operator,
                summary,
            }) => Err(Failure::Conflict {
                version,
                operator,
                summary,
            }),
            Ok(Outcome::Invalid { reason }) => Err(Failure::Invalid(reason)),
            Err(Failure::Failed(reason)) => {
                eprintln!("celerycove: {reason}");
                Err(Failure::Unknown(request))
            }
            Err(other) => Err(other),
        }
    }

    /// Returns the configuration in force.
    ///
    /// # Errors
    ///
    /// Returns a failure if no leader answers.
    pub async fn config(&self) -> Result<operator::CurrentConfig, Failure> {
        self.request::<(), _>(operator::CONFIG, None, true).await
    }
}

/// Generates the request id of a change.
fn random_request_id() -> String {
    hex::encode(rand::random::<[u8; 12]>())
}

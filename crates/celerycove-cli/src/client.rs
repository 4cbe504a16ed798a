//! Asks the control leader.

use std::{net::SocketAddr, path::Path, time::Duration};

use celerycove_config::{Change, Outcome, Proposal};
use celerycove_wire::{header, operator};
use jsonrpsee::core::{ClientError, client::ClientT, params::ArrayParams};
use jsonrpsee_http_client::{HeaderMap, HeaderValue, HttpClient, HttpClientBuilder};
use serde::{Serialize, de::DeserializeOwned};

use crate::{exit::Failure, options::Options};

/// How often all instances are tried while they elect a leader.
const ROUNDS: u32 = 10;
/// The pause between two rounds.
const PAUSE: Duration = Duration::from_millis(300);
/// How long one instance may take.
const TIMEOUT: Duration = Duration::from_secs(5);

/// The way to the control instances.
pub struct Client {
    clients: Vec<(SocketAddr, HttpClient)>,
    /// What the command line says.
    pub options: Options,
}

/// How one question failed.
enum Trouble {
    /// The instance was not reached or does not lead: nothing was done.
    Elsewhere(String),
    /// Whether it was done is not known.
    Unknown(String),
    /// It was refused.
    Refused(String),
}

fn classify(error: ClientError) -> Trouble {
    match error {
        ClientError::Call(call) if call.code() == operator::NOT_LEADER => {
            Trouble::Elsewhere(call.message().to_owned())
        }
        ClientError::Call(call) if call.code() == operator::OUTCOME_UNKNOWN => {
            Trouble::Unknown(call.message().to_owned())
        }
        ClientError::Call(call) => Trouble::Refused(call.message().to_owned()),
        ClientError::RequestTimeout => Trouble::Unknown("no answer in time".to_owned()),
        ClientError::Transport(error) => {
            let text = error.to_string();
            // A refused connection was never written to.
            let untouched = text.contains("Connection refused") || text.contains("connect");
            if untouched {
                Trouble::Elsewhere(text)
            } else if text.contains("403") {
                Trouble::Refused("the operator's credential is not known".to_owned())
            } else {
                Trouble::Unknown(text)
            }
        }
        other => Trouble::Unknown(other.to_string()),
    }
}

fn credential(path: &Path) -> Result<String, Failure> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| Failure::Failed(format!("could not read {}: {error}", path.display())))?;
    let line = text.lines().next().unwrap_or_default().trim();
    // Either the bare credential or the line of the operators file.
    Ok(line.rsplit(':').next().unwrap_or_default().to_owned())
}

impl Client {
    /// Prepares to ask.
    ///
    /// # Errors
    ///
    /// Returns a failure if the credential can't be read or used.
    pub fn new(options: Options) -> Result<Self, Failure> {
        let credential = credential(&options.credential)?;
        let value = HeaderValue::from_str(&credential)
            .map_err(|error| Failure::Failed(format!("the credential can't be used: {error}")))?;
        let clients = options
            .servers
            .iter()
            .map(|server| {
                let mut headers = HeaderMap::new();
                headers.insert(header::OPERATOR_CREDENTIAL, value.clone());
                HttpClientBuilder::default()
                    .set_headers(headers)
                    .request_timeout(TIMEOUT)
                    .max_response_size(256 << 20)
                    .build(format!("http://{server}"))
                    .map(|client| (*server, client))
                    .map_err(|error| Failure::Failed(error.to_string()))
            })
            .collect::<Result<Vec<_>, _>>()?;
        Ok(Self { clients, options })
    }

    /// Asks until the leader answers. A question whose outcome is not known is asked again only
    /// if it is `safe` to ask twice.
    ///
    /// # Errors
    ///
    /// Returns a failure if no leader answers, or the question is refused.
    pub async fn ask<P: Serialize, R: DeserializeOwned>(
        &self,
        method: &str,
        parameter: Option<&P>,
        safe: bool,
    ) -> Result<R, Failure> {
        let mut last = String::from("no server");
        for round in 0..ROUNDS {
            if round > 0 {
                tokio::time::sleep(PAUSE).await;
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
                    Err(Trouble::Refused(why)) => return Err(Failure::Failed(why)),
                    Err(Trouble::Unknown(why)) if !safe => {
                        return Err(Failure::Failed(format!(
                            "{server}: the outcome is not known: {why}"
                        )));
                    }
                    Err(Trouble::Elsewhere(why) | Trouble::Unknown(why)) => {
                        last = format!("{server}: {why}");
                    }
                }
            }
        }
        Err(Failure::Failed(last))
    }

    /// Proposes changes; the request id makes it safe to ask again.
    ///
    /// # Errors
    ///
    /// Returns a failure unless the changes are accepted.
    pub async fn propose(&self, changes: Vec<Change>) -> Result<u64, Failure> {
        let request = self.options.request.clone().unwrap_or_else(fresh_id);
        let proposal = Proposal {
            request: request.as_str().into(),
            operator: String::new(),
            if_version: self.options.if_version,
            changes,
        };
        let asked = self.ask(operator::PROPOSE, Some(&proposal), true).await;
        match asked {
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
            Err(Failure::Failed(why)) => {
                eprintln!("celerycove: {why}");
                Err(Failure::Unknown(request))
            }
            Err(other) => Err(other),
        }
    }

    /// Asks for the configuration in force.
    ///
    /// # Errors
    ///
    /// Returns a failure if no leader answers.
    pub async fn config(&self) -> Result<operator::CurrentConfig, Failure> {
        self.ask::<(), _>(operator::CONFIG, None, true).await
    }
}

/// Names a change.
fn fresh_id() -> String {
    hex::encode(rand::random::<[u8; 12]>())
}

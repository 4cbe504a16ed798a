//! Callers that leave while the entry opens a connection for them.

use std::time::Duration;

use tokio::{io::AsyncWriteExt, net::TcpStream, time::sleep};

use crate::{
    backend::Backend,
    fleet::{self, Deployment},
};

/// Requests whose callers leave. About a third of them is for the server that accepts no connection.
const ABANDONED: usize = 45;
/// Shorter than the time that the entry allows for a connection.
const PATIENCE: Duration = Duration::from_millis(40);

/// Guards against requests that count as running for good at a server because their caller left while
/// the connection was opened: the server would seem busy and get nothing any more.
#[test]
fn a_server_is_used_again_after_callers_left_during_the_connection() {
    fleet::run(async |deployment: &Deployment| {
        let (backend, accept) = Backend::start_unaccepting("slow");
        // Fills the queue of connections, so that the next ones are not answered.
        let mut fillers = Vec::new();
        for _ in 0..2 {
            fillers.push(TcpStream::connect(backend.address).await.expect("queued"));
        }
        deployment.send_heartbeat(&backend, "ready", 1).await;
        sleep(Duration::from_millis(300)).await;
        for number in 0..ABANDONED {
            let mut caller = deployment.connect().await.expect("a connection");
            let request = format!(
                "POST /plain/a HTTP/1.1\r\nhost: test\r\nid: left-{number}\r\nkey: key-1\r\n\
                 content-length: 0\r\n\r\n"
            );
            caller.write_all(request.as_bytes()).await.expect("written");
            sleep(PATIENCE).await;
        }
        drop(fillers);
        accept.notify_one();
        sleep(Duration::from_millis(500)).await;
        backend.clear_executed();
        for number in 0..30 {
            let id = format!("later-{number}");
            let reply = deployment.call(&id, "/plain/a", Some("key-1"));
            assert_eq!(reply.await.status, 200);
        }
        assert!(!backend.executed().is_empty());
    });
}

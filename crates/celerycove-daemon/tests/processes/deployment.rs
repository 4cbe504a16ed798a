//! A small deployment of real processes. The stand-in backend servers run inside the test.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU32, Ordering::Relaxed},
    },
    time::{Duration, Instant},
};

use celerycove_cli::{Client, options::Options};
use celerycove_config::{Change, Organisation, document::Key, secret};
use celerycove_standin::{Engine, Service, engine};

/// How long a test waits for an expected state. Only a failing test waits this long.
pub const TIMEOUT: Duration = Duration::from_secs(40);
const CLUSTER_SECRET: &str = "a-secret-of-the-test-deployment";
const OPERATOR_CREDENTIAL: &str = "an-operators-credential";
const DATA_CENTRES: [&str; 3] = ["north", "middle", "south"];

static DEPLOYMENT_COUNT: AtomicU32 = AtomicU32::new(0);

/// Held while free ports are searched and while a process is spawned. Between fork and exec, a
/// child has copies of all open sockets of this process and would keep the tried ports in use.
static SPAWN_LOCK: Mutex<()> = Mutex::new(());

/// Maximum number of ports that a deployment needs.
const MAX_PORTS: usize = 32;

/// Unused addresses for one deployment. Each deployment has its own loopback address.
struct Addresses {
    free: Vec<SocketAddr>,
}

impl Addresses {
    /// Finds ports that can be bound, below the range that the system uses for outgoing
    /// connections.
    fn new(deployment_number: u32) -> Self {
        const PORTS: std::ops::Range<u16> = 20_000..32_000;
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let deployment = u8::try_from(deployment_number % 100).expect("number below 100");
        let host = Ipv4Addr::new(127, 1 + high % 100 + deployment, low, 1);
        let _guard = SPAWN_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
        let free = PORTS
            .filter_map(|port| TcpListener::bind((host, port)).ok())
            .filter_map(|listener| listener.local_addr().ok())
            .take(MAX_PORTS)
            .collect();
        Self { free }
    }

    fn take(&mut self) -> SocketAddr {
        self.free.pop().expect("free port")
    }
}

/// A process and what is needed to restart it.
struct Process {
    config: PathBuf,
    admin: SocketAddr,
    child: Option<Child>,
}

/// A deployment: three control instances, two entries, three engines and one service, over three
/// data centres.
pub struct Deployment {
    folder: PathBuf,
    addresses: Addresses,
    processes: BTreeMap<String, Process>,
    /// The addresses at which entries serve callers, by process name.
    pub entries: BTreeMap<String, SocketAddr>,
    /// The stand-in engines, by backend server id.
    pub engines: BTreeMap<String, Arc<Engine>>,
    /// The stand-in service.
    pub service: Arc<Service>,
    operator_addresses: Vec<SocketAddr>,
    /// A key of the organisation `zilina`.
    pub key: String,
}

impl Deployment {
    /// Starts all processes and waits until they serve requests.
    pub async fn start() -> Self {
        let deployment_number = DEPLOYMENT_COUNT.fetch_add(1, Relaxed);
        let name = format!("celerycove-test-{}-{deployment_number}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).expect("temporary folder");
        write_secret_file(&folder.join("cluster"), CLUSTER_SECRET);
        write_secret_file(
            &folder.join("operators"),
            &format!("admin:{OPERATOR_CREDENTIAL}\nother:{OPERATOR_CREDENTIAL}2"),
        );
        let mut deployment = Self {
            folder,
            addresses: Addresses::new(deployment_number),
            processes: BTreeMap::new(),
            entries: BTreeMap::new(),
            engines: BTreeMap::new(),
            service: Service::new(Duration::from_millis(150)),
            operator_addresses: Vec::new(),
            key: String::new(),
        };
        deployment.prepare_processes().await;
        let names: Vec<String> = deployment.processes.keys().cloned().collect();
        for name in &names {
            deployment.launch(name, true);
        }
        deployment.configure().await;
        deployment.wait_until_serving().await;
        deployment
    }

    async fn prepare_processes(&mut self) {
        let control: Vec<(String, SocketAddr)> = (0..3)
            .map(|index| (format!("control-{index}"), self.addresses.take()))
            .collect();
        let peers: Vec<String> = control
            .iter()
            .map(|(name, a)| format!("{name}={a}"))
            .collect();
        let peers = peers.join(", ");
        for (index, (name, address)) in control.iter().enumerate() {
            let operator = self.addresses.take();
            self.operator_addresses.push(operator);
            let role_sections = format!(
                "[control]\noperator-listen = {operator}\noperators-file = {}\nshards = 8\n\
                 heartbeat = 60ms\nelection = 400ms\n",
                self.folder.join("operators").display()
            );
            self.write_process_settings(
                name,
                DATA_CENTRES[index],
                *address,
                &peers,
                true,
                &role_sections,
            );
        }
        for (index, data_centre) in DATA_CENTRES.into_iter().enumerate().take(2) {
            let entry = self.addresses.take();
            let name = format!("entry-{index}");
            let role_sections = format!(
                "[home]\n[entry]\nlisten = {entry}\npatience = 8s\nmax-body = 64KiB\n\
                 [route /orders]\n[route /open]\nopen = true\nidempotent = true\n"
            );
            self.entries.insert(name.clone(), entry);
            let listen = self.addresses.take();
            self.write_process_settings(&name, data_centre, listen, &peers, false, &role_sections);
        }
        for (index, data_centre) in DATA_CENTRES.into_iter().enumerate() {
            let backend = format!("engine-{index}");
            let options = engine::Options {
                token_time: Duration::from_millis(4),
                ..engine::Options::default()
            };
            let engine = Engine::new(options);
            let address = engine
                .serve(([127, 0, 0, 1], 0).into())
                .await
                .expect("engine listener");
            self.engines.insert(backend.clone(), engine);
            let listen = self.addresses.take();
            let role_sections = format!(
                "[home]\n[sidecar {backend}]\nkind = engine\nbackend = {address}\n\
                 models = drafter@{}\nlabels = number={index}\n",
                index + 1
            );
            self.write_process_settings(
                &format!("beside-{backend}"),
                data_centre,
                listen,
                &peers,
                false,
                &role_sections,
            );
        }
        let address = self
            .service
            .serve(([127, 0, 0, 1], 0).into())
            .await
            .expect("service listener");
        let listen = self.addresses.take();
        let role_sections = format!(
            "[home]\n[sidecar orders]\nkind = service\nbackend = {address}\nroute = /orders\n\
             [sidecar open]\nkind = service\nbackend = {address}\nroute = /open\n"
        );
        self.write_process_settings(
            "beside-orders",
            DATA_CENTRES[2],
            listen,
            &peers,
            false,
            &role_sections,
        );
    }

    fn write_process_settings(
        &mut self,
        name: &str,
        data_centre: &str,
        listen: SocketAddr,
        control_peers: &str,
        persistent: bool,
        role_sections: &str,
    ) {
        let folder = self.folder.display();
        let admin = self.addresses.take();
        let data = if persistent {
            format!("data = {folder}/{name}\n")
        } else {
            String::new()
        };
        let text = format!(
            "[process]\nname = {name}\ndata-centre = {data_centre}\nlisten = {listen}\n\
             cluster-secret-file = {folder}/cluster\ncontrol = {control_peers}\n{data}\
             admin-listen = {admin}\npull = 100ms\nfreshness = 1500ms\nsilence = 1200ms\n\
             shutdown = 20s\nfaults = true\nrelay = true\n\
             [log]\nfile = {folder}/{name}.log\nlevel = debug\n{role_sections}"
        );
        let config = self.folder.join(format!("{name}.ini"));
        std::fs::write(&config, text).expect("settings file");
        let process = Process {
            config,
            admin,
            child: None,
        };
        self.processes.insert(name.to_owned(), process);
    }

    /// Starts a process for the first time or again.
    pub fn launch(&mut self, name: &str, bootstrap: bool) {
        let process = self.processes.get_mut(name).expect("known process");
        let mut command = Command::new(env!("CARGO_BIN_EXE_celerycoved"));
        command.arg("--config").arg(&process.config);
        if bootstrap {
            command.arg("--bootstrap");
        }
        command.stdout(Stdio::null()).stderr(Stdio::null());
        let _guard = SPAWN_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
        process.child = Some(command.spawn().expect("spawned process"));
    }

    /// Kills a process with SIGKILL to simulate a crash.
    pub fn kill(&mut self, name: &str) {
        let process = self.processes.get_mut(name).expect("known process");
        if let Some(mut child) = process.child.take() {
            child.kill().expect("running process");
            child.wait().expect("exit status");
        }
    }

    /// Sends SIGTERM to a process, waits until it has exited and returns its exit code.
    pub async fn terminate(&mut self, name: &str) -> Option<i32> {
        let process = self.processes.get_mut(name).expect("known process");
        let mut child = process.child.take().expect("running process");
        let id = child.id().to_string();
        Command::new("kill")
            .arg(&id)
            .status()
            .expect("SIGTERM sent");
        let started_at = Instant::now();
        loop {
            if let Some(status) = child.try_wait().expect("exit status") {
                return status.code();
            }
            assert!(started_at.elapsed() < TIMEOUT, "{name} did not leave");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Makes the disk of a control instance refuse new votes: a folder stands where the file would be
    /// written.
    pub fn block_votes(&self, name: &str) {
        std::fs::create_dir(self.blocking_folder(name)).expect("a folder");
    }

    /// Makes the disk accept votes again.
    pub fn unblock_votes(&self, name: &str) {
        std::fs::remove_dir(self.blocking_folder(name)).expect("a folder");
    }

    fn blocking_folder(&self, name: &str) -> PathBuf {
        self.folder.join(name).join("control").join("ballot.new")
    }

    /// Returns the names of all processes.
    pub fn names(&self) -> Vec<String> {
        self.processes.keys().cloned().collect()
    }

    /// Sends a request to the admin listener of a process and returns status and body. The status
    /// is 0 if there is no response.
    pub async fn request_admin(&self, name: &str, method: &str, path: &str) -> (u16, String) {
        let address = self.processes[name].admin;
        crate::caller::send(address, method, path, &[], "")
            .await
            .map_or((0, String::new()), |response| {
                (response.status, response.text)
            })
    }

    /// Waits until a process reports that it is ready.
    pub async fn wait_ready(&self, name: &str) {
        let started_at = Instant::now();
        while self.request_admin(name, "GET", "/readyz").await.0 != 200 {
            assert!(started_at.elapsed() < TIMEOUT, "{name} is not ready");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Creates an operator's client.
    pub fn client(&self) -> Client {
        let credential_file = self.folder.join("operators");
        Client::new(Options {
            servers: self.operator_addresses.clone(),
            credential_file,
            json: false,
            request_id: None,
            if_version: None,
        })
        .expect("operator client")
    }

    /// Proposes a change and returns the configuration version that includes it.
    pub async fn propose_change(&self, change: Change) -> u64 {
        self.client()
            .propose(vec![change])
            .await
            .expect("accepted change")
    }

    /// Issues an API key to an organisation and returns it.
    pub async fn issue_key(&self, id: &str, organisation: &str) -> String {
        let secret = format!("{id}secret");
        self.propose_change(Change::Issue {
            id: id.into(),
            key: Key {
                organisation: organisation.into(),
                digest: secret::digest(&secret),
            },
        })
        .await;
        secret::format_key(id, &secret)
    }

    async fn configure(&mut self) {
        self.propose_change(Change::Organisation {
            id: "zilina".into(),
            organisation: Some(Organisation {
                rate: 1000.0,
                burst: 1000,
                weight: 1,
            }),
        })
        .await;
        self.key = self.issue_key("k1", "zilina").await;
    }

    /// Waits until each entry serves a chat completion and a request to the open route.
    async fn wait_until_serving(&self) {
        for name in self.names() {
            self.wait_ready(&name).await;
        }
        for entry in self.entries.values() {
            let started_at = Instant::now();
            loop {
                let chat = crate::caller::chat(*entry, &self.key, &[], "drafter", "hello").await;
                let open = crate::caller::send(*entry, "GET", "/open/x", &[], "").await;
                if chat.is_some_and(|a| a.status == 200) && open.is_some_and(|a| a.status == 200) {
                    break;
                }
                assert!(started_at.elapsed() < TIMEOUT, "{entry} does not serve");
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
    }

    /// Returns the logs of all processes.
    pub fn logs(&self) -> String {
        self.names()
            .iter()
            .filter_map(|name| {
                std::fs::read_to_string(self.folder.join(format!("{name}.log"))).ok()
            })
            .collect()
    }
}

fn write_secret_file(path: &Path, text: &str) {
    use std::os::unix::fs::PermissionsExt;
    std::fs::write(path, text).expect("secret file");
    std::fs::set_permissions(path, std::fs::Permissions::from_mode(0o600)).expect("file mode");
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for name in self.names() {
            self.kill(&name);
        }
        if !std::thread::panicking() {
            // Files left in the temporary folder do no harm.
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

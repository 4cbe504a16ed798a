//! A small deployment of real processes, with stand-ins that live in the test.

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

/// How long anything may take to come about; only a failing test waits so long.
pub const PATIENCE: Duration = Duration::from_secs(40);
const SECRET: &str = "a-secret-of-the-test-deployment";
const OPERATOR: &str = "an-operators-credential";
const DATA_CENTRES: [&str; 3] = ["north", "middle", "south"];

static DEPLOYMENTS: AtomicU32 = AtomicU32::new(0);

/// Held while ports are looked for and while a process is started: a process that is being started
/// has, for a moment, every socket that this one has open, and would keep its port taken.
static STARTS: Mutex<()> = Mutex::new(());

/// Ports that one deployment needs at most.
const MOST_PORTS: usize = 32;

/// Addresses that no other deployment uses: each deployment has a loopback address of its own.
struct Addresses {
    free: Vec<SocketAddr>,
}

impl Addresses {
    /// Takes ports that the system grants, below those it gives to outgoing connections.
    fn new(number: u32) -> Self {
        const PORTS: std::ops::Range<u16> = 20_000..32_000;
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let deployment = u8::try_from(number % 100).expect("a small number");
        let host = Ipv4Addr::new(127, 1 + high % 100 + deployment, low, 1);
        let _alone = STARTS.lock().unwrap_or_else(PoisonError::into_inner);
        let free = PORTS
            .filter_map(|port| TcpListener::bind((host, port)).ok())
            .filter_map(|listener| listener.local_addr().ok())
            .take(MOST_PORTS)
            .collect();
        Self { free }
    }

    fn free(&mut self) -> SocketAddr {
        self.free.pop().expect("a free port")
    }
}

/// One process and how to start it again.
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
    /// Where callers are served, by process.
    pub entries: BTreeMap<String, SocketAddr>,
    /// The stand-in engines, by backend server.
    pub engines: BTreeMap<String, Arc<Engine>>,
    /// The stand-in service.
    pub service: Arc<Service>,
    operator: Vec<SocketAddr>,
    /// A key of the organisation `zilina`.
    pub key: String,
}

impl Deployment {
    /// Starts everything and waits until it serves.
    pub async fn start() -> Self {
        let number = DEPLOYMENTS.fetch_add(1, Relaxed);
        let name = format!("celerycove-test-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).expect("a folder");
        secret_file(&folder.join("cluster"), SECRET);
        secret_file(
            &folder.join("operators"),
            &format!("admin:{OPERATOR}\nother:{OPERATOR}2"),
        );
        let mut deployment = Self {
            folder,
            addresses: Addresses::new(number),
            processes: BTreeMap::new(),
            entries: BTreeMap::new(),
            engines: BTreeMap::new(),
            service: Service::new(Duration::from_millis(150)),
            operator: Vec::new(),
            key: String::new(),
        };
        deployment.write_all().await;
        let names: Vec<String> = deployment.processes.keys().cloned().collect();
        for name in &names {
            deployment.launch(name, true);
        }
        deployment.configure().await;
        deployment.wait_until_served().await;
        deployment
    }

    async fn write_all(&mut self) {
        let control: Vec<(String, SocketAddr)> = (0..3)
            .map(|n| (format!("control-{n}"), self.addresses.free()))
            .collect();
        let peers: Vec<String> = control
            .iter()
            .map(|(name, a)| format!("{name}={a}"))
            .collect();
        let peers = peers.join(", ");
        for (n, (name, address)) in control.iter().enumerate() {
            let operator = self.addresses.free();
            self.operator.push(operator);
            let role = format!(
                "[control]\noperator-listen = {operator}\noperators-file = {}\nshards = 8\n\
                 heartbeat = 60ms\nelection = 400ms\n",
                self.folder.join("operators").display()
            );
            self.write(name, DATA_CENTRES[n], *address, &peers, true, &role);
        }
        for (n, data_centre) in DATA_CENTRES.into_iter().enumerate().take(2) {
            let entry = self.addresses.free();
            let name = format!("entry-{n}");
            let role = format!(
                "[home]\n[entry]\nlisten = {entry}\npatience = 8s\nmax-body = 64KiB\n\
                 [route /orders]\n[route /open]\nopen = true\nidempotent = true\n"
            );
            self.entries.insert(name.clone(), entry);
            let listen = self.addresses.free();
            self.write(&name, data_centre, listen, &peers, false, &role);
        }
        for (n, data_centre) in DATA_CENTRES.into_iter().enumerate() {
            let backend = format!("engine-{n}");
            let options = engine::Options {
                token: Duration::from_millis(4),
                ..engine::Options::default()
            };
            let engine = Engine::new(options);
            let address = engine
                .serve(([127, 0, 0, 1], 0).into())
                .await
                .expect("an engine");
            self.engines.insert(backend.clone(), engine);
            let listen = self.addresses.free();
            let role = format!(
                "[home]\n[sidecar {backend}]\nkind = engine\nbackend = {address}\n\
                 models = drafter@{}\nlabels = number={n}\n",
                n + 1
            );
            self.write(
                &format!("beside-{backend}"),
                data_centre,
                listen,
                &peers,
                false,
                &role,
            );
        }
        let address = self
            .service
            .serve(([127, 0, 0, 1], 0).into())
            .await
            .expect("a service");
        let listen = self.addresses.free();
        let role = format!(
            "[home]\n[sidecar orders]\nkind = service\nbackend = {address}\nroute = /orders\n\
             [sidecar open]\nkind = service\nbackend = {address}\nroute = /open\n"
        );
        self.write(
            "beside-orders",
            DATA_CENTRES[2],
            listen,
            &peers,
            false,
            &role,
        );
    }

    fn write(
        &mut self,
        name: &str,
        data_centre: &str,
        listen: SocketAddr,
        control: &str,
        disk: bool,
        role: &str,
    ) {
        let folder = self.folder.display();
        let admin = self.addresses.free();
        let data = if disk {
            format!("data = {folder}/{name}\n")
        } else {
            String::new()
        };
        let text = format!(
            "[process]\nname = {name}\ndata-centre = {data_centre}\nlisten = {listen}\n\
             cluster-secret-file = {folder}/cluster\ncontrol = {control}\n{data}\
             admin-listen = {admin}\npull = 100ms\nfreshness = 1500ms\nsilence = 1200ms\n\
             shutdown = 20s\nfaults = true\nrelay = true\n\
             [log]\nfile = {folder}/{name}.log\nlevel = debug\n{role}"
        );
        let config = self.folder.join(format!("{name}.ini"));
        std::fs::write(&config, text).expect("settings");
        let process = Process {
            config,
            admin,
            child: None,
        };
        self.processes.insert(name.to_owned(), process);
    }

    /// Starts a process, again if it has ended.
    pub fn launch(&mut self, name: &str, bootstrap: bool) {
        let process = self.processes.get_mut(name).expect("a known process");
        let mut command = Command::new(env!("CARGO_BIN_EXE_celerycoved"));
        command.arg("--config").arg(&process.config);
        if bootstrap {
            command.arg("--bootstrap");
        }
        command.stdout(Stdio::null()).stderr(Stdio::null());
        let _alone = STARTS.lock().unwrap_or_else(PoisonError::into_inner);
        process.child = Some(command.spawn().expect("a process"));
    }

    /// Kills a process as a crash would.
    pub fn kill(&mut self, name: &str) {
        let process = self.processes.get_mut(name).expect("a known process");
        if let Some(mut child) = process.child.take() {
            child.kill().expect("a running process");
            child.wait().expect("its end");
        }
    }

    /// Asks a process to leave and waits until it has; gives its exit code.
    pub async fn terminate(&mut self, name: &str) -> Option<i32> {
        let process = self.processes.get_mut(name).expect("a known process");
        let mut child = process.child.take().expect("a running process");
        let id = child.id().to_string();
        Command::new("kill").arg(&id).status().expect("a signal");
        let began = Instant::now();
        loop {
            if let Some(status) = child.try_wait().expect("a status") {
                return status.code();
            }
            assert!(began.elapsed() < PATIENCE, "{name} did not leave");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Names of all processes.
    pub fn names(&self) -> Vec<String> {
        self.processes.keys().cloned().collect()
    }

    /// Asks the admin listener of a process; gives status and text.
    pub async fn admin(&self, name: &str, method: &str, path: &str) -> (u16, String) {
        let address = self.processes[name].admin;
        crate::caller::send(address, method, path, &[], "")
            .await
            .map_or((0, String::new()), |answer| (answer.status, answer.text))
    }

    /// Waits until a process says that it is ready.
    pub async fn wait_ready(&self, name: &str) {
        let began = Instant::now();
        while self.admin(name, "GET", "/readyz").await.0 != 200 {
            assert!(began.elapsed() < PATIENCE, "{name} is not ready");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// The way to control for an operator.
    pub fn client(&self) -> Client {
        let credential = self.folder.join("operators");
        Client::new(Options {
            servers: self.operator.clone(),
            credential,
            json: false,
            request: None,
            if_version: None,
        })
        .expect("a client")
    }

    /// Proposes one change.
    pub async fn change(&self, change: Change) -> u64 {
        self.client()
            .propose(vec![change])
            .await
            .expect("an accepted change")
    }

    /// Issues a key.
    pub async fn issue(&self, id: &str, organisation: &str) -> String {
        let secret = format!("{id}secret");
        self.change(Change::Issue {
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
        self.change(Change::Organisation {
            id: "zilina".into(),
            organisation: Some(Organisation {
                rate: 1000.0,
                burst: 1000,
                weight: 1,
            }),
        })
        .await;
        self.key = self.issue("k1", "zilina").await;
    }

    /// Waits until each entry serves a chat call and a payment.
    async fn wait_until_served(&self) {
        for name in self.names() {
            self.wait_ready(&name).await;
        }
        for entry in self.entries.values() {
            let began = Instant::now();
            loop {
                let chat = crate::caller::chat(*entry, &self.key, &[], "drafter", "hello").await;
                let open = crate::caller::send(*entry, "GET", "/open/x", &[], "").await;
                if chat.is_some_and(|a| a.status == 200) && open.is_some_and(|a| a.status == 200) {
                    break;
                }
                assert!(began.elapsed() < PATIENCE, "{entry} does not serve");
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
    }

    /// The logs of all processes.
    pub fn logs(&self) -> String {
        self.names()
            .iter()
            .filter_map(|name| {
                std::fs::read_to_string(self.folder.join(format!("{name}.log"))).ok()
            })
            .collect()
    }
}

fn secret_file(path: &Path, text: &str) {
    use std::os::unix::fs::PermissionsExt;
    std::fs::write(path, text).expect("a secret");
    std::fs::set_permissions(path, std::fs::Permissions::from_mode(0o600)).expect("its mode");
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for name in self.names() {
            self.kill(&name);
        }
        if !std::thread::panicking() {
            // What is left in the folder of temporary files harms nothing.
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

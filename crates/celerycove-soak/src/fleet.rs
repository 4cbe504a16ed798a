//! The processes of one run, each on its own loopback address and behind a proxy.

use std::{
    collections::BTreeMap,
    fs::{File, OpenOptions},
    io::Write,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::Stdio,
    sync::Arc,
};

use celerycove_gateway::setup::Role;
use celerycove_platform::simulation::Process;
use rustix::process::{Pid, Signal, kill_process};
use tokio::process::{Child, Command};

use crate::{
    plan::{Kind, Name, Shape},
    proxy::Proxy,
};

/// Ports, the same on each address.
const CONTROL_PORT: u16 = 8_367;
const CALLER_PORT: u16 = 8_368;
const READY_PORT: u16 = 8_369;
/// The first of the internal ports that processes use to reach each other; the proxies listen on
/// them.
const FIRST_PROXY_PORT: u16 = 7_780;
/// The first of the internal ports that the processes themselves listen on, behind the proxies.
const FIRST_INTERNAL_PORT: u16 = 7_880;
/// An incomplete record: a length that is not followed by that many bytes.
const PARTIAL_RECORD: [u8; 7] = [0, 0, 1, 44, 7, 7, 7];

/// One process, running or not.
struct Node {
    settings: Process,
    settings_file: PathBuf,
    /// File that receives the output of the process.
    log: PathBuf,
    proxy: Arc<Proxy>,
    child: Option<Child>,
}

/// All processes of a run.
pub struct Fleet {
    binary: PathBuf,
    directory: PathBuf,
    nodes: BTreeMap<Name, Node>,
}

/// Returns the loopback address of a process. `address_byte` is its second byte; each kind has its
/// own range of third bytes, with 200 processes on each.
#[must_use]
pub fn address(address_byte: u8, (kind, number): Name) -> IpAddr {
    let (high, low) = (number / 200, number % 200);
    let base = match kind {
        Kind::Entry => 10,
        Kind::Control => 50,
        Kind::Store => 90,
    };
    let to_byte = |value: usize| u8::try_from(value).unwrap_or(u8::MAX);
    IpAddr::V4(Ipv4Addr::new(
        127,
        address_byte,
        base + to_byte(high),
        1 + to_byte(low),
    ))
}

/// Returns the role of a process and the offset of its internal port.
fn role_and_port_offset(kind: Kind) -> (Role, u16) {
    match kind {
        Kind::Control => (Role::Control, 0),
        Kind::Entry => (Role::Entry, 1),
        Kind::Store => (Role::Store, 2),
    }
}

/// Returns the name of a data centre.
#[must_use]
pub fn data_centre(number: usize) -> String {
    format!("dc-{number}")
}

impl Fleet {
    /// Starts all processes for the first time, with addresses whose second byte is `address_byte`.
    ///
    /// # Errors
    ///
    /// Returns an error if a file can't be written or an address can't be bound.
    pub async fn start(
        binary: &Path,
        directory: &Path,
        address_byte: u8,
        shape: Shape,
    ) -> std::io::Result<Self> {
        let mut fleet = Self {
            binary: binary.to_owned(),
            directory: directory.to_owned(),
            nodes: BTreeMap::new(),
        };
        let names_of = |kind, count| (0..count).map(move |number| (kind, number));
        let names = names_of(Kind::Control, shape.data_centres)
            .chain(names_of(Kind::Store, shape.data_centres))
            .chain(names_of(Kind::Entry, shape.data_centres * shape.entries));
        for name in names {
            fleet.add(address_byte, shape, name).await?;
        }
        let names: Vec<Name> = fleet.nodes.keys().copied().collect();
        for name in names {
            fleet.spawn(name)?;
            if let Some(node) = fleet.nodes.get_mut(&name) {
                node.settings.bootstrap = false;
            }
        }
        Ok(fleet)
    }

    /// Adds a process that is not started yet, and starts its proxy.
    async fn add(&mut self, address_byte: u8, shape: Shape, name: Name) -> std::io::Result<()> {
        let (kind, number) = name;
        let (role, offset) = role_and_port_offset(kind);
        let ip = address(address_byte, name);
        let instance_name = format!("{}-{number}", role.name());
        let directory = self.directory.join(&instance_name);
        std::fs::create_dir_all(&directory)?;
        let with_port = |port| SocketAddr::new(ip, port);
        let control_seeds = (0..shape.data_centres.min(3)).map(|number| {
            SocketAddr::new(address(address_byte, (Kind::Control, number)), CONTROL_PORT)
        });
        let settings = Process {
            role,
            instance: instance_name,
            ip,
            data_centre: data_centre(number % shape.data_centres),
            data_centres: (0..shape.data_centres).map(data_centre).collect(),
            bootstrap: true,
            seeds: control_seeds.collect(),
            data: (kind != Kind::Entry).then(|| directory.join("data")),
            internal_port: FIRST_PROXY_PORT,
            internal: with_port(FIRST_INTERNAL_PORT + offset),
            callers: with_port(CALLER_PORT),
            ready: with_port(READY_PORT),
            control: with_port(CONTROL_PORT),
        };
        let proxy = Proxy::start(with_port(FIRST_PROXY_PORT + offset), settings.internal).await?;
        let node = Node {
            settings_file: directory.join("settings"),
            log: directory.join("log"),
            settings,
            proxy,
            child: None,
        };
        self.nodes.insert(name, node);
        Ok(())
    }

    /// Starts a process, unless it runs already.
    ///
    /// # Errors
    ///
    /// Returns an error if its files can't be written or it can't be started.
    pub fn spawn(&mut self, name: Name) -> std::io::Result<()> {
        let Some(node) = self.nodes.get_mut(&name) else {
            return Ok(());
        };
        if node.child.is_some() {
            return Ok(());
        }
        if let Some(data) = &node.settings.data {
            std::fs::create_dir_all(data)?;
        }
        std::fs::write(&node.settings_file, node.settings.settings())?;
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(&node.log)?;
        let child = Command::new(&self.binary)
            .arg(node.settings.role.name())
            .arg("--settings")
            .arg(&node.settings_file)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .kill_on_drop(true)
            .spawn()?;
        node.child = Some(child);
        Ok(())
    }

    /// Returns the operating system's id of a process, if it runs.
    #[must_use]
    pub fn pid(&self, name: Name) -> Option<u32> {
        self.nodes.get(&name)?.child.as_ref()?.id()
    }

    /// Sends a signal to a process, if it runs.
    pub fn signal(&self, name: Name, signal: Signal) {
        let raw_pid = self.pid(name).and_then(|pid| i32::try_from(pid).ok());
        if let Some(pid) = raw_pid.and_then(Pid::from_raw) {
            // Fails if the process has just exited, which is noticed when its exit status is read.
            let _ = kill_process(pid, signal);
        }
    }

    /// Kills a process and waits until it has exited.
    ///
    /// # Errors
    ///
    /// Returns an error if it can't be waited for.
    pub async fn kill(&mut self, name: Name) -> std::io::Result<()> {
        if let Some(mut child) = self.nodes.get_mut(&name).and_then(|node| node.child.take()) {
            child.kill().await?;
        }
        Ok(())
    }

    /// Returns whether the process with this pid has exited, and clears its handle if so. Also
    /// returns `true` if the process was stopped or replaced by another one in the meantime.
    ///
    /// # Errors
    ///
    /// Returns an error if it can't be waited for.
    pub fn has_exited(&mut self, name: Name, pid: u32) -> std::io::Result<bool> {
        let Some(node) = self.nodes.get_mut(&name) else {
            return Ok(true);
        };
        let current = node.child.as_mut().filter(|child| child.id() == Some(pid));
        let Some(child) = current else {
            return Ok(true);
        };
        let exited = child.try_wait()?.is_some();
        if exited {
            node.child = None;
        }
        Ok(exited)
    }

    /// Appends an incomplete record to a process's log, as a write that was interrupted leaves it.
    ///
    /// # Errors
    ///
    /// Returns an error if the log can't be written.
    pub fn append_partial_record(&self, name: Name) -> std::io::Result<()> {
        let data = self
            .nodes
            .get(&name)
            .and_then(|node| node.settings.data.clone());
        match data.map(|data| data.join("log")).filter(|log| log.exists()) {
            Some(log) => OpenOptions::new()
                .append(true)
                .open(log)?
                .write_all(&PARTIAL_RECORD),
            None => Ok(()),
        }
    }

    /// Removes the data directory of a process.
    ///
    /// # Errors
    ///
    /// Returns an error if it can't be removed.
    pub fn remove_data(&self, name: Name) -> std::io::Result<()> {
        let data = self
            .nodes
            .get(&name)
            .and_then(|node| node.settings.data.clone());
        data.map_or(Ok(()), std::fs::remove_dir_all)
    }

    /// Returns the proxy in front of a process.
    #[must_use]
    pub fn proxy(&self, name: Name) -> Option<Arc<Proxy>> {
        self.nodes.get(&name).map(|node| node.proxy.clone())
    }

    /// Returns the names of all processes.
    pub fn names(&self) -> impl Iterator<Item = Name> {
        self.nodes.keys().copied()
    }

    /// Returns the addresses of the entry processes that callers connect to.
    #[must_use]
    pub fn entry_addresses(&self) -> Vec<SocketAddr> {
        self.addresses(Kind::Entry, |settings| settings.callers)
    }

    /// Returns the addresses of the control processes that operators and backend servers connect
    /// to.
    #[must_use]
    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        self.addresses(Kind::Control, |settings| settings.control)
    }

    fn addresses(&self, kind: Kind, address: impl Fn(&Process) -> SocketAddr) -> Vec<SocketAddr> {
        let nodes = self
            .nodes
            .iter()
            .filter(|((name_kind, _), _)| *name_kind == kind);
        nodes.map(|(_, node)| address(&node.settings)).collect()
    }

    /// Returns the processes that exited by themselves, with their exit statuses.
    pub fn exited(&mut self) -> Vec<(Name, String)> {
        let exit_status = |node: &mut Node| node.child.as_mut()?.try_wait().ok().flatten();
        self.nodes
            .iter_mut()
            .filter_map(|(name, node)| Some((*name, exit_status(node)?.to_string())))
            .collect()
    }
}

/// The temporary directory of a run, removed on drop unless `keep` is set.
pub struct RunDir {
    /// Its path.
    pub path: PathBuf,
    /// Whether it is kept on drop.
    pub keep: bool,
}

impl RunDir {
    /// Creates a directory for one run in the system's directory for temporary files.
    ///
    /// # Errors
    ///
    /// Returns an error if it can't be created.
    pub fn new(label: &str) -> std::io::Result<Self> {
        let name = format!("celerycove-soak-{}-{label}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path)?;
        File::create(path.join("run"))?;
        Ok(Self { path, keep: false })
    }
}

impl Drop for RunDir {
    fn drop(&mut self) {
        if !self.keep {
            // Files that can't be removed are left in the system's directory for temporary files.
            let _ = std::fs::remove_dir_all(&self.path);
        }
    }
}

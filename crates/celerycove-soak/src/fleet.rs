//! The processes of one run, each on a loopback address of its own, behind a proxy.

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
use celerycove_platform::outside::Process;
use rustix::process::{Pid, Signal, kill_process};
use tokio::process::{Child, Command};

use crate::{
    plan::{Kind, Name, Shape},
    proxy::Proxy,
};

/// Ports, the same on each address.
const CONTROL: u16 = 8_367;
const CALLERS: u16 = 8_368;
const READY: u16 = 8_369;
/// The first of the ports by which processes know each other; proxies listen there.
const INTERNAL: u16 = 7_780;
/// Where a process itself listens for others.
const BEHIND: u16 = 7_880;
/// Part of a record: a length that is not followed by so many bytes.
const TORN: [u8; 7] = [0, 0, 1, 44, 7, 7, 7];

/// What is known of one process.
struct Slot {
    settings: Process,
    file: PathBuf,
    log: PathBuf,
    proxy: Arc<Proxy>,
    child: Option<Child>,
}

/// The processes.
pub struct Fleet {
    binary: PathBuf,
    folder: PathBuf,
    slots: BTreeMap<Name, Slot>,
}

/// The address of one process of a run.
#[must_use]
pub fn address(run: u8, (kind, number): Name) -> IpAddr {
    let (high, number) = (number / 200, number % 200);
    let kind = match kind {
        Kind::Entry => 10,
        Kind::Control => 50,
        Kind::Store => 90,
    };
    let byte = |value: usize| u8::try_from(value).unwrap_or(u8::MAX);
    IpAddr::V4(Ipv4Addr::new(127, run, kind + byte(high), 1 + byte(number)))
}

fn role(kind: Kind) -> (Role, u16) {
    match kind {
        Kind::Control => (Role::Control, 0),
        Kind::Entry => (Role::Entry, 1),
        Kind::Store => (Role::Store, 2),
    }
}

/// The name of a data centre.
#[must_use]
pub fn data_centre(number: usize) -> String {
    format!("dc-{number}")
}

impl Fleet {
    /// Starts all processes for the first time. `run` tells apart the addresses of runs.
    ///
    /// # Errors
    ///
    /// Returns an error if a file can't be written or an address can't be bound.
    pub async fn start(
        binary: &Path,
        folder: &Path,
        run: u8,
        shape: Shape,
    ) -> std::io::Result<Self> {
        let mut fleet = Self {
            binary: binary.to_owned(),
            folder: folder.to_owned(),
            slots: BTreeMap::new(),
        };
        let numbers = |kind, count| (0..count).map(move |number| (kind, number));
        let names = numbers(Kind::Control, shape.data_centres)
            .chain(numbers(Kind::Store, shape.data_centres))
            .chain(numbers(Kind::Entry, shape.data_centres * shape.entries));
        for name in names {
            fleet.prepare(run, shape, name).await?;
        }
        let names: Vec<Name> = fleet.slots.keys().copied().collect();
        for name in names {
            fleet.spawn(name)?;
            if let Some(slot) = fleet.slots.get_mut(&name) {
                slot.settings.bootstrap = false;
            }
        }
        Ok(fleet)
    }

    async fn prepare(&mut self, run: u8, shape: Shape, name: Name) -> std::io::Result<()> {
        let (kind, number) = name;
        let (role, offset) = role(kind);
        let ip = address(run, name);
        let label = format!("{}-{number}", role.name());
        let folder = self.folder.join(&label);
        std::fs::create_dir_all(&folder)?;
        let at = |port| SocketAddr::new(ip, port);
        let seeds = (0..shape.data_centres.min(3))
            .map(|number| SocketAddr::new(address(run, (Kind::Control, number)), CONTROL));
        let settings = Process {
            role,
            instance: label,
            ip,
            data_centre: data_centre(number % shape.data_centres),
            data_centres: (0..shape.data_centres).map(data_centre).collect(),
            bootstrap: true,
            seeds: seeds.collect(),
            data: (kind != Kind::Entry).then(|| folder.join("data")),
            internal_port: INTERNAL,
            internal: at(BEHIND + offset),
            callers: at(CALLERS),
            ready: at(READY),
            control: at(CONTROL),
        };
        let proxy = Proxy::start(at(INTERNAL + offset), settings.internal).await?;
        let slot = Slot {
            file: folder.join("settings"),
            log: folder.join("log"),
            settings,
            proxy,
            child: None,
        };
        self.slots.insert(name, slot);
        Ok(())
    }

    /// Starts a process, if it does not run.
    ///
    /// # Errors
    ///
    /// Returns an error if its files can't be written or it can't be started.
    pub fn spawn(&mut self, name: Name) -> std::io::Result<()> {
        let Some(slot) = self.slots.get_mut(&name) else {
            return Ok(());
        };
        if slot.child.is_some() {
            return Ok(());
        }
        if let Some(data) = &slot.settings.data {
            std::fs::create_dir_all(data)?;
        }
        std::fs::write(&slot.file, slot.settings.settings())?;
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(&slot.log)?;
        let child = Command::new(&self.binary)
            .arg(slot.settings.role.name())
            .arg("--settings")
            .arg(&slot.file)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .kill_on_drop(true)
            .spawn()?;
        slot.child = Some(child);
        Ok(())
    }

    /// The process's id, if it runs.
    #[must_use]
    pub fn id(&self, name: Name) -> Option<u32> {
        self.slots.get(&name)?.child.as_ref()?.id()
    }

    /// Sends a signal to a process that runs.
    pub fn signal(&self, name: Name, signal: Signal) {
        let id = self.id(name).and_then(|id| i32::try_from(id).ok());
        if let Some(pid) = id.and_then(Pid::from_raw) {
            // It may have ended just now, which is seen when it is waited for.
            let _ = kill_process(pid, signal);
        }
    }

    /// Kills a process.
    ///
    /// # Errors
    ///
    /// Returns an error if it can't be waited for.
    pub async fn kill(&mut self, name: Name) -> std::io::Result<()> {
        if let Some(mut child) = self.slots.get_mut(&name).and_then(|slot| slot.child.take()) {
            child.kill().await?;
        }
        Ok(())
    }

    /// Tells whether the process of this id has ended, and forgets it if so. One that was replaced
    /// meanwhile has ended.
    ///
    /// # Errors
    ///
    /// Returns an error if it can't be waited for.
    pub fn has_ended(&mut self, name: Name, id: u32) -> std::io::Result<bool> {
        let Some(slot) = self.slots.get_mut(&name) else {
            return Ok(true);
        };
        let same = slot.child.as_mut().filter(|child| child.id() == Some(id));
        let Some(child) = same else {
            return Ok(true);
        };
        let ended = child.try_wait()?.is_some();
        if ended {
            slot.child = None;
        }
        Ok(ended)
    }

    /// Leaves part of a record at the end of a process's log, as a write that was cut short.
    ///
    /// # Errors
    ///
    /// Returns an error if the log can't be written.
    pub fn tear(&self, name: Name) -> std::io::Result<()> {
        let data = self
            .slots
            .get(&name)
            .and_then(|slot| slot.settings.data.clone());
        match data.map(|data| data.join("log")).filter(|log| log.exists()) {
            Some(log) => OpenOptions::new().append(true).open(log)?.write_all(&TORN),
            None => Ok(()),
        }
    }

    /// Removes a process's files.
    ///
    /// # Errors
    ///
    /// Returns an error if they can't be removed.
    pub fn wipe(&self, name: Name) -> std::io::Result<()> {
        let data = self
            .slots
            .get(&name)
            .and_then(|slot| slot.settings.data.clone());
        data.map_or(Ok(()), std::fs::remove_dir_all)
    }

    /// The proxy before a process.
    #[must_use]
    pub fn proxy(&self, name: Name) -> Option<Arc<Proxy>> {
        self.slots.get(&name).map(|slot| slot.proxy.clone())
    }

    /// All processes.
    pub fn names(&self) -> impl Iterator<Item = Name> {
        self.slots.keys().copied()
    }

    /// Where callers are served.
    #[must_use]
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.of(Kind::Entry, |settings| settings.callers)
    }

    /// Where orders are taken.
    #[must_use]
    pub fn control(&self) -> Vec<SocketAddr> {
        self.of(Kind::Control, |settings| settings.control)
    }

    fn of(&self, kind: Kind, address: impl Fn(&Process) -> SocketAddr) -> Vec<SocketAddr> {
        let slots = self.slots.iter().filter(|((of, _), _)| *of == kind);
        slots.map(|(_, slot)| address(&slot.settings)).collect()
    }

    /// The processes that have ended by themselves.
    pub fn ended(&mut self) -> Vec<(Name, String)> {
        let ended = |slot: &mut Slot| slot.child.as_mut()?.try_wait().ok().flatten();
        self.slots
            .iter_mut()
            .filter_map(|(name, slot)| Some((*name, ended(slot)?.to_string())))
            .collect()
    }
}

/// A folder that is removed at the end, unless what is in it is to be kept.
pub struct Folder {
    /// Where it is.
    pub path: PathBuf,
    /// Whether it stays.
    pub keep: bool,
}

impl Folder {
    /// Makes a folder for one run under the system's folder for temporary files.
    ///
    /// # Errors
    ///
    /// Returns an error if it can't be made.
    pub fn new(label: &str) -> std::io::Result<Self> {
        let name = format!("celerycove-soak-{}-{label}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path)?;
        File::create(path.join("run"))?;
        Ok(Self { path, keep: false })
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if !self.keep {
            // What can't be removed stays under the system's folder for temporary files.
            let _ = std::fs::remove_dir_all(&self.path);
        }
    }
}

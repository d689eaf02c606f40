//! Starts planners with the command `run` of the deploy file.
use crate::json::quote;
use crate::record;
use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

/// What differs between the deployments of the cases.
#[derive(Clone)]
pub struct Deployment {
    /// How many planners the settings name.
    pub planners: usize,
    /// The settings' `familyInfo.yesAt`.
    pub yes_at: &'static str,
    /// The settings' cores and memory of the one kind of machine.
    pub machine_size: (u32, u32),
}

impl Default for Deployment {
    fn default() -> Deployment {
        Deployment { planners: 2, yes_at: "accepted", machine_size: (36, 60) }
    }
}

impl Deployment {
    /// The settings as an instance is given them: one repeatable and one keyed class, two zones.
    pub fn settings(&self) -> String {
        let (cores, memory) = self.machine_size;
        format!(
            r#"{{"family":"place","discovery":"ask","granularityUs":2000,"myNumber":0,"myZone":"hall-a",
            "nInstances":{planners},"localities":["hall-a","hall-b"],"machineTypes":["std-node"],
            "overShareWorth":0.05,"tier":0,"tiers":["compute-pool"],"weights":"none","worthBy":"work",
            "classes":[
              {{"name":"small-svc","semantics":"retryable","group":"all","objectiveUs":600000,"deadlineUs":6000000,
                "lateShare":0.2,"windowUs":5000000,"worth":1.0,"stays":true}},
              {{"name":"big-batch","semantics":"dedup","group":"zone","objectiveUs":5000000,"deadlineUs":9000000,
                "lateShare":0.1,"windowUs":6000000,"worth":5.0,"stays":true}}],
            "clientHabits":{{"marksRetry":true}},
            "familyInfo":{{"admitCores":2.0,"admitMemory":1.5,"calmLevel":[1.0,0.8],"classKind":[-1,-1],
              "classSpread":["none","none"],"classStartS":[10.0,8.0],"coldSends":29.0,"cpuOfKind":[{cores}],
              "evictWeight":2.0,"fadeSpan":[1.0,0.15],"freeBy":"used","makeSureUs":3000000,"meanCores":1.76,
              "mostTogether":[2,2],"preempts":true,"pressureNotes":true,"priorityByClass":[0,2],
              "quotaCores":[173.0,165.0],"refusalFee":0.02,"sizeMemory":[{memory}],"sticks":false,"tellsUse":true,
              "unitMemory":3.1,"view":true,"yesAt":"{yes_at}"}},
            "permissions":{{"atOncePerConn":1048576,"attemptsCap":3,"cancelling":true,"connIdleUs":15000000,
              "connectTimeoutUs":250000,"cpuUsPerRequest":0.0,"cpuUsPerS":500000,"maxOpen":1000000,
              "maxRetryAfterUs":3000000,"peers":false,"probes":true,"retryAfter":false,"secondCopies":false}},
            "resultMix":{{"whole":0.4,"worstClass":0.2,"worstTenant":0.3,"worstWindow":0.1}},
            "rules":{{"askEveryUs":10000000,"coldShare":0.2,"coldUs":14000000,"fallMultiple":2.5,"fallUs":1000000,
              "graceToAnswerUs":8000,"stopSendingWithinUs":1000000}},
            "stats":{{"fields":["x0","x1"],"how":"answers"}},
            "tariffs":{{"connection":0.0,"crossZone":0.03,"discovery":0.004,"fleet":0.25,"handshake":0.0,"lateFail":0.0,
              "moves":0.063,"origin":0.0,"peer":0.0,"probe":0.0026,"waste":0.08}},
            "tenants":[{{"name":"orders","share":0.5,"allowancePerS":12.0}},{{"name":"dispatch","share":0.5,"allowancePerS":12.0}}]}}"#,
            planners = self.planners,
            yes_at = self.yes_at,
        )
    }
}

/// A running planner; it is killed when this is dropped.
pub struct Planner {
    pub listen: SocketAddr,
    pub config: PathBuf,
    child: Child,
}

/// Returns a loopback address that nothing listens on.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("a free port")
}

/// Writes the configuration of a planner.
pub fn write_config(
    path: &PathBuf,
    listen: SocketAddr,
    coordinator: SocketAddr,
    known: &str,
    deployment: &Deployment,
    seed: u64,
) {
    let text = format!(
        "{{\"name\":\"n0\",\"listen\":\"{listen}\",\"seed\":\"{seed:016x}\",\"limits\":{{\"cores\":1.0,\
         \"memory_mb\":192,\"sockets\":512}},\"coordinator\":\"{coordinator}\",\"known\":{known},\"settings\":{}}}",
        deployment.settings()
    );
    std::fs::write(path, text).expect("the configuration can be written");
}

impl Planner {
    /// Starts a planner on this configuration with the command in `RUN`, from the project's root.
    pub fn start(listen: SocketAddr, config: PathBuf) -> Planner {
        let run = std::env::var("RUN").expect("RUN holds the deploy file's command");
        let root = std::env::var("ROOT").expect("ROOT names the project's folder");
        let log_path = std::env::var("PLANNER_LOG").unwrap_or_else(|_| "planner.log".to_owned());
        let log = File::options().create(true).append(true).open(log_path).expect("the log can be written");
        let child = Command::new("/bin/sh")
            .args(["-c", &run])
            .current_dir(root)
            .env("PROXY_NAME", "n0")
            .env("PROXY_LISTEN", listen.to_string())
            .env("PROXY_CONFIG", &config)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a second handle of the log"))
            .stderr(log)
            .spawn()
            .expect("the planner starts");
        // For `run.sh`, which ends the planner if this program is ended before it can.
        let _ = std::fs::write(std::env::temp_dir().join("planner.pid"), child.id().to_string());
        record::add(
            "planner",
            &format!("started as process {} at {}", child.id(), quote(&listen.to_string())),
        );
        Planner { listen, config, child }
    }

    pub fn signal(&self, signal: i32) {
        extern "C" {
            fn kill(process: i32, signal: i32) -> i32;
        }
        record::add("planner", &format!("receives signal {signal}"));
        // The process was started here and is not reaped before it is dropped.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Returns whether the planner has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }

    /// Kills the planner and waits for its end.
    pub fn kill(&mut self) {
        if !self.has_ended() {
            let _ = self.child.kill();
        }
        let _ = self.child.wait();
        record::add("planner", "was killed");
    }
}

impl Drop for Planner {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

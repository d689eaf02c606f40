//! The configuration of a planner of a small deployment with two halls.

/// What a case sets by itself.
pub struct Deployment<'a> {
    pub name: &'a str,
    pub listen: String,
    pub coordinator: String,
    pub known: String,
    /// Which machines drop repeats of the keyed framework.
    pub group: &'a str,
    /// When a machine answers: `accepted` or `running`.
    pub yes_at: &'a str,
    pub zone: &'a str,
    /// How the list is followed: `ask` or `push`.
    pub discovery: &'a str,
}

impl Deployment<'_> {
    /// Returns the configuration as JSON.
    pub fn configuration(&self) -> String {
        let Deployment { name, listen, coordinator, known, group, yes_at, zone, discovery } = self;
        format!(
            r#"{{"name":"{name}","listen":"{listen}","seed":"51c07d3e9a6b2f84",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"coordinator":"{coordinator}","known":{known},
"settings":{{
"classes":[
{{"name":"web-copy","semantics":"retryable","group":"all","objectiveUs":600000,"deadlineUs":5000000,
"windowUs":5000000,"worth":1.0,"lateShare":0.1,"stays":true}},
{{"name":"month-sum","semantics":"dedup","group":"{group}","objectiveUs":5000000,"deadlineUs":10000000,
"windowUs":5000000,"worth":5.0,"lateShare":0.2,"stays":true}}],
"tenants":[{{"name":"shop","share":0.6,"allowancePerS":10.0}},{{"name":"books","share":0.4,"allowancePerS":5.0}}],
"localities":["hall-north","hall-south"],"machineTypes":["small-box","big-box"],
"myZone":"{zone}","myNumber":0,"nInstances":2,"discovery":"{discovery}","family":"place",
"familyInfo":{{"admitCores":2.5,"admitMemory":1.5,"calmLevel":[1.0,0.9],"fadeSpan":[0.6,0.2],
"classKind":[0,1],"classSpread":["none","none"],"mostTogether":[2,2],"coldSends":20,"cpuOfKind":[32,48],
"sizeMemory":[64,96],"priorityByClass":[0,1],"view":true,"yesAt":"{yes_at}","makeSureUs":3000000,
"preempts":false,"freeBy":"used"}},
"permissions":{{"attemptsCap":3,"cancelling":true,"probes":true,"connectTimeoutUs":250000,
"secondCopies":false,"retryAfter":false,"connIdleUs":15000000}},
"rules":{{"askEveryUs":10000000,"coldUs":14000000,"coldShare":0.2,"fallUs":1000000,"fallMultiple":2.5,
"stopSendingWithinUs":1000000,"graceToAnswerUs":8000}},
"stats":{{"fields":["x0","x1","queue","util"],"how":"probe"}},
"tariffs":{{"crossZone":0.0}},"weights":"none","worthBy":"work"}}}}"#
        )
    }
}

/// A task as its owner asks for it.
pub struct Ask<'a> {
    pub id: &'a str,
    pub class: &'a str,
    pub left_ms: u32,
    pub tenant: &'a str,
    pub key: &'a str,
    pub idem: Option<&'a str>,
    pub cores: f64,
    pub memory: f64,
    /// The machine that holds the task already.
    pub at: Option<&'a str>,
}

impl Ask<'_> {
    /// Returns the set-up.
    pub fn line(&self) -> String {
        let idem = self.idem.map_or(String::new(), |idem| format!("\"idem\":\"{idem}\","));
        let at = self.at.map_or(String::new(), |at| format!(";at:{at}"));
        format!(
            "{{\"msg\":\"open\",\"sid\":\"{}\",\"attrs\":{{\"class\":\"{}\",\"left\":\"{}\",\"tenant\":\"{}\",\
             \"key\":\"{}\",{idem}\"extras\":\"cores:{};memory:{};service:00000000b4d65521{at}\"}},\
             \"text\":\"{}\\r\\ntask of the review\\r\\n\"}}",
            self.id, self.class, self.left_ms, self.tenant, self.key, self.cores, self.memory, self.id
        )
    }
}
